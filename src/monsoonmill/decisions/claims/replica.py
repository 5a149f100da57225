"""Primary-backup replication of one partition's claims.

A change is committed once the backup has acknowledged it in the record's epoch. A
backup of a later epoch acknowledges nothing of an earlier one, so a replaced
primary can't grant claims. A new backup receives its copy before the record names
it; until the record has changed, the replica that sends the copy is frozen.
"""

from collections.abc import Iterator
from functools import cache

from attrs import define, evolve, field

from monsoonmill.chart import BoundChart, ChartInstance, bind_methods
from monsoonmill.claim_messages import (
    ClaimCopyWanted,
    ClaimReplicate,
    ClaimReplicated,
    ClaimTransfer,
    ClaimTransferred,
)
from monsoonmill.claim_records import FIRST_EPOCH, CopyHolder, PartitionRecord
from monsoonmill.decisions.claims.pending import PendingChanges
from monsoonmill.decisions.claims.table import ClaimEntry, ClaimTable
from monsoonmill.decisions.claims.transfer import OutgoingTransfer, split_into_batches
from monsoonmill.decisions.signals import Send

NEVER_COMPLETE = 0


@define(eq=False)
class Replica:
    """The local replica of one partition; owner of a claim replica chart.

    Attributes
    ----------
    record : PartitionRecord or None
        Record that was applied last.
    complete_epoch : int
        Last epoch in which this replica held every claim of the partition.
    received_transfer : str
        Name of the transfer that this replica's copy comes from.
    next_batch : int
        Number of the batch that is expected next in that transfer.
    planned_record : PartitionRecord or None
        Record that this replica is preparing, and frozen for.
    record_applied_at : float
        Time at which the record was applied.
    progress_at : float
        Time of the last progress towards the planned record.
    proposed_version : int or None
        Map version that the planned record was last proposed to replace.
    outbox : list
        Signals that have not been passed on yet.
    """

    partition: int
    own: CopyHolder
    table: ClaimTable
    pending: PendingChanges
    record: PartitionRecord | None = None
    complete_epoch: int = NEVER_COMPLETE
    outgoing: OutgoingTransfer | None = None
    received_transfer: str = ""
    next_batch: int = 0
    planned_record: PartitionRecord | None = None
    record_applied_at: float = 0.0
    progress_at: float = 0.0
    proposed_version: int | None = None
    chart: ChartInstance | None = None
    now: float = 0.0
    outbox: list = field(factory=list)

    @classmethod
    def create(cls, partition: int, own: CopyHolder, table: ClaimTable):
        """Return the replica of a partition that is not assigned to this process."""
        replica = cls(partition, own, table, PendingChanges(table))
        replica.chart = bind_replica_chart(cls).start(replica)
        return replica

    @property
    def is_primary(self) -> bool:
        """Whether the record names this process as the primary."""
        return self.record is not None and self.record.primary == self.own

    @property
    def is_serving(self) -> bool:
        """Whether this replica decides on claims."""
        return self.chart.is_in("serving")

    @property
    def is_complete(self) -> bool:
        """Whether this replica holds every claim of the record's epoch."""
        return self.record is not None and self.complete_epoch == self.record.epoch

    @property
    def is_frozen(self) -> bool:
        """Whether this replica takes no change until the record has changed."""
        return self.chart.is_in("frozen")

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether a message to another node is unacknowledged."""
        is_sending = self.chart.is_in("transferring") or self.chart.is_in("preparing")
        return is_sending or bool(self.pending)

    # Changes of the record.
    def apply_record(self, record: PartitionRecord, now: float) -> Iterator[object]:
        """Take the role that a new record assigns to this process."""
        if self.record is not None and record.epoch <= self.record.epoch:
            return
        if record.emptied_epoch == record.epoch:
            # The claims held here may be outdated.
            self.table.drop_partition(self.partition)
            self.complete_epoch = record.epoch - 1
        self.record = record
        self.record_applied_at = now
        self.planned_record = None
        self.proposed_version = None
        self.pending.clear()
        self.now = now
        if record.primary == self.own and self._was_complete_before():
            self.complete_epoch = record.epoch
            self.chart.send("became_primary")
        elif record.backup == self.own:
            self.chart.send("became_backup")
            self._request_copy()
        else:
            self.chart.send("unassigned")
        yield from self._drain_outbox()

    def _was_complete_before(self):
        epoch = self.record.epoch
        return epoch == FIRST_EPOCH or self.complete_epoch == epoch - 1

    def _request_copy(self):
        if self.chart.is_in("filling") and self.record.transfer is not None:
            request = ClaimCopyWanted(self.partition, self.record.epoch)
            self.outbox.append(Send(self.record.primary.node, request))

    def backup_has_copy(self, arg):
        """Return whether the backup has its copy already, or there is none."""
        return self.record.backup is None or self.record.transfer is not None

    def backup_needs_copy(self, arg):
        """Return whether the backup needs a transfer first."""
        return not self.backup_has_copy(arg)

    def has_no_current_copy(self, arg):
        """Return whether this replica needs a transfer first."""
        return not self.has_current_copy(arg)

    def has_current_copy(self, arg):
        """Return whether this replica holds the copy that the record refers to."""
        if self.record.transfer == "":
            return self._was_complete_before()
        return self.record.transfer == self.received_transfer

    def drop_claims(self, arg):
        """Drop the claims, which other replicas hold or which will be transferred."""
        self.complete_epoch = NEVER_COMPLETE
        self.received_transfer = ""
        self.next_batch = 0
        self.pending.clear()
        self.table.drop_partition(self.partition)

    def mark_complete(self, arg):
        """Record that this replica holds every claim of its epoch."""
        self.complete_epoch = self.record.epoch

    # Preparation of a record change.
    def prepare(
        self, planned_record: PartitionRecord, now: float
    ) -> tuple[PartitionRecord | None, list[object]]:
        """Prepare a change of the record.

        Returns
        -------
        ready : PartitionRecord or None
            The record to propose; None while it is not ready.
        signals : list
            Signals to be carried out.
        """
        self.now = now
        if self.planned_record is None and self._may_prepare(planned_record):
            self.planned_record = planned_record
            self.progress_at = now
            if not self.chart.send("prepare"):
                self.planned_record = None
        signals = list(self._drain_outbox())
        if self.planned_record != planned_record or not self.chart.is_in("prepared"):
            return None, signals
        name = self.outgoing.name if self.planned_backup_needs_copy(None) else ""
        return evolve(planned_record, transfer=name), signals

    def _may_prepare(self, planned_record):
        # A transfer from the primary to a new backup includes the pending changes.
        is_copied = planned_record.primary == self.own and not self.record.holds(
            planned_record.backup
        )
        return is_copied or not self.pending

    def planned_backup_needs_copy(self, arg):
        """Return whether the planned backup has no copy yet."""
        backup = self.planned_record.backup
        return backup is not None and not self.record.holds(backup)

    def has_primary_role(self, arg):
        """Return whether this replica is the primary."""
        return self.is_primary

    def resume(self) -> None:
        """Abandon the planned record.

        The caller must be sure that the platform can't write this record any more.
        """
        self.planned_record = None
        self.proposed_version = None
        self.chart.send("resume")

    # As primary.
    def replicate(self, entry: ClaimEntry, replies: list[Send], now: float):
        """Send a change to the backup; hold the replies until it is acknowledged."""
        if self.record.backup is None:
            yield from replies
            return
        self.pending.add(entry, replies)
        yield self._replicate_message(entry, now)

    def is_replicated(self, entry: ClaimEntry) -> bool:
        """Return whether the backup has acknowledged the entry's last change."""
        return entry not in self.pending

    def on_replicated(self, message: ClaimReplicated, now: float):
        """Yield the replies that waited for the backup's acknowledgement."""
        if message.epoch == self.record.epoch:
            yield from self.pending.on_acknowledgement(message)

    def _replicate_message(self, entry, now):
        epoch = self.record.epoch
        message = ClaimReplicate(self.partition, epoch, entry.to_copy(now))
        return Send(self.record.backup.node, message)

    def resend_pending(self, arg):
        """Resend the changes that have not been acknowledged."""
        for entry in self.pending.unacknowledged():
            self.outbox.append(self._replicate_message(entry, self.now))

    def start_transfer(self, arg):
        """Split the claims into batches and send the first one."""
        record = self.planned_record or self.record
        if self.planned_record is None:
            self.pending.clear()
        copies = [
            entry.to_copy(self.now) for entry in self.table.entries(self.partition)
        ]
        self.outgoing = OutgoingTransfer(
            f"{self.own.node}/{self.own.incarnation}/{next(self.table.transfer_numbers)}",
            record.backup.node,
            self.partition,
            record.epoch,
            tuple(split_into_batches(copies)),
        )
        self.send_batch(arg)

    def send_batch(self, arg):
        """Send or resend the current batch."""
        self.outbox.append(self.outgoing.message())

    def is_transfer_complete(self, arg):
        """Return whether the receiver has acknowledged all batches."""
        return self.outgoing.is_done

    def on_transferred(self, message: ClaimTransferred, now: float):
        """Continue the transfer after a batch was acknowledged."""
        outgoing = self.outgoing
        if outgoing is not None and outgoing.acknowledge(message.name, message.batch):
            self.now = now
            self.progress_at = now
            self.chart.send("batch_acknowledged")
            yield from self._drain_outbox()

    def on_copy_wanted(self, message: ClaimCopyWanted, now: float):
        """Start a transfer to a backup that lacks the copy the record refers to."""
        if self.is_primary and message.epoch == self.record.epoch:
            self.now = now
            self.chart.send("copy_wanted")
            yield from self._drain_outbox()

    def resend(self, now: float):
        """Resend what has not been acknowledged."""
        self.now = now
        self.chart.send("resend")
        yield from self._drain_outbox()

    # As backup.
    def on_replicate(self, node: str, message: ClaimReplicate, now: float):
        """Store a change of the primary and acknowledge it."""
        if not self._is_backup_of(node, message.epoch):
            return
        self._request_copy()
        yield from self._drain_outbox()
        if not self.chart.is_in("following"):
            return
        copy = message.copy
        known = self.table.find(self.partition, copy.organisation, copy.key)
        accepted = known is not None or self.table.has_room(1)
        if accepted:
            self.table.store_copy(self.partition, copy, now)
        acknowledgement = ClaimReplicated(
            self.partition, message.epoch, copy.number, accepted
        )
        yield Send(node, acknowledgement)

    def on_transfer(self, node: str, message: ClaimTransfer, now: float):
        """Store a batch of a transfer and acknowledge it."""
        if not self._accepts_transfer(node, message):
            return
        if message.name != self.received_transfer:
            if message.batch != 0 or not self.chart.send("transfer_started"):
                return
            self.received_transfer = message.name
        has_room = self.table.has_room(len(message.copies))
        if message.batch > self.next_batch or not has_room:
            return
        if message.batch == self.next_batch:
            self._store_batch(message, now)
        yield Send(node, ClaimTransferred(message.name, self.partition, message.batch))

    def _accepts_transfer(self, node, message):
        record = self.record
        if record is None:
            return False
        if message.epoch == record.epoch:
            return self._is_backup_of(node, message.epoch)
        is_from_holder = node in {holder.node for holder in record.holders}
        is_next = message.epoch == record.epoch + 1
        return is_next and is_from_holder and not record.holds(self.own)

    def _store_batch(self, message, now):
        for copy in message.copies:
            self.table.store_copy(self.partition, copy, now)
        self.next_batch += 1
        if message.last:
            self.chart.send("transfer_completed")

    def _is_backup_of(self, node, epoch):
        record = self.record
        if record is None or record.backup != self.own:
            return False
        return record.epoch == epoch and record.primary.node == node

    def _drain_outbox(self):
        signals, self.outbox = self.outbox, []
        yield from signals


@cache
def bind_replica_chart(cls: type) -> BoundChart:
    """Return the replica chart bound to ``Replica`` or a subclass."""
    return bind_methods("claim_replica", cls)
