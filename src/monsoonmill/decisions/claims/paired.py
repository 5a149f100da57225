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
    ClaimReply,
    ClaimSettled,
    ClaimTransferred,
)
from monsoonmill.claim_records import CopyHolder
from monsoonmill.codec import ConfigCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.asks import ClaimAsks, ClaimHomes
from monsoonmill.decisions.claims.claims import Claims
from monsoonmill.decisions.claims.home import ClaimHome
from monsoonmill.decisions.claims.map import READ, SWAP, MapKeeper
from monsoonmill.decisions.claims.placement import Placement
from monsoonmill.decisions.claims.review import PREPARED_JITTER_S, MapReview
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged, SelfLeaving
from monsoonmill.decisions.signals import PlatformDone, PlatformFailed, Received
from monsoonmill.settings import Settings


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

    home_class = ClaimHome
    review_class = MapReview

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
        self.keeper = MapKeeper(members, codec, rng)
        self.home = self.home_class(cfg, own, self.keeper, counters)
        prefix = f"{own.node}/{own.incarnation}"
        self.asks = ClaimAsks(prefix, MapHomes(self.keeper), rng, counters)
        self.placement = Placement(cfg.claims, members, own)
        self.review = self.review_class(
            cfg.claims.partitions,
            self.home,
            self.keeper,
            self.placement,
            rng,
            counters,
        )

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            **self.home.handlers(),
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
        """Claims to settle, and copies that another node has to take."""
        return len(self.asks) + self._copies_to_hand_over()

    def _copies_to_hand_over(self):
        claim_map = self.keeper.claim_map
        if claim_map is None or not self.placement.alive():
            return 0
        return sum(one.holds(self.own) for one in claim_map.records)

    def start(self, now):
        """Look for the map."""
        self.review.start(now)
        yield from self.keeper.start(now)

    def next_due(self):
        """Return when the next timer is due."""
        parts = (self.review.timers, self.keeper.timers, self.asks, self.home)
        times = (part.next_due() for part in parts)
        return min((due for due in times if due is not None), default=None)

    def tick(self, now):
        """Run what is due."""
        yield from self.asks.tick(now)
        yield from self.keeper.tick(now)
        yield from self.home.tick(now)
        yield from self.review.tick(now)

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

    # The map.
    def on_transferred(self, signal: Received, now):
        """Go on with a transfer, and propose its record once it is done."""
        yield from self.home.on_transferred(signal, now)
        if self.home.replica(signal.message.partition).is_frozen:
            self.review.soon(now, PREPARED_JITTER_S)

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
            # A change that waited for word from the platform can be made now.
            self.review.soon(now, PREPARED_JITTER_S)

    def on_platform_failed(self, signal, now):
        """Look again later."""
        if signal.request in (READ, SWAP):
            yield from self.keeper.on_failed(signal, now)

    def _follow_map(self, now):
        if self.keeper.adopted:
            self.keeper.adopted = False
            yield from self.home.adopt(self.keeper.claim_map.records, now)
            self.review.soon(now)

    def on_members_changed(self, signal, now):
        """Look whether copies have to be placed anew."""
        self.review.soon(now)
        return ()

    def status(self):
        """Return the sizes of the tables and the own parts in the map."""
        return {
            **self.home.status(),
            "asks": len(self.asks),
            "map_version": self.keeper.version,
        }
