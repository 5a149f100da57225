"""Choice of the few nodes that watch the platform for their data centre."""

from monsoonmill.decisions.configuration import ConfigRegister
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.membership import Membership
from monsoonmill.decisions.rendezvous import rank_members
from monsoonmill.decisions.signals import MembersChanged
from monsoonmill.model import MemberState
from monsoonmill.settings import Settings

WATCH_DUTY = "config-watch"


class WatcherChoice(Decision):
    """Lets the register watch while this node is one of the watchers."""

    def __init__(self, cfg: Settings, members: Membership, register: ConfigRegister):
        self._count = cfg.platform.watchers_per_data_centre
        self._members = members
        self._register = register

    def handlers(self):
        """Return the handlers of this decision."""
        return {MembersChanged: self.on_members_changed}

    def start(self, now):
        """Watch until others are known."""
        return self.on_members_changed(None, now)

    def on_members_changed(self, signal, now):
        """Choose anew among the nodes of the data centre."""
        own = self._members.own
        candidates = [
            one
            for one in self._members.live()
            if one.data_centre == own.data_centre and one.state is MemberState.ALIVE
        ]
        chosen = rank_members(WATCH_DUTY, candidates)[: self._count]
        yield from self._register.watch(own in chosen, now)
