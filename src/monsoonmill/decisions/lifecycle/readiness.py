"""Decides when a node that has just started may accept calls.

A node that does not yet know the configuration or other nodes would refuse
calls for lack of keys, rates or backend servers that it learns a moment later.
"""

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.configuration.configuration import ConfigRegister, ConfigView
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.lifecycle.signals import Ready
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.signals import PlatformDone
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import Settings

START_TIMEOUT_S = 3.0
"""A node that knows no other node by then accepts calls anyway."""
START_TIMEOUT = "start_timeout"


class Readiness(Decision):
    """Signals once that the node may accept calls."""

    def __init__(
        self,
        cfg: Settings,
        members: Membership,
        view: ConfigView,
        register: ConfigRegister,
    ):
        self._has_seeds = bool(cfg.node.seeds)
        self._members = members
        self._view = view
        self._register = register
        self._timers = Timers()
        self._outgoing = []
        self._now = 0.0
        self._chart = None

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            ConfigChanged: self.on_knowledge_changed,
            MembersChanged: self.on_knowledge_changed,
            PlatformDone: self.on_knowledge_changed,
        }

    def start(self, now):
        """Start to wait for the configuration and other nodes."""
        self._chart = READINESS_CHART.start(self, now)
        return self.on_knowledge_changed(None, now)

    def next_due(self):
        """Return when the start times out."""
        return self._timers.next_due()

    def tick(self, now):
        """Handle the start time-out."""
        for _ in self._timers.pop_due(now):
            self._chart.send("start_timeout", now)
        yield from self._flush_outgoing()

    def on_knowledge_changed(self, signal, now):
        """Check whether the configuration and other nodes are known now."""
        self._chart.send("knowledge_changed", now)
        yield from self._flush_outgoing()

    def _flush_outgoing(self):
        out, self._outgoing = self._outgoing, []
        yield from out

    def has_config_and_peers(self, now):
        """Return whether the configuration and other nodes are known.

        A configuration that is still empty after the platform was read counts
        as known. Without seeds in the settings, no other node is expected.
        """
        has_config = self._view.config.revision > 0 or self._register.has_read_platform
        has_peers = not self._has_seeds or len(list(self._members.live())) > 1
        return has_config and has_peers

    def start_timer(self, now):
        """Start the timer after which the node accepts calls anyway."""
        self._timers.set(START_TIMEOUT, now + START_TIMEOUT_S)

    def report_ready(self, now):
        """Signal the front end to accept calls."""
        self._timers.cancel(START_TIMEOUT)
        self._outgoing.append(Ready())

    def status(self):
        """Return the state of the chart."""
        return {"state": self._chart.state if self._chart else "starting"}


READINESS_CHART = bind_methods("readiness", Readiness)
