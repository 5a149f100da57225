"""One call of the load generator over all its attempts."""

from collections.abc import Callable
from random import Random

from monsoonmill.chart import bind_methods
from monsoonmill.load.arrivals import Arrival
from monsoonmill.load.messages import AttemptEnded, Verdict
from monsoonmill.standin.timers import Timers

RETRIED_STATUS = frozenset((0, 429, 500, 502, 503, 504))
"""Statuses after which a caller sends its call again; 0 is no answer."""


class CallRun:
    """State of a call; only the driver's task uses it.

    Parameters
    ----------
    start : float
        Time of the run's start.
    send, report : callable
        Take the call when an attempt is to be sent and when it has ended.
    """

    def __init__(
        self,
        arrival: Arrival,
        start: float,
        timers: Timers,
        rng: Random,
        send: Callable[["CallRun"], None],
        report: Callable[["CallRun"], None],
    ):
        self.arrival = arrival
        self.due = start + arrival.at_s
        self.arrived = self.due
        self.attempts = 0
        self.last: AttemptEnded | None = None
        self._timers = timers
        self._rng = rng
        self._send = send
        self._report = report
        self._chart = CHART.start(self)
        timers.add(self.due, self)

    @property
    def verdict(self) -> Verdict:
        """What became of the call so far."""
        return self.last.verdict if self._chart.finished else Verdict.UNFINISHED

    def on_due(self) -> None:
        """Send the attempt that is due."""
        self._chart.send("due")

    def on_ended(self, ended: AttemptEnded) -> None:
        """Go on after an attempt's end."""
        self.last = ended
        self._chart.send("whole" if ended.verdict is Verdict.WHOLE else "failed")

    # Guards and actions of the chart.

    def send(self, arg: object) -> None:
        """Send an attempt."""
        self.attempts += 1
        self._send(self)

    def may_retry(self, arg: object) -> bool:
        """Return whether the caller sends the call again."""
        has_tries = self.attempts <= self.arrival.stream.retries.max
        return has_tries and self.last.status in RETRIED_STATUS

    def may_not_retry(self, arg: object) -> bool:
        """Return whether the failure ends the call."""
        return not self.may_retry(arg)

    def back_off(self, arg: object) -> None:
        """Wait between half and all of the doubled backoff."""
        backoff_s = self.arrival.stream.retries.backoff_ms / 1000
        wait_s = backoff_s * 2 ** (self.attempts - 1) * self._rng.uniform(0.5, 1)
        self.due = self.last.ended + wait_s
        self._timers.add(self.due, self)

    def report(self, arg: object) -> None:
        """Report the end of the call."""
        self._report(self)


CHART = bind_methods("load_call", CallRun)
