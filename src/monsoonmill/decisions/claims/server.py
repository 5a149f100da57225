"""Serving of claims from the partition replicas that a node holds."""

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
from monsoonmill.decisions.claims.map_cache import ClaimMapCache
from monsoonmill.decisions.claims.replica import Replica
from monsoonmill.decisions.claims.rules import (
    apply_settle,
    decide_request,
    deny_if_ended,
)
from monsoonmill.decisions.claims.table import OVERDUE_GRACE_S, ClaimTable
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import Settings

RESEND = "resend"
RESEND_DELAY_S = 0.2


class ClaimServer:
    """Handles claim messages for the replicas of this node, as primary and as backup.

    Attributes
    ----------
    recovery_s : float
        Time after a partition was emptied in which a lost claim may still matter.
        Its former primary may grant claims for ``confirm_s``, the last such call may
        run until its time-out, and its claim is retained for ``retention_s``.
    """

    replica_class = Replica

    def __init__(
        self,
        cfg: Settings,
        own: CopyHolder,
        map_cache: ClaimMapCache,
        counters: Counters,
    ):
        self.table = ClaimTable(cfg.claims, counters)
        self.replicas: dict[int, Replica] = {}
        self._cfg = cfg.claims
        self._own = own
        self._map_cache = map_cache
        self._counters = counters
        self._timers = Timers()
        self._emptied_first_seen: dict[tuple[int, int], float] = {}
        longest_call_s = cfg.call.max_timeout_ms / 1000 + OVERDUE_GRACE_S
        self.recovery_s = cfg.claims.confirm_s + longest_call_s + cfg.claims.retention_s

    def handlers(self):
        """Return the handlers of the messages to primaries and backups."""
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
        """Return this node's replica of a partition."""
        if partition not in self.replicas:
            replica = self.replica_class.create(partition, self._own, self.table)
            self.replicas[partition] = replica
        return self.replicas[partition]

    def next_due(self) -> float | None:
        """Return when the next timer is due."""
        times = (self._timers.next_due(), self.table.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now: float) -> Iterator[object]:
        """Expire overdue claims and resend unacknowledged messages."""
        for entry in self.table.pop_due(now):
            yield from self._expire(entry, now)
        for _ in list(self._timers.pop_due(now)):
            yield from self._resend_unacknowledged(now)

    def _expire(self, entry, now):
        replica = self.replica(entry.partition)
        if not replica.is_serving:
            self.table.postpone(entry, now + OVERDUE_GRACE_S)
            return
        self._counters.add("claims-overdue")
        self.table.send_event(entry, "overdue", None, now)
        yield from self._replicate(replica, entry, [], now)

    def _resend_unacknowledged(self, now):
        for replica in self.replicas.values():
            if replica.awaits_acknowledgement:
                self.schedule_resend(now)
                yield from replica.resend(now)

    def schedule_resend(self, now: float) -> None:
        """Resend what is still unacknowledged after ``RESEND_DELAY_S``."""
        self._timers.set_no_later(RESEND, now + RESEND_DELAY_S)

    def apply_records(
        self, records: Iterable[PartitionRecord], now: float
    ) -> Iterator[object]:
        """Apply the records of a new claim map to all replicas."""
        emptied = (
            (partition, record.emptied_epoch)
            for partition, record in enumerate(records)
        )
        first_seen = self._emptied_first_seen
        self._emptied_first_seen = {
            key: first_seen.get(key, now) for key in emptied if key[1]
        }
        for partition, record in enumerate(records):
            yield from self.replica(partition).apply_record(record, now)
        self.schedule_resend(now)

    def is_recovered(self, record: PartitionRecord, partition: int, now: float) -> bool:
        """Return whether claims from before the emptied epoch can't matter any more."""
        if not record.emptied_epoch:
            return True
        first_seen = self._emptied_first_seen.get(
            (partition, record.emptied_epoch), now
        )
        return now - first_seen >= self.recovery_s

    # Messages to a primary.
    def on_request(self, signal: Received, now: float) -> Iterator[object]:
        """Grant, deny or redirect a claim request."""
        req = signal.message
        replica = self.replica(req.partition)
        if not self._may_decide(replica, req.epoch, now):
            yield from self._deny_ended_or_redirect(replica, signal, now)
            return
        may_have_run = not self.is_recovered(replica.record, req.partition, now)
        result = decide_request(self.table, req, may_have_run, self._counters, now)
        if result.reply is None:
            return
        reply = Send(signal.node, result.reply)
        if result.changed:
            yield from self._replicate(replica, result.entry, [reply], now)
        elif not result.reply.granted or replica.is_replicated(result.entry):
            yield reply

    def on_settle(self, signal: Received, now: float) -> Iterator[object]:
        """Store the outcome of a call and confirm it once both replicas hold it."""
        settle = signal.message
        replica = self.replica(settle.partition)
        if not self._may_decide(replica, settle.epoch, now):
            yield from self._redirect(signal.node, settle, now)
            return
        settled = Send(signal.node, ClaimSettled(settle.claim))
        result = apply_settle(self.table, settle, now)
        if result.changed:
            yield from self._replicate(replica, result.entry, [settled], now)
        elif result.entry is None or replica.is_replicated(result.entry):
            yield settled

    def _may_decide(self, replica, epoch, now):
        if not replica.is_serving or epoch > replica.record.epoch:
            return False
        return now - self._map_cache.confirmed_at < self._cfg.confirm_s

    def _deny_ended_or_redirect(self, replica, signal, now):
        """Deny a claim that is known to have ended, or redirect the requester."""
        req = signal.message
        reply = deny_if_ended(self.table, req) if replica.is_complete else None
        if reply is not None:
            yield Send(signal.node, reply)
        else:
            yield from self._redirect(signal.node, req, now)

    def _redirect(self, node, message, now):
        yield Send(node, ClaimRedirect(message.claim, self._map_cache.version))
        if message.epoch > self._known_epoch(message.partition):
            yield from self._map_cache.request_map(node, now)

    def _replicate(self, replica, entry, replies, now):
        self.schedule_resend(now)
        yield from replica.replicate(entry, replies, now)

    def _known_epoch(self, partition):
        record = self._map_cache.record(partition)
        return 0 if record is None else record.epoch

    def on_replicated(self, signal: Received, now: float) -> Iterator[object]:
        """Send the replies that waited for the backup's acknowledgement."""
        replica = self.replica(signal.message.partition)
        if replica.is_primary:
            yield from replica.on_replicated(signal.message, now)

    def on_transferred(self, signal: Received, now: float) -> Iterator[object]:
        """Continue a transfer after a batch was acknowledged."""
        self.schedule_resend(now)
        replica = self.replica(signal.message.partition)
        yield from replica.on_transferred(signal.message, now)

    def on_copy_wanted(self, signal: Received, now: float) -> Iterator[object]:
        """Transfer the partition to a backup that lacks its copy."""
        self.schedule_resend(now)
        replica = self.replica(signal.message.partition)
        yield from replica.on_copy_wanted(signal.message, now)

    # Messages to a backup.
    def on_replicate(self, signal: Received, now: float) -> Iterator[object]:
        """Store a change that the primary replicates to this node."""
        message = signal.message
        yield from self._exchange_map_versions(signal, now)
        replica = self.replica(message.partition)
        yield from replica.on_replicate(signal.node, message, now)

    def on_transfer(self, signal: Received, now: float) -> Iterator[object]:
        """Store a batch of a transfer.

        A batch that is not accepted indicates that one of the two maps is outdated.
        """
        message = signal.message
        replica = self.replica(message.partition)
        acknowledgements = list(replica.on_transfer(signal.node, message, now))
        yield from acknowledgements
        if not acknowledgements:
            yield from self._exchange_map_versions(signal, now)

    def _exchange_map_versions(self, signal, now):
        known = self._known_epoch(signal.message.partition)
        if signal.message.epoch > known:
            yield from self._map_cache.request_map(signal.node, now)
        elif signal.message.epoch < known:
            yield self._map_cache.version_notice(signal.node)

    def status(self) -> dict:
        """Return the sizes of the table and the number of replicas in each state."""
        states = [replica.chart.state for replica in self.replicas.values()]
        counts = {name: states.count(name) for name in sorted(set(states))}
        return {**self.table.status(), "partitions": counts}
