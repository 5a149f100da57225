"""Timers of a task."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count


class Timers:
    """Objects by the time at which they are due, each once."""

    def __init__(self):
        self._heap = []
        self._due: dict[object, float] = {}
        self._sequence = count()

    def add(self, due: float, item: object) -> None:
        """Set an item's timer unless it has an earlier one."""
        known = self._due.get(item)
        if known is None or due < known:
            self._due[item] = due
            heappush(self._heap, (due, next(self._sequence), item))

    def next_due(self) -> float | None:
        """Return the time of the earliest timer."""
        return self._heap[0][0] if self._heap else None

    def expired(self, now: float) -> Iterator[object]:
        """Remove and yield the items that are due."""
        while self._heap and self._heap[0][0] <= now:
            due, _, item = heappop(self._heap)
            if self._due.get(item) == due:
                del self._due[item]
                yield item
