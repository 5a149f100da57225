"""The nodes that may spend tokens, in groups, and who reports for each group."""

from attrs import field, frozen

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member, rank_members
from monsoonmill.model import Member, MemberState

RELAY_DUTY = "quota-relay"
RELAYS = 2
"""Nodes of a group that report for it; one may be lost unnoticed."""
WHOLE_FLEET = ""
"""Group of all nodes of a small fleet."""


@frozen
class ReportGroups:
    """The fleet as one node knows it, without the nodes that leave.

    Nodes that were lost silently are counted: they may live and spend.

    Attributes
    ----------
    own : Member
    group : str
        The own node's group: its data centre, or the whole of a small fleet.
    nodes : dict
        Names of the nodes by group.
    relays : dict
        Names of those that report for their group, by group.
    live : tuple of str
        Nodes that are not believed to be gone, without the own one.
    alive_own_nodes : tuple of Member
        Nodes of the own group that are neither doubted nor leaving.
    """

    own: Member
    group: str = WHOLE_FLEET
    nodes: dict[str, frozenset[str]] = field(factory=dict)
    relays: dict[str, tuple[str, ...]] = field(factory=dict)
    live: tuple[str, ...] = ()
    alive_own_nodes: tuple[Member, ...] = ()
    _holders: dict[str, str] = field(factory=dict)

    @classmethod
    def of(cls, members: Membership, most_ungrouped: int) -> "ReportGroups":
        """Count the members as they are known now.

        Parameters
        ----------
        most_ungrouped : int
            A fleet of at most so many nodes is one group.
        """
        own = members.own
        entries = [one for one in members.members() if may_spend(one)]
        is_small = len(entries) <= most_ungrouped
        groups: dict[str, list[Member]] = {}
        for one in entries:
            group = WHOLE_FLEET if is_small else one.data_centre
            groups.setdefault(group, []).append(one)
        group = WHOLE_FLEET if is_small else own.data_centre
        own_group = groups.get(group, ())
        return cls(
            own,
            group,
            {
                name: frozenset(one.node for one in each)
                for name, each in groups.items()
            },
            {name: _choose_relays(each) for name, each in groups.items()},
            tuple(one.node for one in members.live() if one.node != own.node),
            tuple(one for one in own_group if one.state is MemberState.ALIVE),
        )

    @property
    def size(self) -> int:
        """Number of nodes that may spend."""
        return sum(len(one) for one in self.nodes.values())

    @property
    def own_nodes(self) -> frozenset[str]:
        """Nodes of the own group."""
        return self.nodes.get(self.group, frozenset())

    def group_of(self, node: str) -> str | None:
        """Return the group of a node; None if it is not known."""
        return next((name for name, one in self.nodes.items() if node in one), None)

    @property
    def is_relay(self) -> bool:
        """Whether the own node reports for its group."""
        return self.has_pools and self.own.node in self.relays.get(self.group, ())

    @property
    def has_pools(self) -> bool:
        """Whether the nodes of a group hold a part of their tokens in common."""
        return len(self.nodes) > 1

    def pool_holder(self, organisation: str) -> str:
        """Return who holds an organisation's pool in the own group; empty for none."""
        if not self.has_pools:
            return ""
        if organisation not in self._holders:
            holder = first_member(organisation, self.alive_own_nodes)
            self._holders[organisation] = holder.node if holder else ""
        return self._holders[organisation]

    @property
    def counterparts(self) -> tuple[str, ...]:
        """Nodes that this relay reports to: one of each other group.

        First relays report to first ones and second ones to second ones, so that
        either chain carries everything while a node of the other is lost.
        """
        place = self.relays[self.group].index(self.own.node)
        return tuple(
            relays[place % len(relays)]
            for name, relays in self.relays.items()
            if name != self.group and relays
        )


def may_spend(member: Member) -> bool:
    """Return whether a node may spend tokens; one that leaves takes no calls."""
    return member.state is not MemberState.LEAVING


def _choose_relays(group):
    alive = [one for one in group if one.state is MemberState.ALIVE]
    return tuple(one.node for one in rank_members(RELAY_DUTY, alive)[:RELAYS])
