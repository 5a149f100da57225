"""Incarnation numbers of a node."""

from time import time_ns


def new_incarnation() -> int:
    """Return a number that increases with each start of a node's process."""
    return time_ns() // 1_000_000
