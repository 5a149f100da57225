"""Periodic review of the claim map, and proposals of changed records."""

from collections.abc import Iterator
from random import Random

from monsoonmill.claim_records import ClaimMap, PartitionRecord
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.map_cache import ClaimMapCache
from monsoonmill.decisions.claims.placement import Placement
from monsoonmill.decisions.claims.replica import Replica
from monsoonmill.decisions.claims.server import ClaimServer
from monsoonmill.decisions.timers import Timers

REVIEW = "review"
REVIEW_INTERVAL_S = 1.0
BALANCE = "balance"
BALANCE_INTERVAL_S = 5.0
BALANCE_WINDOW_S = 2.0
"""Time after each balance timer in which steps towards the preferred pairs are made."""
REVIEW_JITTER_S = 0.1
"""Random delay that spreads nodes which change the map for the same reason."""
PROMPT_REVIEW_JITTER_S = 0.02
"""The same for reviews that continue a change after a platform call or a transfer."""
TRANSFER_STALL_TIMEOUT_S = 1.5
"""Time without an acknowledged batch after which a transfer is abandoned.

Its receiver is then given no replica for ``EXCLUSION_S``.
"""
EXCLUSION_S = 10.0
PLATFORM_ANSWER_MAX_AGE_S = 2.0
"""Maximum age of the platform's last answer for a change that is not urgent."""


class MapReviewer:
    """Prepares and proposes the record changes that the placement asks for."""

    def __init__(
        self,
        partitions: int,
        server: ClaimServer,
        map_cache: ClaimMapCache,
        placement: Placement,
        rng: Random,
        counters: Counters,
    ):
        self.timers = Timers()
        self._partitions = partitions
        self._server = server
        self._map_cache = map_cache
        self._placement = placement
        self._rng = rng
        self._counters = counters
        self._balance_until = float("-inf")

    def start(self, now: float) -> None:
        """Schedule the periodic review and balancing."""
        self.timers.set(REVIEW, now + REVIEW_INTERVAL_S)
        self.timers.set(BALANCE, now + BALANCE_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def schedule_review(self, now: float, jitter_s: float = REVIEW_JITTER_S) -> None:
        """Schedule a review after a short random delay."""
        self.timers.set_no_later(REVIEW, now + self._rng.uniform(0.0, jitter_s))

    def tick(self, now: float) -> Iterator[object]:
        """Review the map if that is due."""
        for key in list(self.timers.pop_due(now)):
            if key == BALANCE:
                self.timers.set(
                    BALANCE, now + BALANCE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
                )
                self._balance_until = now + BALANCE_WINDOW_S
            self.timers.set(REVIEW, now + REVIEW_INTERVAL_S)
            yield from self._review(now)

    def _review(self, now):
        map_cache = self._map_cache
        if map_cache.may_create:
            initial = self._placement.initial_map(self._partitions)
            yield from self._propose(initial.records, now)
        if map_cache.claim_map is None:
            return
        records = map_cache.claim_map.records
        self._placement.update_availability(records, now)
        next_records = list(records)
        for partition, record in enumerate(records):
            replica = self._server.replica(partition)
            target = self._target_record(partition, record, replica, now)
            ready, signals = self._prepare(record, target, replica, now)
            yield from signals
            next_records[partition] = ready
        yield from self._propose(tuple(next_records), now)

    def _target_record(self, partition, record, replica, now):
        is_recovered = self._server.is_recovered(record, partition, now)
        target = self._placement.next_record(record, replica, is_recovered, now)
        if target == record and now < self._balance_until:
            target = self._placement.balanced_record(record, replica)
        return target

    def _prepare(
        self,
        record: PartitionRecord,
        target: PartitionRecord,
        replica: Replica,
        now: float,
    ):
        """Return the record to propose now, and the signals of its preparation."""
        if replica.is_frozen and self._is_proposal_pending(replica):
            # Only another attempt at the same change shows whether it was written.
            target = replica.planned_record
        elif replica.is_frozen:
            self._abandon_outdated_plan(replica, target, now)
        if target == record or not _needs_preparation(target, replica):
            return target, ()
        if not replica.is_frozen and not self._may_change_now(record, now):
            return record, list(self._map_cache.read(now))
        ready, signals = replica.prepare(target, now)
        self._server.schedule_resend(now)
        return ready or record, signals

    def _is_proposal_pending(self, replica):
        """Return whether the platform may still write the proposed record."""
        proposed_version = replica.proposed_version
        return (
            proposed_version is not None and self._map_cache.version <= proposed_version
        )

    def _abandon_outdated_plan(self, replica, target, now):
        """Resume a frozen replica whose plan is outdated or whose transfer stalls."""
        is_stalled = now - replica.progress_at > TRANSFER_STALL_TIMEOUT_S
        if is_stalled and replica.chart.is_in("preparing"):
            self._counters.add("claim-transfers-given-up")
            self._placement.exclude(
                replica.planned_record.backup.node, now + EXCLUSION_S
            )
            replica.resume()
        elif replica.planned_record != target:
            replica.resume()

    def _may_change_now(self, record, now):
        is_platform_reachable = (
            now - self._map_cache.platform_answered_at < PLATFORM_ANSWER_MAX_AGE_S
        )
        return is_platform_reachable or self._placement.is_urgent(record, now)

    def _propose(self, records, now):
        map_cache = self._map_cache
        current = map_cache.claim_map
        if map_cache.is_busy or (current is not None and records == current.records):
            return
        for partition, record in enumerate(records):
            replica = self._server.replica(partition)
            if replica.is_frozen and record != map_cache.record(partition):
                replica.proposed_version = map_cache.version
        self._counters.add("claim-map-proposals")
        yield from map_cache.propose(ClaimMap(records), now)


def _needs_preparation(target, replica):
    if target.emptied_epoch == target.epoch:
        return False
    return target.backup is not None or target.primary != replica.own
