"""Choice of a node by the expected time to a response.

The time is estimated from the mean time of recent runs at a backend server, the work
ahead of the call, and the distance. The better of two nodes drawn at random is
chosen, so that senders with the same old reports do not all choose the same node.
"""

from math import inf
from operator import attrgetter
from statistics import median

from monsoonmill.decisions.routing.router import (
    MAX_PREFERRED_LOAD,
    NearestPlacement,
    PlacementPolicy,
    Router,
)
from monsoonmill.model import Config, Member
from monsoonmill.value_classes import frozen

DATA_CENTRE_DISTANCE_S = 0.001
"""One-way time to another data centre of the region, as stated by the operators."""
REGION_DISTANCE_S = 0.03
"""One-way time to another region, as stated by the operators."""
EXPLORED_SHARE = 0.05
"""Share of calls for which the estimates are not used, as for nodes that say they
would shed: a server whose last runs were slow is measured again, and gets a share."""
WAIT_EXPONENT = 2
"""Exponent of the load of a busy server in the comparison of two: a wait weighs more
than the same time at a slow server, since the reports are old when the call arrives.
With 1, a fifth of the calls waited for over 60 ms at four modelled servers at 0.9 of
their capacity, one of them slowed at times; with 2, a thirtieth."""
LOAD_WEIGHT = 0.3
"""Weight of the load of a server in the comparison of two, also if it is not busy. It
outweighs differences of the estimates of up to a third, so that equal servers share the
calls, and not that of the slowest servers, a factor of 2 to 3."""
MEDIAN_TTL_S = 0.1
"""Time for which the median latency of a service is used; a report changes a mean by
a twentieth of a run's difference."""
MAX_SERVICES = 256
"""Number of services whose median is remembered; cleared when it would be exceeded."""


@frozen
class MedianLatency:
    """Median of the known latencies of a service's servers; 0 if none is known."""

    latency_s: float
    measured_at: float


@frozen
class Candidate:
    """A node to choose, with its estimates.

    Attributes
    ----------
    work : int
        Calls ahead of the next one.
    capacity : int
        Calls that may run at once.
    latency_s : float
        Mean time of a run.
    distance_s : float
        One-way time to the node.
    """

    member: Member
    work: int
    capacity: int
    latency_s: float
    distance_s: float

    @classmethod
    def from_router(
        cls, member: Member, router: Router, usual_s: float, now: float
    ) -> "Candidate":
        """Return a candidate as known to a router.

        Parameters
        ----------
        usual_s : float
            Latency to assume while the node's own is not known.
        """
        target = router.find_target(member.node)
        return cls(
            member,
            target.work_ahead(now),
            target.capacity,
            target.latency_s(now) or usual_s,
            distance_s(router.own, member),
        )

    @property
    def is_far(self) -> bool:
        """Whether the node is in another region."""
        return self.distance_s >= REGION_DISTANCE_S

    @property
    def load(self) -> float:
        """Calls for each slot, one more call included."""
        return (self.work + 1) / self.capacity

    @property
    def expected_s(self) -> float:
        """Expected time to a response."""
        return self.latency_s * max(self.load, 1.0) + 2 * self.distance_s

    @property
    def cost(self) -> tuple[float, float]:
        """Cost by which candidates are compared; the load decides between equals."""
        factor = max(self.load, 1.0) ** WAIT_EXPONENT + LOAD_WEIGHT * self.load
        return self.latency_s * factor + 2 * self.distance_s, self.load


class PacePlacement(PlacementPolicy):
    """Chooses by expected time among the nodes of the nearest group with capacity.

    Another region is used only if the expected time in the own one is longer by more
    than the round trip.
    """

    crosses_once = True

    def __init__(self):
        self._medians: dict[str, MedianLatency] = {}

    def preferred(self, members, router, now):
        """Return the nearest group with capacity.

        A policy of its own computes the medians, so that those in use stay unchanged.
        They are newer by up to ``MEDIAN_TTL_S``.
        """
        return PacePlacement()._nearest_group(members, router, now) if members else []

    def pick(self, members, router, now):
        """Return the name of a node, or None if there is none."""
        if not members:
            return None
        group = self._nearest_group(members, router, now)
        if router.rng.random() < EXPLORED_SHARE:
            return router.rng.choice(group).node
        drawn = router.rng.sample(group, min(len(group), 2))
        candidates = self._candidates(drawn, members, router, now)
        return min(candidates, key=attrgetter("cost")).member.node

    def _nearest_group(self, members, router, now):
        """Return the members of the nearest group with capacity, or of the region.

        The whole group is returned: senders that all chose among the few servers that
        seem to have free slots would flood them.
        """
        own = router.own
        region = [member for member in members if member.region == own.region]
        near = [member for member in region if member.data_centre == own.data_centre]
        for group in (near, region):
            if _has_capacity(group, router, now):
                return group
        if len(region) == len(members):
            return region
        far = self._far_group(members, router, now)
        return far or region or members

    def _far_group(self, members, router, now):
        """Return the members of other regions that respond sooner than this one."""
        candidates = list(self._candidates(members, members, router, now))
        here_s = min(
            (one.expected_s for one in candidates if not one.is_far), default=inf
        )
        return [
            one.member
            for one in candidates
            if one.is_far and one.load <= MAX_PREFERRED_LOAD and one.expected_s < here_s
        ]

    def _candidates(self, group, members, router, now):
        usual_s = self._median_s(members, router, now)
        return (Candidate.from_router(member, router, usual_s, now) for member in group)

    def _median_s(self, members, router, now):
        """Return the median of the known latencies of the members' service."""
        service = members[0].service
        known = self._medians.get(service)
        if known is None or now - known.measured_at >= MEDIAN_TTL_S:
            latencies = (
                router.find_target(member.node).latency_s(now) for member in members
            )
            known = MedianLatency(median([s for s in latencies if s] or [0.0]), now)
            if len(self._medians) >= MAX_SERVICES:
                self._medians.clear()
            self._medians[service] = known
        return known.latency_s


class ObjectivesPlacement(PlacementPolicy):
    """Chooses by pace where objectives are mixed, else the nearest node."""

    def __init__(self):
        self._nearest = NearestPlacement()
        self._by_pace = PacePlacement()

    def preferred(self, members, router, now):
        """Return the nearest nodes with free slots, as ``pick`` does."""
        return self._nearest.preferred(members, router, now)

    def pick(self, members, router, now):
        """Return the nearest node with free slots, until a configuration is known."""
        return self._nearest.pick(members, router, now)

    def in_force(self, config: Config) -> PlacementPolicy:
        """Return the policy that a configuration requires."""
        return self._by_pace if config.has_mixed_objectives else self._nearest


def distance_s(own: Member, other: Member) -> float:
    """Return the one-way time to another node in seconds."""
    if other.region != own.region:
        return REGION_DISTANCE_S
    return 0.0 if other.data_centre == own.data_centre else DATA_CENTRE_DISTANCE_S


def _has_capacity(group, router, now):
    """Return whether a group can take one more call, by all its slots."""
    work, capacity = 1, 0
    for member in group:
        target = router.find_target(member.node)
        work += target.work_ahead(now)
        capacity += target.capacity
    return work <= MAX_PREFERRED_LOAD * capacity
