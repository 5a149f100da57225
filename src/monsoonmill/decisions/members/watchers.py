"""Choice of the nodes that watch the platform on behalf of their data centre."""

from monsoonmill.decisions.configuration.configuration import ConfigRegister
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import rank_members
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.timers import Timers
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import PlatformSettings, Settings

WATCHER_HASH_KEY = "config-watch"
FIRST_CHOICE = "first-choice"
FIRST_CHOICE_DELAY_S = 1.5
"""Time after the start in which a node gets to know the others. Each node that knows
nobody would otherwise choose itself."""

log = get_logger("watchers")


def choose_watchers(members: Membership, cfg: PlatformSettings) -> list[Member]:
    """Return the nodes of the local data centre that watch the platform.

    The watchers of a fleet are divided among its data centres, so that the calls to
    the platform don't grow with their number.
    """
    own = members.own
    alive = [member for member in members.live() if member.state is MemberState.ALIVE]
    data_centres = {(member.region, member.data_centre) for member in (own, *alive)}
    share = max(cfg.watchers // len(data_centres), 1)
    candidates = [member for member in alive if is_in_same_data_centre(member, own)]
    ranked = rank_members(WATCHER_HASH_KEY, candidates)
    return ranked[: min(share, cfg.max_watchers_per_data_centre)]


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
        self._is_watcher = False

    def handlers(self):
        """Return the handlers of this decision."""
        return {MembersChanged: self.on_members_changed}

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

    def status(self):
        """Return whether the local node is a watcher."""
        return {"is_watcher": self._is_watcher}
