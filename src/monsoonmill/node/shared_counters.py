"""Thread-safe counters of a node's process."""

from enum import Enum
from threading import Lock

from monsoonmill.counters import Counters


class SharedCounters(Counters):
    """Counters shared by the node's task and the worker threads of its front ends."""

    def __init__(self):
        super().__init__()
        self._lock = Lock()

    def add(self, name: Enum | str, amount: int = 1) -> None:
        """Count an event."""
        with self._lock:
            super().add(name, amount)

    def snapshot(self) -> dict[str, int]:
        """Return all counts by name, sorted."""
        with self._lock:
            return super().snapshot()
