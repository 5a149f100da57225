"""Choice of the few nodes that watch the platform for their data centre."""

from monsoonmill.decisions.configuration.configuration import ConfigRegister
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import rank_members
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import Settings

WATCH_DUTY = "config-watch"


def choose_watchers(members: Membership, count: int) -> list[Member]:
    """Return the nodes of the own data centre that watch the platform."""
    data_centre = members.own.data_centre
    candidates = [
        one
        for one in members.live()
        if one.data_centre == data_centre and one.state is MemberState.ALIVE
    ]
    return rank_members(WATCH_DUTY, candidates)[:count]


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
        chosen = choose_watchers(self._members, self._count)
        yield from self._register.watch(self._members.own in chosen, now)
