"""Choice of the node, and so of the backend server, that runs a call.

Candidates are the nodes of a service that the call's regions and the evacuation orders
allow. A placement policy chooses among them, by the attempts that this node has
outstanding there and the load reported with the last reply.
"""

from abc import ABC, abstractmethod
from random import Random

from attrs import define

from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import (
    ConfigChanged,
    EvacuationsChanged,
)
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.health.health import Health
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.signals import PeerDown
from monsoonmill.messages import Load
from monsoonmill.model import Config, Member, MemberState
from monsoonmill.reasons import Importance

REPORTED_LOAD_TTL_S = 0.5
"""The load reported with a reply is used for this long."""
SHED_PROBE_RATIO = 0.05
"""Share of calls sent to a node although its last reply says it would shed them."""

MAX_INDEXED = 1024
"""Combinations of service and allowed regions whose candidates are kept. A fleet has
tens of services, and a few sets of regions for each."""
LATENCY_TTL_S = 2.0
"""A reported latency is used for this long; slow periods of a server that are caused
by others on its machine last for under a second."""
UNKNOWN_LIMIT = 1
"""Limit that is assumed at a server until a reply has reported its own. All senders see
a server that has returned as empty: with a tenth of its 25 slots for each of 30
modelled senders it got up to 36 calls at once, with 1 up to 19."""

MAX_PREFERRED_LOAD = 0.9
"""A node with at most this many calls per slot is preferred to nodes farther away."""
CROSS_REGION_PENALTY = 0.5
"""Calls per slot by which a node in another region must be less loaded."""


@define
class Target:
    """Load of a node, as known here.

    Attributes
    ----------
    outstanding_at_load : int
        Attempts that were outstanding when the load was reported.
    """

    outstanding: int = 0
    load: Load = Load()
    load_at: float = float("-inf")
    outstanding_at_load: int = 0

    def calls_per_slot(self, now: float, slots: int) -> float:
        """Return the number of calls for each slot, one more call included.

        Parameters
        ----------
        slots : int
            Slots that the backend server announced; used until a reply has
            reported the limit.
        """
        reported = 0
        limit = self.load.limit if self.load_at > float("-inf") else slots
        if now - self.load_at < REPORTED_LOAD_TTL_S:
            reported = self.load.running + self.load.waiting
        return (max(self.outstanding, reported) + 1) / max(limit, 1)

    @property
    def capacity(self) -> int:
        """Number of calls that may run at once, as reported."""
        if self.load_at == float("-inf"):
            return UNKNOWN_LIMIT
        return max(self.load.limit, 1)

    def work_ahead(self, now: float) -> int:
        """Return the number of calls ahead of the next one.

        Attempts that were sent since the last report count in addition to it.
        """
        ahead = self.outstanding
        if now - self.load_at < REPORTED_LOAD_TTL_S:
            reported = self.load.running + self.load.waiting
            since = self.outstanding - self.outstanding_at_load
            ahead = max(ahead, reported + max(since, 0))
        return ahead

    def latency_s(self, now: float) -> float:
        """Return the mean time of recent runs in seconds; 0 if it is not known."""
        if now - self.load_at >= LATENCY_TTL_S:
            return 0.0
        return self.load.latency_ms / 1000

    def would_admit(self, importance: Importance, now: float) -> bool:
        """Return whether a call would be admitted, by the level of the last reply."""
        return (
            now - self.load_at >= REPORTED_LOAD_TTL_S or importance >= self.load.level
        )


UNUSED_TARGET = Target()
"""Load of the nodes to which no attempt has been sent."""


class PlacementPolicy(ABC):
    """Chooses among the nodes that would admit a call.

    Attributes
    ----------
    crosses_once : bool
        Whether a chain that has left its region once is kept where it is.
    """

    crosses_once = False

    def in_force(self, config: Config) -> "PlacementPolicy":
        """Return the policy to use with a configuration."""
        return self

    @abstractmethod
    def preferred(
        self, members: list[Member], router: "Router", now: float
    ) -> list[Member]:
        """Return the nodes that ``pick`` draws from, without changing any state."""

    @abstractmethod
    def pick(self, members: list[Member], router: "Router", now: float) -> str | None:
        """Return the name of a node, or None if there is none."""


class RegionPlacement(PlacementPolicy):
    """Chooses between two random nodes of the own region, or else of any region."""

    def preferred(self, members, router, now):
        """Return the nodes of the own region, or else all."""
        local = [member for member in members if member.region == router.own.region]
        return local or members

    def pick(self, members, router, now):
        """Return the name of a node, or None if there is none."""
        group = self.preferred(members, router, now)
        return less_loaded_of_two(group, router, now) if group else None


class NearestPlacement(PlacementPolicy):
    """Chooses a node of the nearest group with free slots, or the least loaded node.

    Traffic between regions is slow and charged by volume, so a distant node is
    used only when the near ones are full.
    """

    def preferred(self, members, router, now):
        """Return the nearest nodes with free slots, or the least loaded node."""
        own = router.own
        loads = [(router.calls_per_slot(member, now), member) for member in members]
        free = [member for load, member in loads if load <= MAX_PREFERRED_LOAD]
        if not free:
            return self._least_loaded(loads, own)
        near = [member for member in free if member.data_centre == own.data_centre]
        if not near:
            near = [member for member in free if member.region == own.region]
        return near or free

    def pick(self, members, router, now):
        """Return the name of a node, or None if there is none."""
        group = self.preferred(members, router, now)
        return less_loaded_of_two(group, router, now) if group else None

    def _least_loaded(self, loads, own):
        def cost(pair):
            load, member = pair
            return load + (0.0 if member.region == own.region else CROSS_REGION_PENALTY)

        return [min(loads, key=cost)[1]] if loads else []


def less_loaded_of_two(members: list[Member], router: "Router", now: float) -> str:
    """Return the less loaded of two nodes drawn at random."""
    if len(members) == 1:
        return members[0].node
    first, second = router.rng.sample(members, 2)

    def cost(member):
        is_far = member.data_centre != router.own.data_centre
        return router.calls_per_slot(member, now), is_far

    return min(first, second, key=cost).node


class Router(Decision):
    """Chooses a node for each attempt of a call."""

    def __init__(
        self,
        members: Membership,
        health: Health,
        rng: Random,
        placement: PlacementPolicy,
        view: ConfigView | None = None,
    ):
        self._view = view or ConfigView()
        self._members = members
        self.rng = rng
        self._health = health
        self._variants = placement
        self._placement = placement
        self._targets: dict[str, Target] = {}
        self._by_service: dict[tuple[str, frozenset[str] | None], list[Member]] = {}
        self._indexed_own = None

    @property
    def own(self) -> Member:
        """Member entry of the own node."""
        return self._members.own

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            ConfigChanged: self.on_config_changed,
            EvacuationsChanged: self.on_evacuations_changed,
            MembersChanged: self.on_members_changed,
            PeerDown: self.on_peer_down,
        }

    def on_config_changed(self, signal, now):
        """Use the policy that the new configuration requires."""
        self._placement = self._variants.in_force(signal.new)
        self._by_service.clear()
        return ()

    def on_evacuations_changed(self, signal, now):
        """Discard the candidates under other orders, and what is known of servers.

        Those that return get calls slowly, as servers without a report do.
        """
        self._by_service.clear()
        returning = signal.old.data_centres - signal.new.data_centres
        for member in self._members.members():
            if member.data_centre in returning:
                self._targets.pop(member.node, None)
        return ()

    def on_members_changed(self, signal, now):
        """Discard the indexed candidates, and the load of nodes that are not live."""
        self._by_service.clear()
        live = {member.node for member in self._members.live()}
        for node in set(self._targets) - live:
            del self._targets[node]
        return ()

    def on_peer_down(self, signal, now):
        """Discard the load of a node whose stream was lost."""
        self._targets.pop(signal.node, None)
        return ()

    def target(self, node: str) -> Target:
        """Return what is known of the load of a node."""
        if node not in self._targets:
            self._targets[node] = Target()
        return self._targets[node]

    def find_target(self, node: str) -> Target:
        """Return what is known of the load of a node, not to be changed.

        Unlike ``target`` it creates no entry.
        """
        return self._targets.get(node, UNUSED_TARGET)

    def calls_per_slot(self, member: Member, now: float) -> float:
        """Return the number of calls for each slot of a node."""
        return self.find_target(member.node).calls_per_slot(now, member.slots)

    def record_start(self, node: str) -> None:
        """Record that an attempt was sent to a node."""
        self.target(node).outstanding += 1

    def record_end(self, node: str, load: Load | None, now: float) -> None:
        """Record the end of an attempt, with the load reported by its reply."""
        target = self.target(node)
        target.outstanding = max(target.outstanding - 1, 0)
        if load is not None:
            target.load = load
            target.load_at = now
            target.outstanding_at_load = target.outstanding

    def choose(
        self,
        service: str,
        importance: Importance,
        excluded: frozenset,
        now: float,
        regions: frozenset[str] | None = None,
        has_crossed: bool = False,
    ) -> str | None:
        """Return the node for an attempt, or None if there is none.

        Parameters
        ----------
        excluded : frozenset of str
            Names of nodes that are not chosen.
        regions : frozenset of str or None
            Regions in which the call may be served; None for all.
        has_crossed : bool
            Whether the call's chain has already left a region. It may do so again
            only if there is no backend server in this one.
        """
        candidates = self._candidates(service, regions)
        if has_crossed and self._placement.crosses_once:
            region = self.own.region
            local = [member for member in candidates if member.region == region]
            candidates = local or candidates
        remaining = [member for member in candidates if member.node not in excluded]
        admitting = [
            member
            for member in self.usable(remaining, now)
            if self._admits(member, importance, now)
        ]
        return self._placement.pick(admitting, self, now)

    def usable(self, members: list[Member], now: float) -> list[Member]:
        """Return the members that are not ejected, or all if there are none."""
        is_ejected = self._health.is_ejected
        fit = [member for member in members if not is_ejected(member.node, now)]
        return fit or members

    def is_ejected(self, member: Member, now: float) -> bool:
        """Return whether a node is ejected because of its answers."""
        return self._health.is_ejected(member.node, now)

    def would_admit(self, member: Member, importance: Importance, now: float) -> bool:
        """Return whether a node would admit a call, by its last reply."""
        return self.find_target(member.node).would_admit(importance, now)

    def preferred(self, members: list[Member], now: float) -> list[Member]:
        """Return those of the admitting members that are drawn from now."""
        return self._placement.preferred(members, self, now)

    def members_of(self, service: str) -> list[Member]:
        """Return all entries with a service, whether or not they may be chosen."""
        return [each for each in self._members.members() if each.service == service]

    def has_backend_server(
        self, service: str, regions: frozenset[str] | None = None
    ) -> bool:
        """Return whether any node in the regions serves a service."""
        return bool(self._candidates(service, regions))

    def nodes_beside(self, node: str) -> set[str]:
        """Return the names of the nodes in the data centre of a node."""
        members = list(self._members.members())
        data_centres = {each.data_centre for each in members if each.node == node}
        return {each.node for each in members if each.data_centre in data_centres}

    def is_in_own_region(self, node: str) -> bool:
        """Return whether a node is in the own region, as far as it is known."""
        member = self._members.find(node)
        return member is None or member.region == self.own.region

    def _admits(self, member, importance, now):
        if self.find_target(member.node).would_admit(importance, now):
            return True
        return self.rng.random() < SHED_PROBE_RATIO

    def _candidates(self, service, regions):
        if self._indexed_own is not self._members.own:
            self._indexed_own = self._members.own
            self._by_service.clear()
        key = (service, regions)
        if key not in self._by_service:
            if len(self._by_service) >= MAX_INDEXED:
                self._by_service.clear()
            self._by_service[key] = self.find_candidates(service, regions)
        return self._by_service[key]

    def find_candidates(
        self, service: str, regions: frozenset[str] | None
    ) -> list[Member]:
        """Return the nodes to choose from, without the index of earlier results."""
        serving = [
            member
            for member in self.members_of(service)
            if member.accepts_calls
            and member.data_centre not in self._view.evacuated
            and (regions is None or member.region in regions)
        ]
        alive = [member for member in serving if member.state is MemberState.ALIVE]
        suspect = [member for member in serving if member.state is MemberState.SUSPECT]
        return alive or suspect

    def status(self):
        """Return the number of outstanding attempts by node."""
        return {name: target.outstanding for name, target in self._targets.items()}
