"""Claims held by a primary and a backup that the platform's map names.

The map is a configuration kept by the platform, as in Vertical Paxos: the two
copies need no consensus of their own, and a claim costs the platform nothing.
"""

from collections.abc import Iterator
from random import Random

from monsoonmill.claim_messages import (
    ClaimMapReply,
    ClaimMapRequest,
    ClaimRedirect,
    ClaimReplicate,
    ClaimReplicated,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettled,
    ClaimTransfer,
    ClaimTransferred,
)
from monsoonmill.claim_records import ClaimMap, CopyHolder
from monsoonmill.codec import ConfigCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.claim_asks import ClaimAsks, ClaimHomes
from monsoonmill.decisions.claim_map import READ, SWAP, MapKeeper
from monsoonmill.decisions.claim_placement import Placement
from monsoonmill.decisions.claim_replication import Replica
from monsoonmill.decisions.claim_rules import judge_request, judge_settle
from monsoonmill.decisions.claim_table import OVERDUE_GRACE_S, ClaimTable
from monsoonmill.decisions.claims import Claims
from monsoonmill.decisions.membership import Membership
from monsoonmill.decisions.signals import (
    MembersChanged,
    PlatformDone,
    PlatformFailed,
    Received,
    SelfLeaving,
    Send,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.settings import Settings

REVIEW = "review"
REVIEW_S = 1.0
BALANCE = "balance"
BALANCE_S = 5.0
RESEND = "resend"
RESEND_S = 0.2
JITTER_S = 0.1
"""Spread of the nodes that change the map for the same reason."""


class MapHomes(ClaimHomes):
    """Finds the primary of a partition in the claim map."""

    def __init__(self, keeper: MapKeeper):
        self._keeper = keeper

    def partition(self, organisation: str, key: str) -> int:
        """Return the number of a key's partition."""
        claim_map = self._keeper.claim_map
        return 0 if claim_map is None else claim_map.partition(organisation, key)

    def home(self, partition: int) -> tuple[str, int] | None:
        """Return the primary and the epoch, once the map is known."""
        record = self._keeper.record(partition)
        return None if record is None else (record.primary.node, record.epoch)

    def on_silence(self, partition: int, now: float) -> Iterator[object]:
        """Ask the backup or the reading node for a newer map."""
        record = self._keeper.record(partition)
        if record is not None:
            other = record.backup or record.primary
            yield from self._keeper.doubt(other.node, now)

    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Ask for the map if the other node's is newer."""
        if redirect.version > self._keeper.version:
            yield from self._keeper.ask(node, now)


class PairedClaims(Claims):
    """Grants a claim once its primary and its backup hold it."""

    replica_class = Replica

    def __init__(
        self,
        cfg: Settings,
        members: Membership,
        codec: ConfigCodec,
        rng: Random,
        counters: Counters,
    ):
        self.cfg = cfg.claims
        self.counters = counters
        self.own = CopyHolder(members.own.node, members.own.incarnation)
        self.table = ClaimTable(cfg.claims, counters)
        self.keeper = MapKeeper(members, codec, rng)
        self.placement = Placement(members, self.own)
        self.replicas: dict[int, Replica] = {}
        prefix = f"{self.own.node}/{self.own.incarnation}"
        self.asks = ClaimAsks(prefix, MapHomes(self.keeper), rng, counters)
        self._rng = rng
        self._timers = Timers()
        self._emptied_seen: dict[tuple[int, int], float] = {}
        longest_call_s = cfg.call.max_timeout_ms / 1000 + OVERDUE_GRACE_S
        self.recovery_s = self.cfg.confirm_s + longest_call_s + self.cfg.retention_s

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            ClaimRequest: self.on_claim_request,
            ClaimReply: self.on_claim_reply,
            ClaimRedirect: self.on_claim_redirect,
            ClaimSettle: self.on_claim_settle,
            ClaimSettled: self.on_claim_settled,
            ClaimReplicate: self.on_replicate,
            ClaimReplicated: self.on_replicated,
            ClaimTransfer: self.on_transfer,
            ClaimTransferred: self.on_transferred,
            ClaimMapRequest: self.on_map_request,
            ClaimMapReply: self.on_map_reply,
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
            MembersChanged: self.on_members_changed,
            SelfLeaving: self.on_members_changed,
        }

    @property
    def in_progress(self) -> int:
        """Claims to settle, and copies that another node has to take."""
        return len(self.asks) + self._copies_to_hand_over()

    def _copies_to_hand_over(self):
        claim_map = self.keeper.claim_map
        if claim_map is None or not self.placement.alive():
            return 0
        return sum(one.holds(self.own) for one in claim_map.records)

    def start(self, now):
        """Look for the map."""
        self._timers.set(REVIEW, now + REVIEW_S)
        self._timers.set(BALANCE, now + BALANCE_S * self._rng.uniform(0.8, 1.2))
        yield from self.keeper.start(now)

    # Timers.
    def next_due(self):
        """Return when the next timer is due."""
        parts = (self._timers, self.keeper.timers, self.asks, self.table)
        times = (part.next_due() for part in parts)
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Run what is due."""
        yield from self.asks.tick(now)
        yield from self.keeper.tick(now)
        for entry in self.table.pop_due(now):
            yield from self._overdue(entry, now)
        for key in list(self._timers.pop_due(now)):
            yield from self._run_timer(key, now)

    def _run_timer(self, key, now):
        if key == RESEND:
            yield from self._resend(now)
        elif key == REVIEW:
            self._timers.set(REVIEW, now + REVIEW_S)
            yield from self._review(now)
        else:
            self._timers.set(BALANCE, now + BALANCE_S * self._rng.uniform(0.8, 1.2))
            yield from self._balance(now)

    def _overdue(self, entry, now):
        replica = self._replica(entry.partition)
        if not replica.is_serving:
            self.table.postpone(entry, now + OVERDUE_GRACE_S)
            return
        self.counters.add("claims-overdue")
        self.table.send(entry, "overdue", None, now)
        yield from self._replicate(replica, entry, [], now)

    def _resend(self, now):
        for replica in self.replicas.values():
            if replica.is_waiting:
                self._timers.set(RESEND, now + RESEND_S)
                yield from replica.resend(now)

    def _expect_receipts(self, now):
        self._timers.set_no_later(RESEND, now + RESEND_S)

    # The asker's side.
    def on_claim_wanted(self, signal, now):
        """Ask the primary of the key's partition."""
        return self.asks.on_wanted(signal, now)

    def on_claim_done(self, signal, now):
        """Settle the claim with the primary."""
        return self.asks.on_done(signal, now)

    def on_claim_reply(self, signal: Received, now):
        """Take the primary's decision."""
        return self.asks.on_reply(signal.message, now)

    def on_claim_redirect(self, signal: Received, now):
        """Look for the right primary."""
        return self.asks.on_redirect(signal.node, signal.message, now)

    def on_claim_settled(self, signal: Received, now):
        """Forget a settled claim."""
        return self.asks.on_settled(signal.message, now)

    # The primary's side.
    def on_claim_request(self, signal: Received, now):
        """Grant or deny a claim, or send the asker elsewhere."""
        req = signal.message
        replica = self._replica(req.partition)
        if not self._decides(replica, req.epoch, now):
            yield from self._redirect(signal.node, req, now)
            return
        may_have_run = not self._is_recovered(replica.record, req.partition, now)
        verdict = judge_request(self.table, req, may_have_run, self.counters, now)
        if verdict.reply is None:
            return
        reply = Send(signal.node, verdict.reply)
        if verdict.changed:
            yield from self._replicate(replica, verdict.entry, [reply], now)
        elif not verdict.reply.granted or replica.is_held_by_both(verdict.entry):
            yield reply

    def on_claim_settle(self, signal: Received, now):
        """Note the end of a call and tell its node when both copies hold it."""
        settle = signal.message
        replica = self._replica(settle.partition)
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
        return now - self.keeper.confirmed_at < self.cfg.confirm_s

    def _redirect(self, node, message, now):
        yield Send(node, ClaimRedirect(message.claim, self.keeper.version))
        record = self.keeper.record(message.partition)
        if record is not None and message.epoch > record.epoch:
            yield from self.keeper.ask(node, now)

    def _replicate(self, replica, entry, replies, now):
        self._expect_receipts(now)
        yield from replica.replicate(entry, replies, now)

    def _is_recovered(self, record, partition, now):
        if not record.emptied_epoch:
            return True
        seen = self._emptied_seen.get((partition, record.emptied_epoch), now)
        return now - seen >= self.recovery_s

    # Between the copies.
    def on_replicate(self, signal: Received, now):
        """Hold a change as the backup."""
        yield from self._compare_epochs(signal, now)
        replica = self._replica(signal.message.partition)
        yield from replica.on_replicate(signal.node, signal.message, now)

    def on_transfer(self, signal: Received, now):
        """Hold a batch as the new backup."""
        yield from self._compare_epochs(signal, now)
        replica = self._replica(signal.message.partition)
        yield from replica.on_transfer(signal.node, signal.message, now)

    def _compare_epochs(self, signal, now):
        record = self.keeper.record(signal.message.partition)
        known = 0 if record is None else record.epoch
        if signal.message.epoch > known:
            yield from self.keeper.ask(signal.node, now)
        elif signal.message.epoch < known:
            yield self.keeper.tell(signal.node)

    def on_replicated(self, signal: Received, now):
        """Go on with what waited for the backup."""
        replica = self._replica(signal.message.partition)
        if replica.is_primary:
            yield from replica.on_replicated(signal.message, now)

    def on_transferred(self, signal: Received, now):
        """Go on with a transfer."""
        replica = self._replica(signal.message.partition)
        if replica.is_primary:
            yield from replica.on_transferred(signal.message, now)
            self._expect_receipts(now)

    # The map.
    def on_map_request(self, signal: Received, now):
        """Answer another node."""
        return self.keeper.on_request(signal, now)

    def on_map_reply(self, signal: Received, now):
        """Take another node's map."""
        yield from self.keeper.on_reply(signal, now)
        yield from self._follow_map(now)

    def on_platform_done(self, signal, now):
        """Take the stored map or the end of a write."""
        if signal.request in (READ, SWAP):
            yield from self.keeper.on_done(signal, now)
            yield from self._follow_map(now)

    def on_platform_failed(self, signal, now):
        """Look again later."""
        if signal.request in (READ, SWAP):
            yield from self.keeper.on_failed(signal, now)

    def _follow_map(self, now):
        if self.keeper.adopted:
            self.keeper.adopted = False
            self._note_emptied(now)
            for partition, record in enumerate(self.keeper.claim_map.records):
                yield from self._replica(partition).adopt(record, now)
            self._expect_receipts(now)
            self._review_soon(now)

    def _note_emptied(self, now):
        records = enumerate(self.keeper.claim_map.records)
        emptied = [(number, one.emptied_epoch) for number, one in records]
        seen = self._emptied_seen
        self._emptied_seen = {one: seen.get(one, now) for one in emptied if one[1]}

    def on_members_changed(self, signal, now):
        """Look whether copies have to be placed anew."""
        self._review_soon(now)
        return ()

    def _review_soon(self, now):
        self._timers.set_no_later(REVIEW, now + self._rng.uniform(0.0, JITTER_S))

    def _review(self, now):
        """Propose the records that the members' state asks for."""
        if self.keeper.may_create:
            claim_map = self.placement.first_map(self.cfg.partitions)
            yield from self._propose(claim_map.records, now)
        elif self.keeper.claim_map is not None:
            records = self.keeper.claim_map.records
            self.placement.note_conditions(records, now)
            wanted = tuple(self._next_records(records, now))
            yield from self._propose(wanted, now)

    def _next_records(self, records, now):
        for partition, record in enumerate(records):
            is_recovered = self._is_recovered(record, partition, now)
            replica = self._replica(partition)
            yield self.placement.next_record(record, replica, is_recovered, now)

    def _balance(self, now):
        """Propose a step towards an even spread of the copies."""
        if self.keeper.claim_map is not None:
            records = self.keeper.claim_map.records
            wanted = tuple(
                self.placement.balanced_record(record, self._replica(partition))
                for partition, record in enumerate(records)
            )
            yield from self._propose(wanted, now)

    def _propose(self, records, now):
        if self.keeper.is_busy:
            return
        current = self.keeper.claim_map
        if current is None or records != current.records:
            self.counters.add("claim-map-proposals")
            yield from self.keeper.propose(ClaimMap(records), now)

    def _replica(self, partition):
        if partition not in self.replicas:
            replica = self.replica_class.from_table(partition, self.own, self.table)
            self.replicas[partition] = replica
        return self.replicas[partition]

    def status(self):
        """Return the sizes of the tables and the own parts in the map."""
        states = [one.chart.state for one in self.replicas.values()]
        return {
            **self.table.status(),
            "asks": len(self.asks),
            "map_version": self.keeper.version,
            "partitions": {name: states.count(name) for name in sorted(set(states))},
        }
