"""The two copies of a partition's claims and what passes between them.

A change counts once the backup has acknowledged it in the record's epoch. A
backup of a later epoch acknowledges nothing of an earlier one, so a primary
that has been replaced can grant nothing. A new backup is given its copy before
the record names it; until then the copy that gives it is frozen.
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
from monsoonmill.decisions.claims.transfer import OutgoingTransfer, cut_batches
from monsoonmill.decisions.signals import Send

NEVER_COMPLETE = 0


@define(eq=False)
class Replica:
    """The own copy of one partition; owner of its replica chart.

    Attributes
    ----------
    complete_epoch : int
        Last epoch in which this copy held every claim.
    received : str
        Name of the transfer that this copy comes or came from.
    plan : PartitionRecord or None
        Record that this copy is frozen for.
    progress_at : float
        Time of the last step towards the plan.
    proposed_version : int or None
        Version of the map that the plan was last proposed for.
    """

    partition: int
    own: CopyHolder
    table: ClaimTable
    pending: PendingChanges
    record: PartitionRecord | None = None
    complete_epoch: int = NEVER_COMPLETE
    outgoing: OutgoingTransfer | None = None
    received: str = ""
    next_batch: int = 0
    plan: PartitionRecord | None = None
    adopted_at: float = 0.0
    progress_at: float = 0.0
    proposed_version: int | None = None
    chart: ChartInstance | None = None
    now: float = 0.0
    out: list = field(factory=list)

    @classmethod
    def from_table(cls, partition: int, own: CopyHolder, table: ClaimTable):
        """Make the replica of a partition that this process has no part in."""
        replica = cls(partition, own, table, PendingChanges(table))
        replica.chart = bind_replica(cls).start(replica)
        return replica

    @property
    def is_primary(self) -> bool:
        """Whether the record names this process as the primary."""
        return self.record is not None and self.record.primary == self.own

    @property
    def is_serving(self) -> bool:
        """Whether this copy decides on claims."""
        return self.chart.is_in("serving")

    @property
    def is_complete(self) -> bool:
        """Whether this copy holds every claim of the record's epoch."""
        return self.record is not None and self.complete_epoch == self.record.epoch

    @property
    def is_frozen(self) -> bool:
        """Whether this copy takes no change until the record has changed."""
        return self.chart.is_in("frozen")

    @property
    def is_waiting(self) -> bool:
        """Whether another node owes an acknowledgement."""
        is_sending = self.chart.is_in("transferring") or self.chart.is_in("preparing")
        return is_sending or bool(self.pending)

    # Changes of the record.
    def adopt(self, record: PartitionRecord, now: float) -> Iterator[object]:
        """Take the part that a new record gives this process."""
        if self.record is not None and record.epoch <= self.record.epoch:
            return
        if record.emptied_epoch == record.epoch:
            # What was copied here may have changed since.
            self.table.drop_partition(self.partition)
            self.complete_epoch = record.epoch - 1
        self.record = record
        self.adopted_at = now
        self.plan = None
        self.proposed_version = None
        self.pending.clear()
        self.now = now
        if record.primary == self.own and self._knows_all_before():
            self.complete_epoch = record.epoch
            self.chart.send("lead")
        elif record.backup == self.own:
            self.chart.send("follow")
            self._want_copy()
        else:
            self.chart.send("leave")
        yield from self._flush()

    def _knows_all_before(self):
        epoch = self.record.epoch
        return epoch == FIRST_EPOCH or self.complete_epoch == epoch - 1

    def _want_copy(self):
        if self.chart.is_in("filling") and self.record.transfer is not None:
            wanted = ClaimCopyWanted(self.partition, self.record.epoch)
            self.out.append(Send(self.record.primary.node, wanted))

    def needs_no_transfer(self, arg):
        """Return whether the backup, if there is one, has its copy already."""
        return self.record.backup is None or self.record.transfer is not None

    def needs_transfer(self, arg):
        """Return whether the backup needs a copy first."""
        return not self.needs_no_transfer(arg)

    def has_no_full_copy(self, arg):
        """Return whether this copy has to be filled."""
        return not self.has_full_copy(arg)

    def has_full_copy(self, arg):
        """Return whether this copy is the one that the record relies on."""
        if self.record.transfer == "":
            return self._knows_all_before()
        return self.record.transfer == self.received

    def drop_claims(self, arg):
        """Forget claims that another copy decides on."""
        self.complete_epoch = NEVER_COMPLETE
        self.received = ""
        self.next_batch = 0
        self.pending.clear()
        self.table.drop_partition(self.partition)

    def note_complete(self, arg):
        """Remember that this copy holds every claim."""
        self.complete_epoch = self.record.epoch

    # Preparing a change of the record.
    def prepare(
        self, plan: PartitionRecord, now: float
    ) -> tuple[PartitionRecord | None, list[object]]:
        """Work towards a record.

        Returns
        -------
        ready : PartitionRecord or None
            The record to propose; None while it is not ready.
        signals : list
            What has to be sent.
        """
        self.now = now
        if self.plan is None and self._may_freeze(plan):
            self.plan = plan
            self.progress_at = now
            if not self.chart.send("prepare"):
                self.plan = None
        signals = list(self._flush())
        if self.plan != plan or not self.chart.is_in("prepared"):
            return None, signals
        name = self.outgoing.name if self.needs_copy(None) else ""
        return evolve(plan, transfer=name), signals

    def _may_freeze(self, plan):
        # What the backup lacks goes along with a copy from the primary itself.
        is_copied = plan.primary == self.own and not self.record.holds(plan.backup)
        return is_copied or not self.pending

    def needs_copy(self, arg):
        """Return whether the planned backup has no copy yet."""
        backup = self.plan.backup
        return backup is not None and not self.record.holds(backup)

    def leads(self, arg):
        """Return whether this copy is the primary's."""
        return self.is_primary

    def resume(self) -> None:
        """Give up a plan; it must be certain that its record can't come."""
        self.plan = None
        self.proposed_version = None
        self.chart.send("resume")

    # As primary.
    def replicate(self, entry: ClaimEntry, replies: list[Send], now: float):
        """Give a change to the backup; yield the replies once it holds it."""
        if self.record.backup is None:
            yield from replies
            return
        self.pending.add(entry, replies)
        yield self._replicate_message(entry, now)

    def is_held_by_both(self, entry: ClaimEntry) -> bool:
        """Return whether the backup holds an entry as it is."""
        return entry not in self.pending

    def on_replicated(self, message: ClaimReplicated, now: float):
        """Send the replies that waited for the backup."""
        if message.epoch == self.record.epoch:
            yield from self.pending.on_receipt(message)

    def _replicate_message(self, entry, now):
        epoch = self.record.epoch
        message = ClaimReplicate(self.partition, epoch, entry.copy(now))
        return Send(self.record.backup.node, message)

    def send_pending(self, arg):
        """Repeat the changes that have no acknowledgement."""
        for entry in self.pending.latest():
            self.out.append(self._replicate_message(entry, self.now))

    def start_transfer(self, arg):
        """Cut the claims into batches and send the first."""
        record = self.plan or self.record
        if self.plan is None:
            self.pending.clear()
        copies = [entry.copy(self.now) for entry in self.table.entries(self.partition)]
        self.outgoing = OutgoingTransfer(
            f"{self.own.node}/{self.own.incarnation}/{next(self.table.transfers)}",
            record.backup.node,
            self.partition,
            record.epoch,
            tuple(cut_batches(copies)),
        )
        self.send_batch(arg)

    def send_batch(self, arg):
        """Send the batch that the receiver has to acknowledge."""
        self.out.append(self.outgoing.message())

    def transfer_is_done(self, arg):
        """Return whether the receiver holds all batches."""
        return self.outgoing.is_done

    def on_transferred(self, message: ClaimTransferred, now: float):
        """Go on with the transfer."""
        outgoing = self.outgoing
        if outgoing is not None and outgoing.note_held(message.name, message.batch):
            self.now = now
            self.progress_at = now
            self.chart.send("batch_held")
            yield from self._flush()

    def on_copy_wanted(self, message: ClaimCopyWanted, now: float):
        """Give the backup a copy that it does not have after all."""
        if self.is_primary and message.epoch == self.record.epoch:
            self.now = now
            self.chart.send("copy_wanted")
            yield from self._flush()

    def resend(self, now: float):
        """Repeat what has not been acknowledged."""
        self.now = now
        self.chart.send("resend")
        yield from self._flush()

    # As backup.
    def on_replicate(self, node: str, message: ClaimReplicate, now: float):
        """Hold a change of the primary and acknowledge it."""
        if not self._follows(node, message.epoch):
            return
        self._want_copy()
        yield from self._flush()
        if not self.chart.is_in("following"):
            return
        copy = message.copy
        known = self.table.find(self.partition, copy.organisation, copy.key)
        accepted = known is not None or self.table.has_room(1)
        if accepted:
            self.table.take_copy(self.partition, copy, now)
        receipt = ClaimReplicated(self.partition, message.epoch, copy.number, accepted)
        yield Send(node, receipt)

    def on_transfer(self, node: str, message: ClaimTransfer, now: float):
        """Hold a batch of a copy and acknowledge it."""
        if not self._accepts_transfer(node, message):
            return
        if message.name != self.received:
            if message.batch != 0 or not self.chart.send("offered"):
                return
            self.received = message.name
        has_room = self.table.has_room(len(message.copies))
        if message.batch > self.next_batch or not has_room:
            return
        if message.batch == self.next_batch:
            self._fill(message, now)
        yield Send(node, ClaimTransferred(message.name, self.partition, message.batch))

    def _accepts_transfer(self, node, message):
        record = self.record
        if record is None:
            return False
        if message.epoch == record.epoch:
            return self._follows(node, message.epoch)
        is_from_holder = node in {one.node for one in record.holders}
        is_next = message.epoch == record.epoch + 1
        return is_next and is_from_holder and not record.holds(self.own)

    def _fill(self, message, now):
        for copy in message.copies:
            self.table.take_copy(self.partition, copy, now)
        self.next_batch += 1
        if message.last:
            self.chart.send("filled")

    def _follows(self, node, epoch):
        record = self.record
        if record is None or record.backup != self.own:
            return False
        return record.epoch == epoch and record.primary.node == node

    def _flush(self):
        out, self.out = self.out, []
        yield from out


@cache
def bind_replica(cls: type) -> BoundChart:
    """Return the replica chart bound to ``Replica`` or a class made from it."""
    return bind_methods("claim_replica", cls)
