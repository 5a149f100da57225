"""Which nodes are there."""
