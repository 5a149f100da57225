"""Groups of the nodes that may spend tokens, and the relays of each group."""

from attrs import field, frozen

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member, rank_members
from monsoonmill.model import Member, MemberState

RELAY_RANKING_KEY = "quota-relay"
RELAYS_PER_GROUP = 2
"""Nodes of a group that report for it; the loss of one has no effect."""
WHOLE_FLEET = ""
"""Group of all nodes of a small fleet."""


@frozen
class ReportGroups:
    """The fleet as known to one node, without the nodes that are leaving.

    Nodes that were lost silently are included: they may still run and spend.

    Attributes
    ----------
    local_member : Member
        This node.
    group : str
        This node's group: its data centre, or the whole of a small fleet.
    nodes : dict
        Names of the nodes by group.
    relays : dict
        Names of the relays by group.
    remote_nodes : tuple of str
        Other nodes that are not believed to be gone.
    alive_group_members : tuple of Member
        Nodes of this group that are neither suspected nor leaving.
    leaving_nodes : frozenset of str
        Names of the leaving nodes of this group. They exchange reports, since they
        accept calls until the fleet has learned that they leave.
    """

    local_member: Member
    group: str = WHOLE_FLEET
    nodes: dict[str, frozenset[str]] = field(factory=dict)
    relays: dict[str, tuple[str, ...]] = field(factory=dict)
    remote_nodes: tuple[str, ...] = ()
    alive_group_members: tuple[Member, ...] = ()
    leaving_nodes: frozenset[str] = frozenset()
    _pool_holders: dict[str, str] = field(factory=dict)

    @classmethod
    def from_members(cls, members: Membership, most_ungrouped: int) -> "ReportGroups":
        """Build the groups from the current membership.

        Parameters
        ----------
        most_ungrouped : int
            A fleet of at most this many nodes is one group.
        """
        own = members.own
        spenders = [member for member in members.members() if may_spend(member)]
        is_small = len(spenders) <= most_ungrouped
        groups: dict[str, list[Member]] = {}
        for member in spenders:
            group = WHOLE_FLEET if is_small else member.data_centre
            groups.setdefault(group, []).append(member)
        group = WHOLE_FLEET if is_small else own.data_centre
        local_group = groups.get(group, ())
        return cls(
            own,
            group,
            {
                name: frozenset(member.node for member in group_members)
                for name, group_members in groups.items()
            },
            {
                name: _choose_relays(group_members)
                for name, group_members in groups.items()
            },
            tuple(member.node for member in members.live() if member.node != own.node),
            tuple(
                member for member in local_group if member.state is MemberState.ALIVE
            ),
            frozenset(
                member.node
                for member in members.members()
                if not may_spend(member) and group in (WHOLE_FLEET, member.data_centre)
            ),
        )

    @property
    def size(self) -> int:
        """Number of nodes that may spend."""
        return sum(len(names) for names in self.nodes.values())

    @property
    def local_nodes(self) -> frozenset[str]:
        """Nodes of this node's group."""
        return self.nodes.get(self.group, frozenset())

    @property
    def reporting_nodes(self) -> frozenset[str]:
        """Nodes of this node's group that exchange reports."""
        return self.local_nodes | self.leaving_nodes

    def group_of(self, node: str) -> str | None:
        """Return the group of a node; None if it is not known."""
        return next((name for name, names in self.nodes.items() if node in names), None)

    @property
    def is_relay(self) -> bool:
        """Whether this node reports for its group."""
        return self.has_pools and self.local_member.node in self.relays.get(
            self.group, ()
        )

    @property
    def has_pools(self) -> bool:
        """Whether the nodes of a group share token pools."""
        return len(self.nodes) > 1

    def pool_holder(self, organisation: str) -> str:
        """Return the holder of an organisation's pool in this group; empty for none."""
        if not self.has_pools:
            return ""
        if organisation not in self._pool_holders:
            holder = first_member(organisation, self.alive_group_members)
            self._pool_holders[organisation] = holder.node if holder else ""
        return self._pool_holders[organisation]

    @property
    def counterparts(self) -> tuple[str, ...]:
        """Nodes that this relay reports to: one of each other group.

        First relays report to first relays and second ones to second ones, so that
        either chain carries all reports if a node of the other one is lost.
        """
        rank = self.relays[self.group].index(self.local_member.node)
        return tuple(
            relays[rank % len(relays)]
            for name, relays in self.relays.items()
            if name != self.group and relays
        )


def may_spend(member: Member) -> bool:
    """Return whether a node has a part of the tokens; a leaving one has none."""
    return member.state is not MemberState.LEAVING


def _choose_relays(group_members):
    alive = [member for member in group_members if member.state is MemberState.ALIVE]
    return tuple(
        member.node
        for member in rank_members(RELAY_RANKING_KEY, alive)[:RELAYS_PER_GROUP]
    )
