"""Bounded queue of requests that wait for a slot."""

from collections import deque
from collections.abc import Iterator

from attrs import frozen

from monsoonmill.standin.backend_messages import RequestArrived


@frozen
class QueuedRequest:
    """A request that waits for a slot, at the latest until ``expires_at``."""

    arrived: RequestArrived
    expires_at: float


class RequestQueue:
    """Requests in the order of their arrival.

    Parameters
    ----------
    limit : int
        Number of requests that may wait.
    wait_s : float
        Longest wait for a slot in seconds.
    """

    def __init__(self, limit: int, wait_s: float):
        self.limit = limit
        self.wait_s = wait_s
        self._waiting: deque[QueuedRequest] = deque()

    def __len__(self):
        return len(self._waiting)

    def offer(self, arrived: RequestArrived, now: float) -> bool:
        """Append a request; return False when the queue is full."""
        if len(self._waiting) >= self.limit:
            return False
        expires_at = now + self.wait_s
        if arrived.deadline is not None:
            expires_at = min(expires_at, arrived.deadline)
        self._waiting.append(QueuedRequest(arrived, expires_at))
        return True

    def take(self) -> RequestArrived:
        """Remove and return the oldest request."""
        return self._waiting.popleft().arrived

    def discard(self, reply: object) -> bool:
        """Remove the request with this reply inbox; return whether it was there."""
        remaining = deque(
            queued for queued in self._waiting if queued.arrived.reply is not reply
        )
        found = len(remaining) < len(self._waiting)
        self._waiting = remaining
        return found

    def expire(self, now: float) -> Iterator[RequestArrived]:
        """Remove and yield the requests that have waited too long."""
        expired = [queued for queued in self._waiting if queued.expires_at <= now]
        if expired:
            self._waiting = deque(
                queued for queued in self._waiting if queued.expires_at > now
            )
        for queued in expired:
            yield queued.arrived

    def next_due(self) -> float | None:
        """Return when the next request expires; None if none waits."""
        return min((queued.expires_at for queued in self._waiting), default=None)
