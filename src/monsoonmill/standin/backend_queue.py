"""Bounded queue of requests that wait for a slot."""

from collections import deque
from collections.abc import Iterator

from attrs import frozen

from monsoonmill.standin.backend_messages import WorkArrived


@frozen
class WaitingWork:
    """A request that waits for a slot until ``give_up`` at the latest."""

    arrived: WorkArrived
    give_up: float


class WorkQueue:
    """Requests in the order of their arrival.

    Parameters
    ----------
    limit : int
        Requests that may wait.
    wait_s : float
        Longest wait for a slot.
    """

    def __init__(self, limit: int, wait_s: float):
        self.limit = limit
        self.wait_s = wait_s
        self._waiting: deque[WaitingWork] = deque()

    def __len__(self):
        return len(self._waiting)

    def offer(self, arrived: WorkArrived, now: float) -> bool:
        """Append a request; return False when the queue is full."""
        if len(self._waiting) >= self.limit:
            return False
        give_up = now + self.wait_s
        if arrived.deadline is not None:
            give_up = min(give_up, arrived.deadline)
        self._waiting.append(WaitingWork(arrived, give_up))
        return True

    def take(self) -> WorkArrived:
        """Remove and return the oldest request."""
        return self._waiting.popleft().arrived

    def discard(self, reply: object) -> bool:
        """Remove the request with this reply inbox; return whether it was there."""
        kept = deque(work for work in self._waiting if work.arrived.reply is not reply)
        found = len(kept) < len(self._waiting)
        self._waiting = kept
        return found

    def expire(self, now: float) -> Iterator[WorkArrived]:
        """Remove and yield the requests that have waited too long."""
        expired = [work for work in self._waiting if work.give_up <= now]
        if expired:
            self._waiting = deque(w for w in self._waiting if w.give_up > now)
        for work in expired:
            yield work.arrived

    def next_due(self) -> float | None:
        """Return when the next request gives up."""
        return min((work.give_up for work in self._waiting), default=None)
