"""Admission control: concurrency limits, the queue for slots and ingress limits."""
