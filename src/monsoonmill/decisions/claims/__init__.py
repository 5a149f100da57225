"""At most one run for each Idempotency-Key."""
