"""Concurrency limit equal to the slots that a backend server announces."""

from monsoonmill.decisions.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
    RunSample,
)
from monsoonmill.decisions.admission.route_latency import RouteLatencies


class SlotsLimit(ConcurrencyLimit):
    """Allows as many concurrent calls as the backend server has slots.

    Calls therefore wait in the node's queue, which orders them by importance,
    and not in the backend server's own queue.

    Parameters
    ----------
    initial : int
        Limit until slots are announced.
    """

    def __init__(self, initial: int):
        self._slots = initial
        self._latencies = RouteLatencies()

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return self._slots

    def record_full(self) -> None:
        """Do nothing, since the number of slots does not depend on demand."""

    def record_run(self, sample: RunSample, now: float) -> None:
        """Record the latency of an answered run."""
        if sample.result is RunResult.ANSWERED:
            self._latencies.record(sample.route, sample.latency_s, False, now)

    def set_announced_slots(self, slots: int) -> None:
        """Set the limit to the announced number of slots."""
        if slots > 0:
            self._slots = slots

    def recent_latency_s(self, route: str, now: float) -> float:
        """Return a route's current latency; 0 if it is unknown."""
        return self._latencies.recent_s(route, now)
