"""The copies of partitions that a node holds, as primary and as backup."""

from collections.abc import Iterable, Iterator

from monsoonmill.claim_messages import (
    ClaimCopyWanted,
    ClaimRedirect,
    ClaimReplicate,
    ClaimReplicated,
    ClaimRequest,
    ClaimSettle,
    ClaimSettled,
    ClaimTransfer,
    ClaimTransferred,
)
from monsoonmill.claim_records import CopyHolder, PartitionRecord
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.map import MapKeeper
from monsoonmill.decisions.claims.replication import Replica
from monsoonmill.decisions.claims.rules import judge_ended, judge_request, judge_settle
from monsoonmill.decisions.claims.table import OVERDUE_GRACE_S, ClaimTable
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import Settings

RESEND = "resend"
RESEND_S = 0.2


class ClaimHome:
    """Decides on claims of the partitions that this node is the primary of."""

    replica_class = Replica

    def __init__(
        self, cfg: Settings, own: CopyHolder, keeper: MapKeeper, counters: Counters
    ):
        self.table = ClaimTable(cfg.claims, counters)
        self.replicas: dict[int, Replica] = {}
        self._cfg = cfg.claims
        self._own = own
        self._keeper = keeper
        self._counters = counters
        self._timers = Timers()
        self._emptied_seen: dict[tuple[int, int], float] = {}
        longest_call_s = cfg.call.max_timeout_ms / 1000 + OVERDUE_GRACE_S
        self.recovery_s = cfg.claims.confirm_s + longest_call_s + cfg.claims.retention_s

    def handlers(self):
        """Return the handlers of messages about the copies."""
        return {
            ClaimRequest: self.on_request,
            ClaimSettle: self.on_settle,
            ClaimReplicate: self.on_replicate,
            ClaimReplicated: self.on_replicated,
            ClaimTransfer: self.on_transfer,
            ClaimTransferred: self.on_transferred,
            ClaimCopyWanted: self.on_copy_wanted,
        }

    def replica(self, partition: int) -> Replica:
        """Return the own copy of a partition."""
        if partition not in self.replicas:
            replica = self.replica_class.from_table(partition, self._own, self.table)
            self.replicas[partition] = replica
        return self.replicas[partition]

    def next_due(self) -> float | None:
        """Return when the next timer is due."""
        times = (self._timers.next_due(), self.table.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now: float) -> Iterator[object]:
        """End overdue claims and repeat what was not acknowledged."""
        for entry in self.table.pop_due(now):
            yield from self._overdue(entry, now)
        for _ in list(self._timers.pop_due(now)):
            yield from self._resend(now)

    def _overdue(self, entry, now):
        replica = self.replica(entry.partition)
        if not replica.is_serving:
            self.table.postpone(entry, now + OVERDUE_GRACE_S)
            return
        self._counters.add("claims-overdue")
        self.table.send(entry, "overdue", None, now)
        yield from self._replicate(replica, entry, [], now)

    def _resend(self, now):
        for replica in self.replicas.values():
            if replica.is_waiting:
                self.expect_receipts(now)
                yield from replica.resend(now)

    def expect_receipts(self, now: float) -> None:
        """Repeat soon what will not have been acknowledged by then."""
        self._timers.set_no_later(RESEND, now + RESEND_S)

    def adopt(self, records: Iterable[PartitionRecord], now: float) -> Iterator[object]:
        """Take the parts that a new map gives this node."""
        emptied = ((n, one.emptied_epoch) for n, one in enumerate(records))
        seen = self._emptied_seen
        self._emptied_seen = {one: seen.get(one, now) for one in emptied if one[1]}
        for partition, record in enumerate(records):
            yield from self.replica(partition).adopt(record, now)
        self.expect_receipts(now)

    def is_recovered(self, record: PartitionRecord, partition: int, now: float) -> bool:
        """Return whether claims from before an emptied epoch can't matter."""
        if not record.emptied_epoch:
            return True
        seen = self._emptied_seen.get((partition, record.emptied_epoch), now)
        return now - seen >= self.recovery_s

    # The primary's side.
    def on_request(self, signal: Received, now: float) -> Iterator[object]:
        """Grant or deny a claim, or send the asker elsewhere."""
        req = signal.message
        replica = self.replica(req.partition)
        if not self._decides(replica, req.epoch, now):
            yield from self._answer_undecided(replica, signal, now)
            return
        may_have_run = not self.is_recovered(replica.record, req.partition, now)
        verdict = judge_request(self.table, req, may_have_run, self._counters, now)
        if verdict.reply is None:
            return
        reply = Send(signal.node, verdict.reply)
        if verdict.changed:
            yield from self._replicate(replica, verdict.entry, [reply], now)
        elif not verdict.reply.granted or replica.is_held_by_both(verdict.entry):
            yield reply

    def on_settle(self, signal: Received, now: float) -> Iterator[object]:
        """Note the end of a call and tell its node when both copies hold it."""
        settle = signal.message
        replica = self.replica(settle.partition)
        if not self._decides(replica, settle.epoch, now):
            yield from self._redirect(signal.node, settle, now)
            return
        settled = Send(signal.node, ClaimSettled(settle.claim))
        verdict = judge_settle(self.table, settle, now)
        if verdict.changed:
            yield from self._replicate(replica, verdict.entry, [settled], now)
        elif verdict.entry is None or replica.is_held_by_both(verdict.entry):
            yield settled

    def _decides(self, replica, epoch, now):
        if not replica.is_serving or epoch > replica.record.epoch:
            return False
        return now - self._keeper.confirmed_at < self._cfg.confirm_s

    def _answer_undecided(self, replica, signal, now):
        """Tell the end of a known claim, or send the asker elsewhere."""
        req = signal.message
        reply = judge_ended(self.table, req) if replica.is_complete else None
        if reply is not None:
            yield Send(signal.node, reply)
        else:
            yield from self._redirect(signal.node, req, now)

    def _redirect(self, node, message, now):
        yield Send(node, ClaimRedirect(message.claim, self._keeper.version))
        if message.epoch > self._known_epoch(message.partition):
            yield from self._keeper.ask(node, now)

    def _replicate(self, replica, entry, replies, now):
        self.expect_receipts(now)
        yield from replica.replicate(entry, replies, now)

    def _known_epoch(self, partition):
        record = self._keeper.record(partition)
        return 0 if record is None else record.epoch

    def on_replicated(self, signal: Received, now: float) -> Iterator[object]:
        """Go on with what waited for the backup."""
        replica = self.replica(signal.message.partition)
        if replica.is_primary:
            yield from replica.on_replicated(signal.message, now)

    def on_transferred(self, signal: Received, now: float) -> Iterator[object]:
        """Go on with a transfer."""
        self.expect_receipts(now)
        replica = self.replica(signal.message.partition)
        yield from replica.on_transferred(signal.message, now)

    def on_copy_wanted(self, signal: Received, now: float) -> Iterator[object]:
        """Give the backup its copy."""
        self.expect_receipts(now)
        replica = self.replica(signal.message.partition)
        yield from replica.on_copy_wanted(signal.message, now)

    # The backup's side.
    def on_replicate(self, signal: Received, now: float) -> Iterator[object]:
        """Hold a change of the primary."""
        message = signal.message
        yield from self._compare_epochs(signal, now)
        replica = self.replica(message.partition)
        yield from replica.on_replicate(signal.node, message, now)

    def on_transfer(self, signal: Received, now: float) -> Iterator[object]:
        """Hold a batch of a copy; a batch that does not fit shows an old map."""
        message = signal.message
        replica = self.replica(message.partition)
        receipts = list(replica.on_transfer(signal.node, message, now))
        yield from receipts
        if not receipts:
            yield from self._compare_epochs(signal, now)

    def _compare_epochs(self, signal, now):
        known = self._known_epoch(signal.message.partition)
        if signal.message.epoch > known:
            yield from self._keeper.ask(signal.node, now)
        elif signal.message.epoch < known:
            yield self._keeper.tell(signal.node)

    def status(self) -> dict:
        """Return the sizes of the table and the states of the copies."""
        states = [one.chart.state for one in self.replicas.values()]
        counts = {name: states.count(name) for name in sorted(set(states))}
        return {**self.table.status(), "partitions": counts}
