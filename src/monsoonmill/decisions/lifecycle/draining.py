"""Graceful shutdown: the node leaves the fleet and finishes its running work."""

from monsoonmill.chart import bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.call_flow import CallFlow
from monsoonmill.decisions.calls.executions import Executions
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import (
    Drained,
    DrainRequested,
    DrainStarted,
)
from monsoonmill.decisions.members.signals import SelfLeaving
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import DrainSettings

SETTLE_TIMEOUT = "settle_timeout"
DRAIN_TIMEOUT = "drain_timeout"
IDLE_CHECK = "idle_check"
IDLE_CHECK_INTERVAL_S = 0.05


class Draining(Decision):
    """Takes the node out of service without interrupting running work.

    The fleet is told first. New work is accepted until the announcement has had
    time to spread, since other nodes send calls here until they have received it.
    """

    def __init__(
        self,
        cfg: DrainSettings,
        calls: CallFlow,
        executions: Executions,
        others: tuple[Decision, ...],
        counters: Counters,
    ):
        self._cfg = cfg
        self._calls = calls
        self._executions = executions
        self._drained_parts = (calls, executions, *others)
        self._counters = counters
        self._timers = Timers()
        self._outgoing = []
        self._ends_at = float("inf")
        self._chart = DRAIN_CHART.start(self)

    def handlers(self):
        """Return the handlers of this decision."""
        return {DrainRequested: self.on_drain_requested}

    def next_due(self):
        """Return when the next time-out or idle check is due."""
        return self._timers.next_due()

    def on_drain_requested(self, signal, now):
        """Start to drain; further requests have no effect."""
        self._chart.send("drain_requested", now)
        yield from self._flush_outgoing()

    def tick(self, now):
        """Handle the time-outs and the idle checks that are due."""
        for key in self._timers.pop_due(now):
            if key != IDLE_CHECK:
                self._chart.send(key, now)
            elif not any(part.in_progress for part in self._drained_parts):
                self._chart.send("idle", now)
            if self._chart.is_in("finishing"):
                self._timers.set(IDLE_CHECK, now + IDLE_CHECK_INTERVAL_S)
        yield from self._flush_outgoing()

    def _flush_outgoing(self):
        out, self._outgoing = self._outgoing, []
        yield from out

    def announce_leaving(self, now):
        """Tell the other decisions, through the membership the fleet, and callers."""
        self._outgoing.append(SelfLeaving())
        self._outgoing.append(DrainStarted())

    def start_settle_timer(self, now):
        """Give the announcement time to spread; a late timer doesn't delay the end."""
        settled_at = now + self._cfg.settle_ms / 1000
        self._ends_at = settled_at + self._cfg.limit_s
        self._timers.set(SETTLE_TIMEOUT, settled_at)

    def stop_accepting_work(self, now):
        """Refuse calls that may not end in time, and let the running ones finish."""
        self._calls.start_draining(self._ends_at)
        self._executions.draining = True
        self._timers.set(DRAIN_TIMEOUT, self._ends_at)
        self._timers.set(IDLE_CHECK, now)

    def end_unfinished(self, now):
        """Answer the work still in progress when the drain timed out, and count it."""
        unfinished = sum(part.in_progress for part in self._drained_parts)
        self._counters.add("cut-off-by-drain", unfinished)
        self._outgoing.extend(self._executions.end_unfinished(now))
        self._outgoing.extend(self._calls.end_unfinished(now))

    def report_drained(self, now):
        """Refuse all new calls and signal that the process may exit."""
        self._calls.stop_accepting()
        self._timers.cancel(DRAIN_TIMEOUT)
        self._outgoing.append(Drained())

    @property
    def is_draining(self) -> bool:
        """Whether a drain was requested."""
        return self._chart.state != "serving"

    def status(self):
        """Return the state of the drain."""
        return {"state": self._chart.state}


DRAIN_CHART = bind_methods("drain", Draining)
