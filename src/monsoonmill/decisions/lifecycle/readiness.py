"""When a node that has just started may take calls.

A node without the configuration or without other nodes would refuse calls that
it may well take a moment later, for want of keys, rates or backend servers.
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

START_LIMIT_S = 3.0
"""A node that has not heard of others by then takes calls as it is."""
LIMIT = "limit"


class Readiness(Decision):
    """Tells once that the node may take calls."""

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
        self._out = []
        self._now = 0.0
        self._chart = None

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            ConfigChanged: self.on_changed,
            MembersChanged: self.on_changed,
            PlatformDone: self.on_changed,
        }

    def start(self, now):
        """Begin to wait."""
        self._chart = READINESS_CHART.start(self, now)
        return self.on_changed(None, now)

    def next_due(self):
        """Return when the waiting ends at the latest."""
        return self._timers.next_due()

    def tick(self, now):
        """End the waiting."""
        for _ in self._timers.pop_due(now):
            self._chart.send("time_up", now)
        yield from self._flush()

    def on_changed(self, signal, now):
        """Look whether the node knows enough."""
        self._chart.send("changed", now)
        yield from self._flush()

    def _flush(self):
        out, self._out = self._out, []
        yield from out

    def knows_enough(self, now):
        """Return whether the configuration and other nodes are known."""
        has_config = self._view.config.revision > 0 or self._register.has_read
        knows_others = not self._has_seeds or len(list(self._members.live())) > 1
        return has_config and knows_others

    def start_limit(self, now):
        """Set the end of the waiting."""
        self._timers.set(LIMIT, now + START_LIMIT_S)

    def tell_ready(self, now):
        """Let the front end take calls."""
        self._timers.cancel(LIMIT)
        self._out.append(Ready())

    def status(self):
        """Return the state."""
        return {"state": self._chart.state if self._chart else "starting"}


READINESS_CHART = bind_methods("readiness", Readiness)
