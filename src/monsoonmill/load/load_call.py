"""A call of the load generator, with all its attempts."""

from collections.abc import Callable
from random import Random

from monsoonmill.chart import bind_methods
from monsoonmill.load.arrivals import Arrival
from monsoonmill.load.messages import AttemptEnded, Verdict
from monsoonmill.standin.timers import Timers

RETRYABLE_STATUSES = frozenset((0, 429, 500, 502, 503, 504))
"""Statuses after which a call is retried; 0 stands for no response."""


class LoadCall:
    """State of a call, owned by the task of the driver.

    Parameters
    ----------
    start : float
        Time at which the run started.
    send_attempt, report_finished : callable
        Called with the call when an attempt is due, and when the call has ended.
    """

    def __init__(
        self,
        arrival: Arrival,
        start: float,
        timers: Timers,
        rng: Random,
        send_attempt: Callable[["LoadCall"], None],
        report_finished: Callable[["LoadCall"], None],
    ):
        self.arrival = arrival
        self.due = start + arrival.at_s
        self.arrived_at = self.due
        self.attempts = 0
        self.last_attempt: AttemptEnded | None = None
        self._timers = timers
        self._rng = rng
        self._send_attempt = send_attempt
        self._report_finished = report_finished
        self._chart = CHART.start(self)
        timers.add(self.due, self)

    @property
    def verdict(self) -> Verdict:
        """Verdict of the last attempt, or ``UNFINISHED`` if the call has not ended."""
        return self.last_attempt.verdict if self._chart.finished else Verdict.UNFINISHED

    def on_timer(self) -> None:
        """Send the attempt whose time has come."""
        self._chart.send("timer_expired")

    def on_attempt_ended(self, ended: AttemptEnded) -> None:
        """Finish the call or schedule a retry."""
        self.last_attempt = ended
        self._chart.send("succeeded" if ended.verdict is Verdict.VALID else "failed")

    # Guards and actions of the state chart.

    def send_attempt(self, arg: object) -> None:
        """Count and send an attempt."""
        self.attempts += 1
        self._send_attempt(self)

    def is_retryable(self, arg: object) -> bool:
        """Return whether the call may be sent again after this failure."""
        has_retries_left = self.attempts <= self.arrival.stream.retries.max
        return has_retries_left and self.last_attempt.status in RETRYABLE_STATUSES

    def is_not_retryable(self, arg: object) -> bool:
        """Return whether this failure ends the call."""
        return not self.is_retryable(arg)

    def schedule_retry(self, arg: object) -> None:
        """Schedule a retry after 50 to 100 % of the doubling backoff."""
        backoff_s = self.arrival.stream.retries.backoff_ms / 1000
        delay_s = backoff_s * 2 ** (self.attempts - 1) * self._rng.uniform(0.5, 1)
        self.due = self.last_attempt.ended_at + delay_s
        self._timers.add(self.due, self)

    def report_finished(self, arg: object) -> None:
        """Report that the call has ended."""
        self._report_finished(self)


CHART = bind_methods("load_call", LoadCall)
