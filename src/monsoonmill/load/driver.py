"""Task that starts calls at their time and collects what became of them."""

from random import Random

from monsoonmill.clock import SystemClock
from monsoonmill.errors import MonsoonError
from monsoonmill.eventlog import get_logger
from monsoonmill.load.arrivals import all_arrivals
from monsoonmill.load.call_run import CallRun
from monsoonmill.load.caller import Caller
from monsoonmill.load.messages import AttemptEnded, SendCall
from monsoonmill.load.plan import LoadPlan
from monsoonmill.load.result import LoadResult
from monsoonmill.load.tally import Tally
from monsoonmill.standin.timers import Timers
from monsoonmill.task import Inbox, Stop, Task

log = get_logger(__name__)

END_LIMIT_S = 5.0
"""Longest wait for the callers' ends; those that still wait are left."""


class LoadRunError(MonsoonError):
    """A load run ended without a result."""


class LoadDriver(Task):
    """Runs one plan and posts its ``LoadResult``; None if it failed."""

    def __init__(self, plan: LoadPlan, results: Inbox):
        super().__init__("load-driver")
        self._plan = plan
        self._results = results
        self._clock = SystemClock()
        self._timers = Timers()
        self._rng = Random(plan.random_seed)
        self._tally = Tally(plan)
        self._open: set[CallRun] = set()
        self._arrivals = all_arrivals(plan)
        self._has_more = True
        self._work = Inbox()
        self._callers = [
            Caller(
                f"caller-{number}", self._work, self.inbox, self._clock, plan.grace_ms
            )
            for number in range(plan.callers)
        ]

    def run(self) -> None:
        """Start all calls, wait for their ends and post the result."""
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
        limit = start + self._plan.duration_s + self._plan.drain_s
        self._add_next_arrival(start)
        while (self._has_more or self._open) and self._clock.now() < limit:
            message = self.inbox.take(self._wait_s(limit))
            if isinstance(message, Stop):
                break
            if isinstance(message, AttemptEnded):
                self._tally.add_attempt(message)
                message.run.on_ended(message)
            self._start_due(start)
        for run in self._open:
            self._tally.add_call(run)
        return self._tally.result()

    def _wait_s(self, limit):
        due = self._timers.next_due()
        until = limit if due is None else min(due, limit)
        return max(0.0, until - self._clock.now())

    def _start_due(self, start):
        for run in self._timers.expired(self._clock.now()):
            if run.attempts == 0:
                self._add_next_arrival(start)
            run.on_due()

    def _add_next_arrival(self, start):
        arrival = next(self._arrivals, None)
        if arrival is None:
            self._has_more = False
            return
        run = CallRun(arrival, start, self._timers, self._rng, self._send, self._finish)
        self._open.add(run)

    def _send(self, run):
        arrival = run.arrival
        address = self._rng.choice(self._plan.addresses)
        self._work.post(SendCall(arrival.id, arrival.stream, address, run.due, run))

    def _finish(self, run):
        self._open.discard(run)
        self._tally.add_call(run)


def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan and return what became of its calls.

    Raises
    ------
    LoadRunError
        The run failed; the log tells why.
    """
    results = Inbox()
    log.info("start", duration_s=plan.duration_s, streams=len(plan.streams))
    driver = LoadDriver(plan, results).start()
    result = results.take()
    driver.join(END_LIMIT_S)
    if result is None:
        raise LoadRunError("the load run failed")
    return result
