"""Health of nodes: which of them may receive calls."""
