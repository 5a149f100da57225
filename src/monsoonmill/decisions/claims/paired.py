"""Claims replicated on a primary and a backup, which the claim map names.

As in Vertical Paxos, the configuration is kept by an external service, the
platform. The two replicas need no consensus protocol of their own, and granting
a claim needs no platform call.
"""

from collections.abc import Iterator
from random import Random

from monsoonmill.claim_messages import (
    ClaimMapReply,
    ClaimMapRequest,
    ClaimRedirect,
    ClaimReply,
    ClaimSettled,
    ClaimTransferred,
)
from monsoonmill.claim_records import CopyHolder
from monsoonmill.codec import ConfigCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.claims import Claims
from monsoonmill.decisions.claims.client import ClaimClient, HomeLocator
from monsoonmill.decisions.claims.map_cache import READ, SWAP, ClaimMapCache
from monsoonmill.decisions.claims.placement import Placement
from monsoonmill.decisions.claims.review import (
    PROMPT_REVIEW_JITTER_S,
    MapReviewer,
)
from monsoonmill.decisions.claims.server import ClaimServer
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged, SelfLeaving
from monsoonmill.decisions.signals import PlatformDone, PlatformFailed, Received
from monsoonmill.settings import Settings


class MapLocator(HomeLocator):
    """Locates the primary of a partition in the claim map."""

    def __init__(self, map_cache: ClaimMapCache):
        self._map_cache = map_cache

    def partition(self, organisation: str, key: str) -> int:
        """Return the partition number of a key."""
        claim_map = self._map_cache.claim_map
        return 0 if claim_map is None else claim_map.partition(organisation, key)

    def home(self, partition: int) -> tuple[str, int] | None:
        """Return the primary and its epoch, if the map is known."""
        record = self._map_cache.record(partition)
        return None if record is None else (record.primary.node, record.epoch)

    def on_no_answer(self, partition: int, now: float) -> Iterator[object]:
        """Ask the backup or the reader for a newer map."""
        record = self._map_cache.record(partition)
        if record is not None:
            holder = record.backup or record.primary
            yield from self._map_cache.check_for_newer(holder.node, now)

    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Request the map from a node that has a newer one."""
        if redirect.version > self._map_cache.version:
            yield from self._map_cache.request_map(node, now)


class PairedClaims(Claims):
    """Grants a claim once its primary and its backup have stored it."""

    server_class = ClaimServer
    reviewer_class = MapReviewer

    def __init__(
        self,
        cfg: Settings,
        members: Membership,
        codec: ConfigCodec,
        rng: Random,
        counters: Counters,
    ):
        own = CopyHolder(members.own.node, members.own.incarnation)
        self.own = own
        self.map_cache = ClaimMapCache(members, codec, rng)
        self.server = self.server_class(cfg, own, self.map_cache, counters)
        prefix = f"{own.node}/{own.incarnation}"
        self.client = ClaimClient(prefix, MapLocator(self.map_cache), rng, counters)
        self.placement = Placement(cfg.claims, members, own)
        self.reviewer = self.reviewer_class(
            cfg.claims.partitions,
            self.server,
            self.map_cache,
            self.placement,
            rng,
            counters,
        )

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            **self.server.handlers(),
            ClaimTransferred: self.on_transferred,
            ClaimReply: self.on_claim_reply,
            ClaimRedirect: self.on_claim_redirect,
            ClaimSettled: self.on_claim_settled,
            ClaimMapRequest: self.on_map_request,
            ClaimMapReply: self.on_map_reply,
            PlatformDone: self.on_platform_done,
            PlatformFailed: self.on_platform_failed,
            MembersChanged: self.on_members_changed,
            SelfLeaving: self.on_members_changed,
        }

    @property
    def in_progress(self) -> int:
        """Number of claims to settle and of replicas to hand over."""
        return len(self.client) + self._copies_to_hand_over()

    def _copies_to_hand_over(self):
        claim_map = self.map_cache.claim_map
        if claim_map is None or not self.placement.alive():
            return 0
        return sum(record.holds(self.own) for record in claim_map.records)

    def start(self, now):
        """Schedule the first refresh and the first review of the map."""
        self.reviewer.start(now)
        yield from self.map_cache.start(now)

    def next_due(self):
        """Return when the next timer is due."""
        timed_parts = (
            self.reviewer.timers,
            self.map_cache.timers,
            self.client,
            self.server,
        )
        times = (timed_part.next_due() for timed_part in timed_parts)
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Run the timers that are due."""
        yield from self.client.tick(now)
        yield from self.map_cache.tick(now)
        yield from self.server.tick(now)
        yield from self.reviewer.tick(now)

    # Claims of this node's calls.
    def on_claim_needed(self, signal, now):
        """Request a claim from the primary of the key's partition."""
        return self.client.on_claim_needed(signal, now)

    def on_claimed_call_ended(self, signal, now):
        """Settle a claim with the primary."""
        return self.client.on_call_ended(signal, now)

    def on_claim_reply(self, signal: Received, now):
        """Handle the primary's decision."""
        return self.client.on_reply(signal.message, now)

    def on_claim_redirect(self, signal: Received, now):
        """Handle a redirect from a node that can't decide."""
        return self.client.on_redirect(signal.node, signal.message, now)

    def on_claim_settled(self, signal: Received, now):
        """Remove a claim whose outcome both replicas have stored."""
        return self.client.on_settled(signal.message, now)

    # The claim map and transfers.
    def on_transferred(self, signal: Received, now):
        """Continue a transfer, and review the map soon if it prepares a change."""
        yield from self.server.on_transferred(signal, now)
        if self.server.replica(signal.message.partition).is_frozen:
            self.reviewer.schedule_review(now, PROMPT_REVIEW_JITTER_S)

    def on_map_request(self, signal: Received, now):
        """Reply to a map request of another node."""
        return self.map_cache.on_request(signal, now)

    def on_map_reply(self, signal: Received, now):
        """Apply another node's map if it is newer."""
        yield from self.map_cache.on_reply(signal, now)
        yield from self._apply_new_map(now)

    def on_platform_done(self, signal, now):
        """Apply the map that was read or written."""
        if signal.request in (READ, SWAP):
            yield from self.map_cache.on_done(signal, now)
            yield from self._apply_new_map(now)
            # Changes that aren't urgent wait for a recent answer of the platform.
            self.reviewer.schedule_review(now, PROMPT_REVIEW_JITTER_S)

    def on_platform_failed(self, signal, now):
        """Schedule a retry of a failed read or write."""
        if signal.request in (READ, SWAP):
            yield from self.map_cache.on_failed(signal, now)

    def _apply_new_map(self, now):
        if self.map_cache.has_new_map:
            self.map_cache.has_new_map = False
            yield from self.server.apply_records(self.map_cache.claim_map.records, now)
            self.reviewer.schedule_review(now)

    def on_members_changed(self, signal, now):
        """Schedule a review, since replicas may have to move to other nodes."""
        self.reviewer.schedule_review(now)
        return ()

    def status(self):
        """Return the table's sizes, the replicas' states and the map's version."""
        return {
            **self.server.status(),
            "asks": len(self.client),
            "map_version": self.map_cache.version,
        }
