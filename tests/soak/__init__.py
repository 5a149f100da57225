"""Soak test: random faults in running processes while invariants are checked."""
