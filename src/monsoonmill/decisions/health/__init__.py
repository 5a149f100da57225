"""Health of nodes: which of them are fit to receive calls."""
