"""Choice of the two nodes that hold each partition of the claims.

Only a node that a record names changes it, and any node that has outlived
both. The pair prefers two data centres of one region: a copy in the other
region would add its latency to each claim.
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
from monsoonmill.decisions.claims.replication import Replica
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member, rank_members
from monsoonmill.model import Member, MemberState
from monsoonmill.settings import ClaimSettings

MINORITY_WAIT_S = 10.0
"""A node that has just lost most others lets those act first for this long."""
RECENT_S = 30.0
REPLACE_SUSPECT_S = 1.0
"""The other copy's holder may be suspect for this long."""
UNKNOWN_IS_LOST_S = 15.0
"""A holder that the member list lacks this long is taken for lost."""
MINORITY_FACTOR = 5
"""A node that has lost half of the others waits so much longer to go on alone."""


@unique
class Condition(Enum):
    """What is believed of the holder of a copy."""

    PRESENT = "present"
    LEAVING = "leaving"
    DOUBTED = "doubted"
    LOST = "lost"


class Placement:
    """Works out the records that should follow the present ones."""

    def __init__(self, cfg: ClaimSettings, members: Membership, own: CopyHolder):
        self.own = own
        self._cfg = cfg
        self._members = members
        self._doubted_since: dict[str, float] = {}
        self._is_minority = False
        self._avoided: dict[str, float] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether the own node begins to leave the fleet."""
        return self._members.own.state is MemberState.LEAVING

    def alive(self) -> list[Member]:
        """Return the nodes that may be given a copy."""
        return [
            one for one in self._members.members() if one.state is MemberState.ALIVE
        ]

    def first_map(self, partitions: int) -> ClaimMap:
        """Return the map of a fleet that has none yet."""
        return ClaimMap(tuple(self._first_record(one) for one in range(partitions)))

    def _first_record(self, partition):
        primary, backup = self._wanted_pair(partition, self.alive())
        return PartitionRecord(primary or self.own, backup, transfer="")

    def _wanted_pair(self, partition, candidates):
        first = first_member(f"claims/{partition}", candidates)
        if first is None:
            return None, None
        return _holder(first), self._wanted_partner(partition, first)

    def _wanted_partner(self, partition, first: Member) -> CopyHolder | None:
        """Return the best holder of the second copy next to a given first."""

        def is_far(one):
            in_region = one.region == first.region
            return (not in_region, one.data_centre == first.data_centre)

        ranked = rank_members(f"claims/{partition}", self.alive())
        others = [
            one
            for one in ranked
            if one.node != first.node and one.node not in self._avoided
        ]
        # Among equals the first, which has the highest rank, is taken.
        return _holder(min(others, key=is_far)) if others else None

    def avoid(self, node: str, until: float) -> None:
        """Give a node that took no copy none for a while."""
        self._avoided[node] = until

    # Conditions.
    def note_conditions(self, records: Iterable[PartitionRecord], now: float) -> None:
        """Remember since when nodes are suspect, dead or unknown."""
        nodes = {one.node for one in self._members.members()}
        nodes |= {one.primary.node for one in records}
        nodes |= {one.backup.node for one in records if one.backup is not None}
        doubted = {one for one in nodes if self._is_doubted(one)}
        since = self._doubted_since
        self._doubted_since = {one: since.get(one, now) for one in doubted}
        self._avoided = {
            node: until for node, until in self._avoided.items() if until > now
        }
        recent = [one for one in self._doubted_since.values() if now - one < RECENT_S]
        self._is_minority = len(recent) > len(self.alive())

    def _is_doubted(self, node):
        member = self._members.find(node)
        return member is None or member.state in (
            MemberState.SUSPECT,
            MemberState.DEAD,
        )

    def condition(self, holder: CopyHolder | None, now: float) -> Condition:
        """Return what is believed of a holder."""
        if holder is None:
            return Condition.LOST
        if self._is_replaced(holder):
            return Condition.LOST
        if holder == self.own:
            return Condition.PRESENT
        member = self._members.find(holder.node)
        doubted_s = now - self._doubted_since.get(holder.node, now)
        if self._is_minority and doubted_s < MINORITY_WAIT_S:
            return Condition.PRESENT
        if member is None:
            is_lost = doubted_s >= UNKNOWN_IS_LOST_S
            return Condition.LOST if is_lost else Condition.PRESENT
        if member.state is MemberState.DEAD:
            return Condition.LOST
        if member.state is MemberState.LEAVING:
            return Condition.LEAVING
        if member.state is MemberState.SUSPECT and doubted_s >= REPLACE_SUSPECT_S:
            return Condition.DOUBTED
        return Condition.PRESENT

    # Records.
    def next_record(
        self, record: PartitionRecord, replica: Replica, is_recovered: bool, now: float
    ) -> PartitionRecord:
        """Return the record that should follow; the same one if it is fit.

        Parameters
        ----------
        is_recovered : bool
            Whether claims from before the emptied epoch can't matter any more.
        """
        if record.primary == self.own:
            return self._next_as_primary(record, replica, is_recovered, now)
        primary = self.condition(record.primary, now)
        if record.backup == self.own:
            if primary in (Condition.DOUBTED, Condition.LOST) and replica.is_complete:
                return self._lead(record, replica, record.emptied_epoch)
            if not replica.is_complete and self._is_gone(record.primary, replica, now):
                return self._empty(record, replica)
            return record
        are_gone = all(self._is_gone(one, replica, now) for one in record.holders)
        if are_gone and self._is_heir(replica.partition):
            return self._empty(record, replica)
        return record

    def _is_gone(self, holder, replica, now):
        """Return whether a holder has been lost so long that it counts as gone.

        A partition that goes on without its claims denies them for long, so a
        cut that heals soon is waited for. A holder that a change of the record
        has named meanwhile was there for the one who made it.
        """
        if self.condition(holder, now) is not Condition.LOST:
            return False
        if self._is_replaced(holder):
            return True
        since = max(self._doubted_since.get(holder.node, now), replica.adopted_at)
        lost = sum(self._is_doubted(one) for one in self._doubted_since)
        factor = MINORITY_FACTOR if lost >= len(self.alive()) else 1
        return now - since >= factor * self._cfg.lost_s

    def _is_replaced(self, holder):
        """Return whether a later process has taken the holder's address."""
        if holder.node == self.own.node:
            return holder != self.own
        member = self._members.find(holder.node)
        return member is not None and member.incarnation > holder.incarnation

    def _is_heir(self, partition):
        heir = first_member(f"claims/{partition}", self.alive())
        return heir is not None and heir.node == self.own.node

    def _lead(self, record, replica, emptied_epoch):
        partner = self._own_partner(replica)
        return PartitionRecord(self.own, partner, record.epoch + 1, emptied_epoch)

    def _own_partner(self, replica):
        return self._wanted_partner(replica.partition, self._members.own)

    def _empty(self, record, replica):
        return self._lead(record, replica, record.epoch + 1)

    def _next_as_primary(self, record, replica, is_recovered, now):
        if not replica.is_complete:
            return self._empty(record, replica)
        if record.emptied_epoch and is_recovered:
            return self._lead(record, replica, NEVER_EMPTIED)
        backup = self.condition(record.backup, now)
        if backup is not Condition.PRESENT:
            return self._replace_backup(record, replica, backup)
        if self.is_leaving and _is_steady(replica):
            return evolve(
                record,
                primary=record.backup,
                backup=self._other_than_own(replica.partition, record.backup),
                epoch=record.epoch + 1,
                transfer=None,
            )
        return record

    def _other_than_own(self, partition, primary):
        member = self._members.find(primary.node) or self._members.own
        partner = self._wanted_partner(partition, member)
        return None if partner == self.own else partner

    def _replace_backup(self, record, replica, condition):
        partner = self._own_partner(replica)
        if partner is None and condition in (Condition.DOUBTED, Condition.LEAVING):
            return record
        if partner == record.backup:
            return record
        return _with_backup(record, partner)

    def is_urgent(self, record: PartitionRecord, now: float) -> bool:
        """Return whether a copy of the partition is lost or may be."""
        fit = (Condition.PRESENT, Condition.LEAVING)
        return any(
            self.condition(one, now) not in fit
            for one in (record.primary, record.backup)
        )

    def balanced_record(
        self, record: PartitionRecord, replica: Replica
    ) -> PartitionRecord:
        """Return a step towards the wanted pair, for a partition in good order."""
        if record.primary != self.own or self.is_leaving or not _is_steady(replica):
            return record
        first, second = self._wanted_pair(replica.partition, self.alive())
        if first is None:
            return record
        if first == self.own:
            is_fit = second is None or record.backup == second
            return record if is_fit else _with_backup(record, second)
        if record.backup != first:
            return _with_backup(record, first)
        return evolve(_with_backup(record, self.own), primary=first)


def _is_steady(replica):
    return replica.is_serving or replica.is_frozen


def _with_backup(record, backup):
    return evolve(record, backup=backup, epoch=record.epoch + 1, transfer=None)


def _holder(member):
    return CopyHolder(member.node, member.incarnation)
