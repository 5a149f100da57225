"""Timers of a task, kept in a heap."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count


class Timers:
    """Items by due time; each item has one timer at most."""

    def __init__(self):
        self._heap = []
        self._due: dict[object, float] = {}
        self._sequence = count()

    def add(self, due: float, item: object) -> None:
        """Set an item's timer, unless it has one that is due earlier."""
        current = self._due.get(item)
        if current is None or due < current:
            self._due[item] = due
            heappush(self._heap, (due, next(self._sequence), item))

    def next_due(self) -> float | None:
        """Return when to call ``expired`` next; None if no timer is set."""
        return self._heap[0][0] if self._heap else None

    def expired(self, now: float) -> Iterator[object]:
        """Remove and yield the items that are due."""
        while self._heap and self._heap[0][0] <= now:
            due, _, item = heappop(self._heap)
            if self._due.get(item) == due:
                del self._due[item]
                yield item
