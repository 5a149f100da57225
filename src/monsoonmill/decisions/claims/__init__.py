"""Claims, which let a call with an ``Idempotency-Key`` run at most once."""
