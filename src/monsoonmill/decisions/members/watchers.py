"""Choice of the nodes that watch the platform on behalf of their data centre."""

from attrs import frozen

from monsoonmill.decisions.configuration.configuration import ConfigRegister
from monsoonmill.decisions.configuration.signals import StoreReachChanged
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import rank_members
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.signals import Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import PlatformSettings, Settings

WATCHER_HASH_KEY = "config-watch"
STAND_INS = 2
"""Nodes that may stand in for each watcher that the store turns away. This also bounds
how many nodes call a store that serves nobody."""
FIRST_CHOICE = "first-choice"
FIRST_CHOICE_DELAY_S = 1.5
"""Time after the start in which a node gets to know the others. Each node that knows
nobody would otherwise choose itself."""

log = get_logger("watchers")


@frozen
class WatcherRanking:
    """Nodes of one data centre that may watch the platform, the preferred ones first.

    Attributes
    ----------
    count : int
        Number of nodes that watch at the same time.
    """

    candidates: tuple[Member, ...]
    count: int

    @property
    def watchers(self) -> list[Member]:
        """The nodes that watch the platform.

        Nodes that the store turns away are passed over, unless it turns away their
        stand-ins as well.
        """
        served = [member for member in self.candidates if member.reaches_store]
        return list(served or self.candidates)[: self.count]


def rank_watchers(members: Membership, cfg: PlatformSettings) -> WatcherRanking:
    """Return the possible watchers of the local data centre.

    The watchers of a fleet are divided among its data centres, so that the calls to
    the platform don't grow with their number.
    """
    own = members.own
    alive = [member for member in members.live() if member.state is MemberState.ALIVE]
    data_centres = {(member.region, member.data_centre) for member in (own, *alive)}
    share = max(cfg.watchers // len(data_centres), 1)
    count = min(share, cfg.max_watchers_per_data_centre)
    local = [member for member in alive if is_in_same_data_centre(member, own)]
    ranked = rank_members(WATCHER_HASH_KEY, local)
    return WatcherRanking(tuple(ranked[: count * (1 + STAND_INS)]), count)


def choose_watchers(members: Membership, cfg: PlatformSettings) -> list[Member]:
    """Return the nodes of the local data centre that watch the platform."""
    return rank_watchers(members, cfg).watchers


def is_in_same_data_centre(member: Member, other: Member) -> bool:
    """Return whether two nodes are in the same data centre."""
    return member.data_centre == other.data_centre and member.region == other.region


class WatcherChoice(Decision):
    """Turns the platform watch on while the local node is one of the watchers."""

    def __init__(self, cfg: Settings, members: Membership, register: ConfigRegister):
        self._cfg = cfg.platform
        self._members = members
        self._register = register
        self._timers = Timers()
        self._knows_fleet = False
        self._reaches_store = True
        self._is_watcher = False

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            MembersChanged: self.on_members_changed,
            StoreReachChanged: self.on_store_reach_changed,
        }

    def next_due(self):
        """Return when the first choice is due."""
        return self._timers.next_due()

    def start(self, now):
        """Schedule the first choice; the register has read the configuration."""
        self._timers.set(FIRST_CHOICE, now + FIRST_CHOICE_DELAY_S)
        return ()

    def tick(self, now):
        """Make the first choice."""
        for _ in self._timers.pop_due(now):
            self._knows_fleet = True
            yield from self.on_members_changed(None, now)

    def on_members_changed(self, signal, now):
        """Choose the watchers again and start or stop the local watch."""
        if not self._knows_fleet:
            return
        ranking = rank_watchers(self._members, self._cfg)
        is_candidate = self._members.own in ranking.candidates
        is_reached = self._reaches_store or not is_candidate
        yield from self._members.announce_store_reach(is_reached, now)
        watchers = choose_watchers(self._members, self._cfg)
        is_watcher = self._members.own in watchers
        if is_watcher != self._is_watcher:
            self._is_watcher = is_watcher
            log.info(
                "watcher_chosen" if is_watcher else "watcher_replaced",
                watchers=[member.node for member in watchers],
                alive=sum(1 for _ in self._members.live()),
            )
        yield from self._register.set_watching(is_watcher, now)

    def on_store_reach_changed(self, signal, now):
        """Choose again, and tell the stand-ins at once, which is faster than gossip."""
        self._reaches_store = signal.is_reached
        yield from self.on_members_changed(signal, now)
        own = self._members.own
        if own.reaches_store:
            return
        for member in choose_watchers(self._members, self._cfg):
            if member.node != own.node:
                gossip = self._members.gossip(answer=False, about=(own.node,))
                yield Send(member.node, gossip)

    def status(self):
        """Return whether the local node is a watcher."""
        return {"is_watcher": self._is_watcher}
