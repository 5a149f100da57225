"""Concurrency limit that follows the slots that a backend server announces."""

from monsoonmill.decisions.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunEnd,
    RunSample,
)
from monsoonmill.decisions.admission.route_latency import RouteLatencies


class SlotsLimit(ConcurrencyLimit):
    """As many calls as the backend server has slots.

    What waits, waits in the node's queue, where it is ordered by importance,
    and not in the backend server's own.

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
        """Number of calls that may run at once."""
        return self._slots

    def note_full(self) -> None:
        """Take nothing from a full limit: the slots are what they are."""

    def note_run(self, sample: RunSample, now: float) -> None:
        """Learn how long the route's calls take."""
        if sample.end is RunEnd.ANSWERED:
            self._latencies.learn(sample.route, sample.latency_s, False, now)

    def note_announced(self, slots: int) -> None:
        """Take the announced number of slots."""
        if slots > 0:
            self._slots = slots

    def usual_s(self, route: str, now: float) -> float:
        """Return a route's latency at present; 0 if that is not known."""
        return self._latencies.usual_s(route, now)
