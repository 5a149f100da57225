"""Timers of a decision: a heap of due times, with cancellation."""

from heapq import heappop, heappush
from itertools import count


class Timers:
    """Due times by key; setting a key again replaces its due time."""

    def __init__(self):
        self._heap = []
        self._due = {}
        self._order = count()

    def set(self, key: object, due: float) -> None:
        """Set the due time of a key."""
        self._due[key] = due
        heappush(self._heap, (due, next(self._order), key))

    def set_no_later(self, key: object, due: float) -> None:
        """Set the due time of a key, unless it is due earlier already."""
        if key not in self._due or due < self._due[key]:
            self.set(key, due)

    def cancel(self, key: object) -> None:
        """Remove a key, if it is set."""
        self._due.pop(key, None)

    def is_set(self, key: object) -> bool:
        """Return whether a key is set."""
        return key in self._due

    def is_due_before(self, key: object, limit: float) -> bool:
        """Return whether a key is set and due before a time."""
        return self._due.get(key, limit) < limit

    def next_due(self) -> float | None:
        """Return the earliest due time; None if no key is set."""
        heap, active = self._heap, self._due
        while heap:
            due, _, key = heap[0]
            if active.get(key) == due:
                return due
            heappop(heap)
        return None

    def pop_due(self, now: float):
        """Remove and yield the keys that are due, earliest first."""
        while (due := self.next_due()) is not None and due <= now:
            key = heappop(self._heap)[2]
            del self._due[key]
            yield key
