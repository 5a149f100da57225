"""Choice of the node, and so of the backend server, that runs a call.

The better of two candidates drawn at random wins, by what this node has sent
there and what the last reply told of the load. Other regions serve only when
the own one can't.
"""

from abc import ABC, abstractmethod
from random import Random

from attrs import define

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.health.health import Health
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.signals import PeerDown
from monsoonmill.messages import Load
from monsoonmill.model import Member, MemberState
from monsoonmill.reasons import Importance

LEVEL_MEMORY_S = 0.5
"""A reply's load is believed for this long."""
LEVEL_PROBE_SHARE = 0.05
"""Share of calls that are sent although the last reply says they would be shed."""

ROOMY_PRESSURE = 0.9
"""A node with fewer calls for each slot is preferred to one farther away."""
FAR_PRESSURE = 0.5
"""Calls for each slot by which a node in another region must be less pressed."""


@define
class Target:
    """What this node knows of another one as a place to run calls."""

    outstanding: int = 0
    load: Load = Load()
    load_at: float = float("-inf")

    def pressure(self, now: float, slots: int) -> float:
        """Return the calls there for each that may run at once.

        Parameters
        ----------
        slots : int
            Slots that the backend server announced, for as long as no reply
            has told the limit.
        """
        reported = 0
        limit = self.load.limit if self.load_at > float("-inf") else slots
        if now - self.load_at < LEVEL_MEMORY_S:
            reported = self.load.running + self.load.waiting
        return (max(self.outstanding, reported) + 1) / max(limit, 1)

    def admits(self, importance: Importance, now: float) -> bool:
        """Return whether the last reply says that a call would be admitted."""
        return now - self.load_at >= LEVEL_MEMORY_S or importance >= self.load.level


class Placing(ABC):
    """Picks one of the nodes that would admit a call."""

    @abstractmethod
    def pick(self, members: list[Member], router: "Router", now: float) -> str | None:
        """Return the name of a node, or None if there is none."""


class PlaceInRegion(Placing):
    """The better of two nodes of the own region, or of any if there is none."""

    def pick(self, members, router, now):
        """Return the name of a node, or None if there is none."""
        local = [one for one in members if one.region == router.own.region]
        group = local or members
        return better_of_two(group, router, now) if group else None


class PlaceNearby(Placing):
    """A node of the nearest group that has room, or the least pressed one.

    What crosses regions takes long and is paid by volume, so a far node is
    taken only when the near ones are full.
    """

    def pick(self, members, router, now):
        """Return the name of a node, or None if there is none."""
        own = router.own
        costs = [(router.pressure(one, now), one) for one in members]
        roomy = [one for pressure, one in costs if pressure <= ROOMY_PRESSURE]
        if not roomy:
            return self._least_pressed(costs, own)
        near = [one for one in roomy if one.data_centre == own.data_centre]
        if not near:
            near = [one for one in roomy if one.region == own.region]
        return better_of_two(near or roomy, router, now)

    def _least_pressed(self, costs, own):
        def cost(pair):
            pressure, member = pair
            return pressure + (0.0 if member.region == own.region else FAR_PRESSURE)

        return min(costs, key=cost)[1].node if costs else None


def better_of_two(members: list[Member], router: "Router", now: float) -> str:
    """Return the less pressed of two nodes drawn at random."""
    if len(members) == 1:
        return members[0].node
    one, other = router.rng.sample(members, 2)

    def cost(member):
        is_far = member.data_centre != router.own.data_centre
        return router.pressure(member, now), is_far

    return min(one, other, key=cost).node


class Router(Decision):
    """Picks a node for each try of a call."""

    def __init__(
        self,
        members: Membership,
        health: Health,
        rng: Random,
        placing: Placing,
    ):
        self._members = members
        self.rng = rng
        self._health = health
        self._placing = placing
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._own_entry = None

    @property
    def own(self) -> Member:
        """Entry of the own node."""
        return self._members.own

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            MembersChanged: self.on_members_changed,
            PeerDown: self.on_peer_down,
        }

    def on_members_changed(self, signal, now):
        """Index the candidates anew when next needed; forget the dead."""
        self._by_service.clear()
        live = {one.node for one in self._members.live()}
        for node in set(self._targets) - live:
            del self._targets[node]
        return ()

    def on_peer_down(self, signal, now):
        """Forget what was outstanding at a node whose stream broke."""
        self._targets.pop(signal.node, None)
        return ()

    def target(self, node: str) -> Target:
        """Return what is known of a node as a target."""
        if node not in self._targets:
            self._targets[node] = Target()
        return self._targets[node]

    def pressure(self, member: Member, now: float) -> float:
        """Return the calls at a node for each that may run at once."""
        return self.target(member.node).pressure(now, member.slots)

    def record_start(self, node: str) -> None:
        """Note a try that was sent to a node."""
        self.target(node).outstanding += 1

    def record_end(self, node: str, load: Load | None, now: float) -> None:
        """Note the end of a try, with the load that the reply told."""
        target = self.target(node)
        target.outstanding = max(target.outstanding - 1, 0)
        if load is not None:
            target.load = load
            target.load_at = now

    def choose(
        self, service: str, importance: Importance, excluded: frozenset, now: float
    ) -> str | None:
        """Return the node for a try, or None if there is none."""
        candidates = self._candidates(service)
        usable = [
            one
            for one in candidates
            if one.node not in excluded and not self._health.is_ejected(one.node, now)
        ]
        if not usable:
            usable = [one for one in candidates if one.node not in excluded]
        admitting = [one for one in usable if self._admits(one, importance, now)]
        return self._placing.pick(admitting, self, now)

    def has_backend_server(self, service: str) -> bool:
        """Return whether any node has a backend server of the service."""
        return bool(self._candidates(service))

    def _admits(self, member, importance, now):
        if self.target(member.node).admits(importance, now):
            return True
        return self.rng.random() < LEVEL_PROBE_SHARE

    def _candidates(self, service):
        if self._own_entry is not self._members.own:
            self._own_entry = self._members.own
            self._by_service.clear()
        if service not in self._by_service:
            self._by_service[service] = list(self._find(service))
        return self._by_service[service]

    def _find(self, service):
        fitting = [
            one
            for one in self._members.members()
            if one.service == service and one.accepts_calls
        ]
        alive = [one for one in fitting if one.state is MemberState.ALIVE]
        suspect = [one for one in fitting if one.state is MemberState.SUSPECT]
        return alive or suspect

    def status(self):
        """Return the outstanding tries by node."""
        return {name: one.outstanding for name, one in self._targets.items()}
