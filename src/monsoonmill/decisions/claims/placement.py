"""Placement of the two replicas of each claim partition.

A record is changed only by a node that it names, or by another node once both of
those are lost. The preferred pair is in two data centres of one region: a replica
in another region would add its latency to each claim.
"""

from collections.abc import Iterable
from enum import Enum, unique

from attrs import evolve

from monsoonmill.claim_records import (
    NEVER_EMPTIED,
    ClaimMap,
    CopyHolder,
    PartitionRecord,
)
from monsoonmill.decisions.claims.replica import Replica
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member, rank_members
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import ClaimSettings

MINORITY_WAIT_S = 10.0
"""Time for which a node that has just lost most others treats them as present.

The majority thus makes its changes first.
"""
RECENT_LOSS_S = 30.0
"""A node that became unavailable within this time counts as just lost."""
SUSPECT_TOLERANCE_S = 1.0
"""Time that the holder of the other replica may be suspect before it is replaced."""
UNKNOWN_NODE_TIMEOUT_S = 15.0
"""Time after which a holder that the member list lacks is considered lost."""
MINORITY_LOSS_FACTOR = 5
"""Factor on ``lost_s`` for a node that can't reach at least half of the fleet."""


@unique
class HolderStatus(Enum):
    """Presumed status of the process that holds a replica."""

    PRESENT = "present"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    LOST = "lost"


class Placement:
    """Determines the records that should follow the current ones."""

    def __init__(self, cfg: ClaimSettings, members: Membership, own: CopyHolder):
        self.own = own
        self._cfg = cfg
        self._members = members
        self._unavailable_since: dict[str, float] = {}
        self._is_minority = False
        self._excluded_until: dict[str, float] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether this node is about to leave the fleet."""
        return self._members.own.state is MemberState.LEAVING

    def alive(self) -> list[Member]:
        """Return the nodes that may be given a replica."""
        return [
            member
            for member in self._members.members()
            if member.state is MemberState.ALIVE
        ]

    def initial_map(self, partitions: int) -> ClaimMap:
        """Return the first map of a fleet."""
        return ClaimMap(
            tuple(self._initial_record(partition) for partition in range(partitions))
        )

    def _initial_record(self, partition):
        primary, backup = self._preferred_pair(partition, self.alive())
        return PartitionRecord(primary or self.own, backup, transfer="")

    def _preferred_pair(self, partition, candidates):
        first = first_member(f"claims/{partition}", candidates)
        if first is None:
            return None, None
        return _copy_holder(first), self._preferred_partner(partition, first)

    def _preferred_partner(self, partition, first: Member) -> CopyHolder | None:
        """Return the preferred holder of the second replica, given the first one."""

        def distance(member):
            in_region = member.region == first.region
            return (not in_region, member.data_centre == first.data_centre)

        ranked = rank_members(f"claims/{partition}", self.alive())
        others = [
            member
            for member in ranked
            if member.node != first.node and member.node not in self._excluded_until
        ]
        # Among equals, ``min`` takes the first, which has the highest rank.
        return _copy_holder(min(others, key=distance)) if others else None

    def exclude(self, node: str, until: float) -> None:
        """Assign no replica until a given time to a node that accepted no transfer."""
        self._excluded_until[node] = until

    # Status of the holders.
    def update_availability(
        self, records: Iterable[PartitionRecord], now: float
    ) -> None:
        """Track since when nodes have been suspect, dead or unknown."""
        nodes = {member.node for member in self._members.members()}
        nodes |= {record.primary.node for record in records}
        nodes |= {record.backup.node for record in records if record.backup is not None}
        unavailable = {node for node in nodes if self._is_unavailable(node)}
        since = self._unavailable_since
        self._unavailable_since = {node: since.get(node, now) for node in unavailable}
        self._excluded_until = {
            node: until for node, until in self._excluded_until.items() if until > now
        }
        recent = [
            start
            for start in self._unavailable_since.values()
            if now - start < RECENT_LOSS_S
        ]
        self._is_minority = len(recent) > len(self.alive())

    def _is_unavailable(self, node):
        member = self._members.find(node)
        return member is None or member.state in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        )

    def holder_status(self, holder: CopyHolder | None, now: float) -> HolderStatus:
        """Return the presumed status of a holder."""
        if holder is None:
            return HolderStatus.LOST
        if self._has_restarted(holder):
            return HolderStatus.LOST
        if holder == self.own:
            return HolderStatus.PRESENT
        member = self._members.find(holder.node)
        unavailable_s = now - self._unavailable_since.get(holder.node, now)
        if self._is_minority and unavailable_s < MINORITY_WAIT_S:
            return HolderStatus.PRESENT
        if member is None:
            is_lost = unavailable_s >= UNKNOWN_NODE_TIMEOUT_S
            return HolderStatus.LOST if is_lost else HolderStatus.PRESENT
        if member.state is MemberState.DEAD:
            return HolderStatus.LOST
        if member.state is MemberState.LEAVING:
            return HolderStatus.LEAVING
        if member.state is MemberState.SUSPECT and unavailable_s >= SUSPECT_TOLERANCE_S:
            return HolderStatus.SUSPECT
        return HolderStatus.PRESENT

    # Records.
    def next_record(
        self, record: PartitionRecord, replica: Replica, is_recovered: bool, now: float
    ) -> PartitionRecord:
        """Return the record that should follow; the same one if no change is needed.

        Parameters
        ----------
        is_recovered : bool
            Whether claims from before the emptied epoch can't matter any more.
        """
        if record.primary == self.own:
            return self._next_as_primary(record, replica, is_recovered, now)
        primary = self.holder_status(record.primary, now)
        if record.backup == self.own:
            if (
                primary in (HolderStatus.SUSPECT, HolderStatus.LOST)
                and replica.is_complete
            ):
                return self._take_over(record, replica, record.emptied_epoch)
            if not replica.is_complete and self._is_permanently_lost(
                record.primary, replica, now
            ):
                return self._reset(record, replica)
            return record
        are_lost = all(
            self._is_permanently_lost(holder, replica, now) for holder in record.holders
        )
        if are_lost and self._is_successor(replica.partition):
            return self._reset(record, replica)
        return record

    def _is_permanently_lost(self, holder, replica, now):
        """Return whether a holder has been lost so long that its claims may be dropped.

        A partition that continues without its claims denies requests for a long time,
        so a holder behind a network partition that may heal soon is waited for. The
        time counts from the last change of the record at the earliest: the node that
        made the change still saw the holders that it named.
        """
        if self.holder_status(holder, now) is not HolderStatus.LOST:
            return False
        if self._has_restarted(holder):
            return True
        since = max(
            self._unavailable_since.get(holder.node, now), replica.record_applied_at
        )
        lost = sum(self._is_unavailable(node) for node in self._unavailable_since)
        factor = MINORITY_LOSS_FACTOR if lost >= len(self.alive()) else 1
        return now - since >= factor * self._cfg.lost_s

    def _has_restarted(self, holder):
        """Return whether a later process has taken the holder's address."""
        if holder.node == self.own.node:
            return holder != self.own
        member = self._members.find(holder.node)
        return member is not None and member.incarnation > holder.incarnation

    def _is_successor(self, partition):
        successor = first_member(f"claims/{partition}", self.alive())
        return successor is not None and successor.node == self.own.node

    def _take_over(self, record, replica, emptied_epoch):
        partner = self._own_partner(replica)
        return PartitionRecord(self.own, partner, record.epoch + 1, emptied_epoch)

    def _own_partner(self, replica):
        return self._preferred_partner(replica.partition, self._members.own)

    def _reset(self, record, replica):
        return self._take_over(record, replica, record.epoch + 1)

    def _next_as_primary(self, record, replica, is_recovered, now):
        if not replica.is_complete:
            return self._reset(record, replica)
        if record.emptied_epoch and is_recovered:
            return self._take_over(record, replica, NEVER_EMPTIED)
        backup = self.holder_status(record.backup, now)
        if backup is not HolderStatus.PRESENT:
            return self._replace_backup(record, replica, backup)
        if self.is_leaving and _is_steady(replica):
            return evolve(
                record,
                primary=record.backup,
                backup=self._backup_for(replica.partition, record.backup),
                epoch=record.epoch + 1,
                transfer=None,
            )
        return record

    def _backup_for(self, partition, primary):
        member = self._members.find(primary.node) or self._members.own
        partner = self._preferred_partner(partition, member)
        return None if partner == self.own else partner

    def _replace_backup(self, record, replica, status):
        partner = self._own_partner(replica)
        if partner is None and status in (HolderStatus.SUSPECT, HolderStatus.LEAVING):
            return record
        if partner == record.backup:
            return record
        return _with_backup(record, partner)

    def is_urgent(self, record: PartitionRecord, now: float) -> bool:
        """Return whether a replica of the partition is lost or may be."""
        healthy = (HolderStatus.PRESENT, HolderStatus.LEAVING)
        return any(
            self.holder_status(holder, now) not in healthy
            for holder in (record.primary, record.backup)
        )

    def balanced_record(
        self, record: PartitionRecord, replica: Replica
    ) -> PartitionRecord:
        """Return the next step towards the preferred pair, for a healthy partition."""
        if record.primary != self.own or self.is_leaving or not _is_steady(replica):
            return record
        first, second = self._preferred_pair(replica.partition, self.alive())
        if first is None:
            return record
        if first == self.own:
            is_preferred = second is None or record.backup == second
            return record if is_preferred else _with_backup(record, second)
        if record.backup != first:
            return _with_backup(record, first)
        return evolve(_with_backup(record, self.own), primary=first)


def _is_steady(replica):
    return replica.is_serving or replica.is_frozen


def _with_backup(record, backup):
    return evolve(record, backup=backup, epoch=record.epoch + 1, transfer=None)


def _copy_holder(member):
    return CopyHolder(member.node, member.incarnation)
