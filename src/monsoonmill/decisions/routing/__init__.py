"""Which node runs a call."""
