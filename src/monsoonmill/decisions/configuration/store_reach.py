"""Whether the platform's store serves this node, as all other nodes are told.

The store may turn away some nodes while it serves the others, and a link to it may
break for one node alone. Such a node is alive, but can't watch the store for others.
"""

from monsoonmill.chart import bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.signals import StoreReachChanged
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.signals import PlatformDone, PlatformFailed
from monsoonmill.errors import PlatformRateLimitError, PlatformUnavailableError
from monsoonmill.eventlog import get_logger

UNANSWERED = (PlatformUnavailableError, PlatformRateLimitError)
"""Errors of a call that the store did not carry out for this node. With any other
error the store has answered, for example with the version that a write conflicts with.
"""
STORE_REACH_LOST = "store-reach-lost"
"""Counter of the times that the store stopped serving this node."""

log = get_logger("store_reach")


class StoreReach(Decision):
    """Reports that the store is lost after two failed calls in a row.

    A single failure says little, since the store may cut a watch that is waiting.
    """

    def __init__(self, counters: Counters):
        self._counters = counters
        self._outgoing = []
        self._chart = STORE_REACH_CHART.start(self)

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
        }

    def on_platform_done(self, signal, now):
        """Record that the store has answered."""
        return self._send("call_answered", signal)

    def on_platform_failed(self, signal, now):
        """Record that the store has not answered, or only with a refused write."""
        is_unanswered = isinstance(signal.error, UNANSWERED)
        return self._send("call_failed" if is_unanswered else "call_answered", signal)

    def _send(self, event, signal):
        self._chart.send(event, signal)
        out, self._outgoing = self._outgoing, []
        return out

    def report_lost(self, signal):
        """Report that the store doesn't serve this node."""
        self._counters.add(STORE_REACH_LOST)
        log.warning("store_reach_lost", call=signal.request, error=str(signal.error))
        self._outgoing.append(StoreReachChanged(False))

    def report_regained(self, signal):
        """Report that the store serves this node again."""
        log.info("store_reach_regained", call=signal.request)
        self._outgoing.append(StoreReachChanged(True))

    def status(self):
        """Return the state of the chart."""
        return {"state": self._chart.state}


STORE_REACH_CHART = bind_methods("store_reach", StoreReach)
