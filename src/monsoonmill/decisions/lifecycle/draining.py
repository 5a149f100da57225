"""Graceful shutdown of a node: it leaves, finishes what it has, and ends."""

from monsoonmill.chart import bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.call_flow import CallFlow
from monsoonmill.decisions.calls.executions import Executions
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import Drained, DrainRequested
from monsoonmill.decisions.members.signals import SelfLeaving
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import DrainSettings

SETTLED = "settled"
TIME_UP = "time_up"
CHECK = "check"
CHECK_EVERY_S = 0.05


class Draining(Decision):
    """Takes the node out of service without cutting anything off.

    The fleet is told first; new work is still taken while the news spreads.
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
        self._busy = (calls, executions, *others)
        self._counters = counters
        self._timers = Timers()
        self._out = []
        self._chart = DRAIN_CHART.start(self)

    def handlers(self):
        """Return the handlers of this decision."""
        return {DrainRequested: self.on_drain_requested}

    def next_due(self):
        """Return when to look whether the node is idle."""
        return self._timers.next_due()

    def on_drain_requested(self, signal, now):
        """Begin to leave; a second request changes nothing."""
        self._chart.send("drain_requested", now)
        yield from self._flush()

    def tick(self, now):
        """End the settling, or look whether the node is idle."""
        for key in self._timers.pop_due(now):
            if key != CHECK:
                self._chart.send(key, now)
            elif not any(part.in_progress for part in self._busy):
                self._chart.send("idle", now)
            if self._chart.is_in("finishing"):
                self._timers.set(CHECK, now + CHECK_EVERY_S)
        yield from self._flush()

    def _flush(self):
        out, self._out = self._out, []
        yield from out

    def announce(self, now):
        """Tell the other decisions, and through them the fleet."""
        self._out.append(SelfLeaving())

    def start_settling(self, now):
        """Let the news spread."""
        self._timers.set(SETTLED, now + self._cfg.settle_ms / 1000)

    def refuse_new_work(self, now):
        """Take no more calls and finish the present ones."""
        self._calls.stop_accepting()
        self._executions.draining = True
        self._timers.set(TIME_UP, now + self._cfg.limit_s)
        self._timers.set(CHECK, now)

    def count_cut_off(self, now):
        """Count what was still in progress when the time was up."""
        left = sum(part.in_progress for part in self._busy)
        self._counters.add("cut-off-by-drain", left)

    def tell_drained(self, now):
        """Let the process end."""
        self._timers.cancel(TIME_UP)
        self._out.append(Drained())

    def status(self):
        """Return the state of the drain."""
        return {"state": self._chart.state}


DRAIN_CHART = bind_methods("drain", Draining)
