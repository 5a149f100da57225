"""Task that starts the calls of a load run on schedule and collects the results."""

from random import Random

from monsoonmill.clock import SystemClock
from monsoonmill.errors import MonsoonError
from monsoonmill.eventlog import get_logger
from monsoonmill.load.arrivals import all_arrivals
from monsoonmill.load.caller import Caller
from monsoonmill.load.load_call import LoadCall
from monsoonmill.load.load_statistics import LoadStatistics
from monsoonmill.load.messages import AttemptEnded, SendAttempt
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.result import LoadResult
from monsoonmill.standin.timers import Timers
from monsoonmill.task import Inbox, Stop, Task

log = get_logger(__name__)

JOIN_TIMEOUT_S = 5.0
"""Longest wait for the end of the driver's thread after it posted the result.

Callers that still wait for a response are not waited for.
"""


class LoadRunError(MonsoonError):
    """A load run ended without a result."""


class LoadDriver(Task):
    """Runs a plan and posts its ``LoadResult``, or None if the run failed."""

    def __init__(self, plan: LoadPlan, results: Inbox):
        super().__init__("load-driver")
        self._plan = plan
        self._results = results
        self._clock = SystemClock()
        self._timers = Timers()
        self._rng = Random(plan.random_seed)
        self._statistics = LoadStatistics(plan)
        self._active_calls: set[LoadCall] = set()
        self._arrivals = all_arrivals(plan)
        self._has_more_arrivals = True
        self._send_queue = Inbox()
        self._callers = [
            Caller(
                f"caller-{number}",
                self._send_queue,
                self.inbox,
                self._clock,
                plan.grace_ms,
            )
            for number in range(plan.callers)
        ]

    def run(self) -> None:
        """Run the plan and post the result."""
        result = None
        try:
            for caller in self._callers:
                caller.start()
            result = self._run_plan()
        finally:
            for caller in self._callers:
                caller.stop()
            self._results.post(result)

    def _run_plan(self):
        start = self._clock.now()
        end = start + self._plan.duration_s + self._plan.drain_s
        self._add_next_arrival(start)
        while (
            self._has_more_arrivals or self._active_calls
        ) and self._clock.now() < end:
            message = self.inbox.take(self._wait_s(end))
            if isinstance(message, Stop):
                break
            if isinstance(message, AttemptEnded):
                self._statistics.add_attempt(message)
                message.call.on_attempt_ended(message)
            self._send_due_attempts(start)
        for call in self._active_calls:
            self._statistics.add_call(call)
        return self._statistics.result()

    def _wait_s(self, end):
        due = self._timers.next_due()
        wake_at = end if due is None else min(due, end)
        return max(0.0, wake_at - self._clock.now())

    def _send_due_attempts(self, start):
        for call in self._timers.expired(self._clock.now()):
            if call.attempts == 0:
                self._add_next_arrival(start)
            call.on_timer()

    def _add_next_arrival(self, start):
        arrival = next(self._arrivals, None)
        if arrival is None:
            self._has_more_arrivals = False
            return
        call = LoadCall(
            arrival, start, self._timers, self._rng, self._send, self._finish
        )
        self._active_calls.add(call)

    def _send(self, call):
        arrival = call.arrival
        address = self._rng.choice(self._plan.addresses)
        self._send_queue.post(
            SendAttempt(arrival.id, arrival.stream, address, call.due, call)
        )

    def _finish(self, call):
        self._active_calls.discard(call)
        self._statistics.add_call(call)


def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan and return its result.

    Raises
    ------
    LoadRunError
        The run failed; the log contains the reason.
    """
    results = Inbox()
    log.info("start", duration_s=plan.duration_s, streams=len(plan.streams))
    driver = LoadDriver(plan, results).start()
    result = results.take()
    driver.join(JOIN_TIMEOUT_S)
    if result is None:
        raise LoadRunError("load run failed without a result; see the log")
    return result
