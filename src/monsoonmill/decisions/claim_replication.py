"""The two copies of a partition's claims and what passes between them.

A change counts once the backup has acknowledged it in the record's epoch. A
backup of a later epoch acknowledges nothing of an earlier one, so a primary
that has been replaced can grant nothing.
"""

from collections.abc import Iterator
from functools import cache

from attrs import define, field

from monsoonmill.chart import BoundChart, ChartInstance, bind_methods
from monsoonmill.claim_messages import (
    ClaimReplicate,
    ClaimReplicated,
    ClaimReply,
    ClaimTransfer,
    ClaimTransferred,
)
from monsoonmill.claim_records import (
    FIRST_EPOCH,
    ClaimCopy,
    CopyHolder,
    PartitionRecord,
)
from monsoonmill.decisions.claim_table import ClaimEntry, ClaimTable
from monsoonmill.decisions.signals import Send
from monsoonmill.reasons import Outcome, Reason

BATCH_ENTRIES = 64
BATCH_BYTES = 1 << 17
NEVER_COMPLETE = 0


@define
class PendingChange:
    """A change that the backup has not acknowledged.

    Attributes
    ----------
    replies : list of Send
        What is sent once it has.
    """

    entry: ClaimEntry
    replies: list[Send] = field(factory=list)


@define(eq=False)
class Replica:
    """The own copy of one partition; owner of its replica chart.

    Attributes
    ----------
    complete_epoch : int
        Last epoch in which this copy held every claim.
    """

    partition: int
    own: CopyHolder
    table: ClaimTable
    record: PartitionRecord | None = None
    complete_epoch: int = NEVER_COMPLETE
    pending: dict[int, PendingChange] = field(factory=dict)
    batches: list[tuple[ClaimCopy, ...]] = field(factory=list)
    batch: int = 0
    chart: ChartInstance | None = None
    now: float = 0.0
    out: list = field(factory=list)

    @classmethod
    def from_table(cls, partition: int, own: CopyHolder, table: ClaimTable):
        """Make the replica of a partition that this process has no part in."""
        replica = cls(partition, own, table)
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
    def is_waiting(self) -> bool:
        """Whether the backup owes an acknowledgement."""
        return self.chart.is_in("transferring") or bool(self.pending)

    # Changes of the record.
    def adopt(self, record: PartitionRecord, now: float) -> Iterator[object]:
        """Take the part that a new record gives this process."""
        if self.record is not None and record.epoch <= self.record.epoch:
            return
        was_complete = self._knows_all_before(record)
        if record.emptied_epoch == record.epoch:
            # What was copied here may have changed since.
            self.table.drop_partition(self.partition)
        self.record = record
        self.pending.clear()
        self.now = now
        if record.primary == self.own and was_complete:
            self.complete_epoch = record.epoch
            self.chart.send("lead")
        elif record.backup == self.own:
            is_start = record.epoch == FIRST_EPOCH
            self.chart.send("follow_from_start" if is_start else "follow")
        else:
            self.chart.send("leave")
        yield from self._flush()

    def _knows_all_before(self, record):
        if record.epoch == FIRST_EPOCH or record.emptied_epoch == record.epoch:
            return True
        return self.complete_epoch == record.epoch - 1

    def is_alone(self, arg):
        """Return whether there is no backup, or it starts with nothing too."""
        return self.record.backup is None or self.record.epoch == FIRST_EPOCH

    def drop_claims(self, arg):
        """Forget claims that another copy decides on."""
        self.complete_epoch = NEVER_COMPLETE
        self.pending.clear()
        self.batch = 0
        self.table.drop_partition(self.partition)

    def note_complete(self, arg):
        """Remember that this copy holds every claim."""
        self.complete_epoch = self.record.epoch

    # As primary.
    def replicate(self, entry: ClaimEntry, replies: list[Send], now: float):
        """Give a change to the backup; yield the replies once it holds it."""
        if self.record.backup is None:
            yield from replies
            return
        self.pending[entry.number] = PendingChange(entry, replies)
        yield self._replicate_message(entry, now)

    def is_held_by_both(self, entry: ClaimEntry) -> bool:
        """Return whether the backup holds an entry as it is."""
        return entry.number not in self.pending

    def on_replicated(self, message: ClaimReplicated, now: float):
        """Send the replies that waited for the backup."""
        if message.epoch != self.record.epoch:
            return
        change = self.pending.pop(message.number, None)
        if change is None:
            return
        if not message.accepted:
            yield from self._refuse(change)
        elif change.entry.number == message.number:
            yield from change.replies

    def _refuse(self, change):
        """Forget a claim that the backup has no room for: it never ran."""
        self.pending.pop(change.entry.number, None)
        self.table.remove(change.entry)
        for reply in change.replies:
            denied = ClaimReply(
                change.entry.claim,
                granted=False,
                outcome=Outcome.NOT_RUN,
                reason=Reason.CLAIMS_FULL,
            )
            yield Send(reply.node, denied)

    def _replicate_message(self, entry, now):
        epoch = self.record.epoch
        message = ClaimReplicate(self.partition, epoch, entry.copy(now))
        return Send(self.record.backup.node, message)

    def send_pending(self, arg):
        """Repeat the changes that have no acknowledgement."""
        for number, change in list(self.pending.items()):
            if change.entry.number != number:
                # A later change of the same claim carries this one.
                del self.pending[number]
            else:
                self.out.append(self._replicate_message(change.entry, self.now))

    def start_transfer(self, arg):
        """Cut the claims into batches and send the first."""
        copies = [entry.copy(self.now) for entry in self.table.entries(self.partition)]
        self.batches = list(cut_batches(copies)) or [()]
        self.batch = 0
        self.send_batch(arg)

    def send_batch(self, arg):
        """Send the batch that the backup has to acknowledge."""
        is_last = self.batch == len(self.batches) - 1
        message = ClaimTransfer(
            self.partition,
            self.record.epoch,
            self.batch,
            is_last,
            self.batches[self.batch],
        )
        self.out.append(Send(self.record.backup.node, message))

    def has_batches_left(self, arg):
        """Return whether the batch in transfer is not the last."""
        return self.batch + 1 < len(self.batches)

    def next_batch(self, arg):
        """Send the batch after the one that the backup holds."""
        self.batch += 1
        self.send_batch(arg)

    def on_transferred(self, message: ClaimTransferred, now: float):
        """Go on with the transfer."""
        if (message.epoch, message.batch) == (self.record.epoch, self.batch):
            self.now = now
            self.chart.send("batch_held")
            yield from self._flush()

    def resend(self, now: float):
        """Repeat what the backup has not acknowledged."""
        self.now = now
        self.chart.send("resend")
        yield from self._flush()

    # As backup.
    def on_replicate(self, node: str, message: ClaimReplicate, now: float):
        """Hold a change of the primary and acknowledge it."""
        if not self._follows(node, message.epoch) or not self.chart.is_in("following"):
            return
        copy = message.copy
        known = self.table.find(self.partition, copy.organisation, copy.key)
        accepted = known is not None or self.table.has_room(1)
        if accepted:
            self.table.take_copy(self.partition, copy, now)
        receipt = ClaimReplicated(self.partition, message.epoch, copy.number, accepted)
        yield Send(node, receipt)

    def on_transfer(self, node: str, message: ClaimTransfer, now: float):
        """Hold a batch of the primary's claims and acknowledge it."""
        if not self._follows(node, message.epoch):
            return
        if self.chart.is_in("filling") and message.batch >= self.batch:
            has_room = self.table.has_room(len(message.copies))
            if message.batch > self.batch or not has_room:
                return
            self._fill(message, now)
        receipt = ClaimTransferred(self.partition, message.epoch, message.batch)
        yield Send(node, receipt)

    def _fill(self, message, now):
        for copy in message.copies:
            self.table.take_copy(self.partition, copy, now)
        self.batch += 1
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


def cut_batches(copies: list[ClaimCopy]) -> Iterator[tuple[ClaimCopy, ...]]:
    """Yield the copies in batches of bounded number and size."""
    batch = []
    size = 0
    for copy in copies:
        body = len(copy.response.body) if copy.response else 0
        if batch and (len(batch) == BATCH_ENTRIES or size + body > BATCH_BYTES):
            yield tuple(batch)
            batch, size = [], 0
        batch.append(copy)
        size += body
    if batch:
        yield tuple(batch)
