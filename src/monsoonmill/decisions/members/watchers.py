"""Choice of the nodes that watch the platform on behalf of their data centre."""

from monsoonmill.decisions.configuration.configuration import ConfigRegister
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import rank_members
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import Settings

WATCHER_HASH_KEY = "config-watch"


def choose_watchers(members: Membership, count: int) -> list[Member]:
    """Return the nodes of the local data centre that watch the platform."""
    data_centre = members.own.data_centre
    candidates = [
        member
        for member in members.live()
        if member.data_centre == data_centre and member.state is MemberState.ALIVE
    ]
    return rank_members(WATCHER_HASH_KEY, candidates)[:count]


class WatcherChoice(Decision):
    """Turns the platform watch on while the local node is one of the watchers."""

    def __init__(self, cfg: Settings, members: Membership, register: ConfigRegister):
        self._count = cfg.platform.watchers_per_data_centre
        self._members = members
        self._register = register

    def handlers(self):
        """Return the handlers of this decision."""
        return {MembersChanged: self.on_members_changed}

    def start(self, now):
        """Choose among the nodes known so far, at first the local one only."""
        return self.on_members_changed(None, now)

    def on_members_changed(self, signal, now):
        """Choose the watchers again and start or stop the local watch."""
        watchers = choose_watchers(self._members, self._count)
        yield from self._register.set_watching(self._members.own in watchers, now)
