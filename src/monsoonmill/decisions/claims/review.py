"""Changes of the claim map that this node's copies ask for."""

from collections.abc import Iterator
from random import Random

from monsoonmill.claim_records import ClaimMap, PartitionRecord
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.home import ClaimHome
from monsoonmill.decisions.claims.map import MapKeeper
from monsoonmill.decisions.claims.placement import Placement
from monsoonmill.decisions.claims.replication import Replica
from monsoonmill.decisions.timers import Timers

REVIEW = "review"
REVIEW_S = 1.0
BALANCE = "balance"
BALANCE_S = 5.0
BALANCE_STEP_S = 2.0
"""Time within which a step towards an even spread has to be made."""
JITTER_S = 0.1
"""Spread of the nodes that change the map for the same reason."""
PREPARED_JITTER_S = 0.02
PREPARE_LIMIT_S = 1.5
"""A node that acknowledges no batch for this long gets no copy."""
AVOID_S = 10.0
REACHED_S = 2.0
"""A change that could wait is made only if the platform answered this lately."""


class MapReview:
    """Prepares and proposes changed records."""

    def __init__(
        self,
        partitions: int,
        home: ClaimHome,
        keeper: MapKeeper,
        placement: Placement,
        rng: Random,
        counters: Counters,
    ):
        self.timers = Timers()
        self._partitions = partitions
        self._home = home
        self._keeper = keeper
        self._placement = placement
        self._rng = rng
        self._counters = counters
        self._balance_until = float("-inf")

    def start(self, now: float) -> None:
        """Begin to review the map at intervals."""
        self.timers.set(REVIEW, now + REVIEW_S)
        self.timers.set(BALANCE, now + BALANCE_S * self._rng.uniform(0.8, 1.2))

    def soon(self, now: float, jitter_s: float = JITTER_S) -> None:
        """Review the map after a short, random wait."""
        self.timers.set_no_later(REVIEW, now + self._rng.uniform(0.0, jitter_s))

    def tick(self, now: float) -> Iterator[object]:
        """Review the map if that is due."""
        for key in list(self.timers.pop_due(now)):
            if key == BALANCE:
                self.timers.set(BALANCE, now + BALANCE_S * self._rng.uniform(0.8, 1.2))
                self._balance_until = now + BALANCE_STEP_S
            self.timers.set(REVIEW, now + REVIEW_S)
            yield from self._review(now)

    def _review(self, now):
        keeper = self._keeper
        if keeper.may_create:
            first = self._placement.first_map(self._partitions)
            yield from self._propose(first.records, now)
        if keeper.claim_map is None:
            return
        records = keeper.claim_map.records
        self._placement.note_conditions(records, now)
        changed = list(records)
        for partition, record in enumerate(records):
            replica = self._home.replica(partition)
            wanted = self._wanted(partition, record, replica, now)
            ready, signals = self._prepare(record, wanted, replica, now)
            yield from signals
            changed[partition] = ready
        yield from self._propose(tuple(changed), now)

    def _wanted(self, partition, record, replica, now):
        is_recovered = self._home.is_recovered(record, partition, now)
        wanted = self._placement.next_record(record, replica, is_recovered, now)
        if wanted == record and now < self._balance_until:
            wanted = self._placement.balanced_record(record, replica)
        return wanted

    def _prepare(
        self,
        record: PartitionRecord,
        wanted: PartitionRecord,
        replica: Replica,
        now: float,
    ):
        """Return the record to propose now, and signals that lead further."""
        if replica.is_frozen and self._is_uncertain(replica):
            # Only the platform's answer to the same change tells what became of it.
            wanted = replica.plan
        elif replica.is_frozen:
            self._give_up(replica, wanted, now)
        if wanted == record or not _needs_preparation(wanted, replica):
            return wanted, ()
        if not replica.is_frozen and not self._is_timely(record, now):
            return record, list(self._keeper.read(now))
        ready, signals = replica.prepare(wanted, now)
        self._home.expect_receipts(now)
        return ready or record, signals

    def _is_uncertain(self, replica):
        """Return whether the platform may still write a proposed record."""
        proposed = replica.proposed_version
        return proposed is not None and self._keeper.version <= proposed

    def _give_up(self, replica, wanted, now):
        """Resume a frozen copy whose plan is outdated or comes to nothing."""
        is_stuck = now - replica.progress_at > PREPARE_LIMIT_S
        if is_stuck and replica.chart.is_in("preparing"):
            self._counters.add("claim-transfers-given-up")
            self._placement.avoid(replica.plan.backup.node, now + AVOID_S)
            replica.resume()
        elif replica.plan != wanted:
            replica.resume()

    def _is_timely(self, record, now):
        is_reached = now - self._keeper.reached_at < REACHED_S
        return is_reached or self._placement.is_urgent(record, now)

    def _propose(self, records, now):
        keeper = self._keeper
        current = keeper.claim_map
        if keeper.is_busy or (current is not None and records == current.records):
            return
        for partition, record in enumerate(records):
            replica = self._home.replica(partition)
            if replica.is_frozen and record != keeper.record(partition):
                replica.proposed_version = keeper.version
        self._counters.add("claim-map-proposals")
        yield from keeper.propose(ClaimMap(records), now)


def _needs_preparation(wanted, replica):
    if wanted.emptied_epoch == wanted.epoch:
        return False
    return wanted.backup is not None or wanted.primary != replica.own
