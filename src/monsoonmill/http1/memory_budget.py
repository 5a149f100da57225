"""Budgets for the memory that a process holds for its clients and for other nodes."""

from abc import ABC, abstractmethod
from collections.abc import Iterator

from attrs import define, field

CALM_FRACTION = 0.125
"""The connection that holds the most gives way only if the others hold more than this
fraction of the budget together, so that a single message of the maximum size, which may
exceed the budget, is still served beside ordinary ones."""


class MemoryHolder(ABC):
    """A connection that holds memory for its client."""

    @abstractmethod
    def give_way(self, now: float) -> Iterator[object]:
        """Refuse what has not been handed on, or close; yield signals for the core."""


@define
class MemoryBudget:
    """Memory that connections hold, in bytes.

    All HTTP ports of a process share one, and the streams to other nodes another one.
    It covers heads, bodies, queued requests and unsent responses, with the objects that
    hold them, from their arrival until they have left.

    Attributes
    ----------
    max_bytes, total_bytes : int
        Budget, and sum of the recorded sizes.
    """

    max_bytes: int
    total_bytes: int = 0
    _sizes: dict[object, int] = field(factory=dict)

    def record(self, holder: object, size: int) -> None:
        """Record what a connection holds."""
        self.total_bytes += size - self._sizes.pop(holder, 0)
        if size:
            self._sizes[holder] = size

    def forget(self, holder: object) -> None:
        """Remove a connection that was closed."""
        self.total_bytes -= self._sizes.pop(holder, 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether the connections hold more than the budget."""
        return self.total_bytes > self.max_bytes

    def find_largest(self) -> tuple[object, int]:
        """Return the largest holder, and what the others hold together in bytes."""
        largest = max(self._sizes, key=self._sizes.__getitem__)
        return largest, self.total_bytes - self._sizes[largest]

    def relieve(self, now: float) -> Iterator[object]:
        """Make the largest holders give way while the budget is exceeded.

        Yields
        ------
        object
            Signals for the core.
        """
        while self.is_exceeded:
            largest, others = self.find_largest()
            if others <= CALM_FRACTION * self.max_bytes:
                return
            yield from largest.give_way(now)
