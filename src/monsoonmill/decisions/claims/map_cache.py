"""Cache of the claim map, which the platform stores.

One node of the fleet, the reader, reads the map from the platform at intervals,
and the other nodes request it from the reader. The platform's load thus does not
grow with the fleet, and each node still knows up to which time its version was
the platform's current one. Changes are written by compare-and-swap.
"""

from collections.abc import Iterator
from itertools import count
from random import Random

from monsoonmill.claim_messages import ClaimMapReply, ClaimMapRequest
from monsoonmill.claim_records import ClaimMap, PartitionRecord
from monsoonmill.codec import ConfigCodec
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.rendezvous import first_member
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformRead,
    PlatformSwap,
    Received,
    Send,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import PlatformConflictError
from monsoonmill.model import MemberState

MAP_KEY = "claims-map"
READ = "claims-read"
SWAP = "claims-swap"
REFRESH = "refresh"
REFRESH_INTERVAL_S = 15.0
"""Time between refreshes while the map does not change."""
STALE_AGE_S = 3 * REFRESH_INTERVAL_S
DIRECT_READ_PROBABILITY = 0.25
"""Probability that a refresh reads from the platform while the map is stale.

The reader may have lost its connection to the platform.
"""
FIRST_REFRESH_DELAY_S = 0.5
NO_MAP_REFRESH_INTERVAL_S = 0.5
MIN_READ_INTERVAL_S = 0.5
"""Minimum time between platform reads on behalf of other nodes."""
MIN_REQUEST_INTERVAL_S = 0.2
"""Minimum time between map requests to other nodes."""
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 5.0
NEVER = float("-inf")
NO_VERSION = 0
UNSOLICITED = 0
MIN_EMPTY_READS = 2
"""Number of reads that must find no map before one is created."""


class ClaimMapCache:
    """Caches the newest claim map that this node has received.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the platform is known to have held this version.
    has_new_map : bool
        Whether a map was adopted that the replicas have not applied yet.
    platform_answered_at : float
        Time of the platform's last answer to this node.
    """

    def __init__(self, members: Membership, codec: ConfigCodec, rng: Random):
        self.claim_map: ClaimMap | None = None
        self.version = NO_VERSION
        self.confirmed_at = NEVER
        self.has_new_map = False
        self.timers = Timers()
        self._members = members
        self._codec = codec
        self._rng = rng
        self._numbers = count(UNSOLICITED + 1)
        self._last_request: tuple[int, float] = (UNSOLICITED, NEVER)
        self._is_reading = False
        self._proposed: ClaimMap | None = None
        self._read_at = NEVER
        self.platform_answered_at = NEVER
        self._empty_reads = 0
        self._is_write_uncertain = False
        self._retry_delay_s = INITIAL_RETRY_DELAY_S

    @property
    def is_busy(self) -> bool:
        """Whether a platform call is in progress that may bring a new map."""
        return self._is_reading or self._proposed is not None

    @property
    def may_create(self) -> bool:
        """Whether enough reads have found no map on the platform."""
        return self.claim_map is None and self._empty_reads >= MIN_EMPTY_READS

    def record(self, partition: int) -> PartitionRecord | None:
        """Return the record of a partition, if the map is known."""
        if self.claim_map is None or partition >= len(self.claim_map.records):
            return None
        return self.claim_map.records[partition]

    def start(self, now: float) -> Iterator[object]:
        """Schedule the first refresh, by when some members should be known."""
        delay_s = FIRST_REFRESH_DELAY_S * self._rng.uniform(0.8, 1.2)
        self.timers.set(REFRESH, now + delay_s)
        return iter(())

    def tick(self, now: float) -> Iterator[object]:
        """Refresh the map if that is due."""
        for _ in self.timers.pop_due(now):
            yield from self.refresh(now)

    def refresh(self, now: float) -> Iterator[object]:
        """Read the map from the platform, or request it from the reader."""
        delay_s = (
            REFRESH_INTERVAL_S
            if self.claim_map is not None
            else NO_MAP_REFRESH_INTERVAL_S
        )
        self.timers.set(REFRESH, now + delay_s * self._rng.uniform(0.8, 1.0))
        reader = self._reader()
        is_reader = reader == self._members.own.node
        if self._is_stale(now) and self._rng.random() < DIRECT_READ_PROBABILITY:
            yield from self.read(now)
        elif is_reader or self._is_write_uncertain:
            yield from self.read(now)
        else:
            yield from self.request_map(reader, now)

    def _is_stale(self, now):
        return self.claim_map is not None and now - self.confirmed_at > STALE_AGE_S

    def _reader(self):
        alive = [
            member
            for member in self._members.members()
            if member.state is MemberState.ALIVE
        ]
        reader = first_member(MAP_KEY, alive) or self._members.own
        return reader.node

    def request_map(
        self, node: str, now: float, fresh: bool = False
    ) -> Iterator[object]:
        """Request the map from another node, unless a request was just sent."""
        if now - self._last_request[1] < MIN_REQUEST_INTERVAL_S:
            return
        number = next(self._numbers)
        self._last_request = (number, now)
        yield Send(node, ClaimMapRequest(number, self.version, fresh))

    def check_for_newer(self, node: str, now: float) -> Iterator[object]:
        """Look for a newer map after a claim request was not answered.

        Either the given node or the reader is asked, at random.
        """
        own = self._members.own.node
        reader = self._reader()
        chosen = self._rng.choice([node, reader])
        if chosen == own:
            chosen = reader
        if chosen != own:
            yield from self.request_map(chosen, now, fresh=chosen == reader)
        elif now - self._read_at >= MIN_READ_INTERVAL_S:
            yield from self.read(now)

    def version_notice(self, node: str) -> Send:
        """Return a message that tells a node the version of this map."""
        return Send(node, ClaimMapReply(UNSOLICITED, self.version, None))

    def on_request(self, signal: Received, now: float) -> Iterator[object]:
        """Reply with the age of this map, and with the map itself if it is newer."""
        req = signal.message
        is_newer = self.version > req.version
        age_ms = None
        if self.confirmed_at != NEVER:
            age_ms = int((now - self.confirmed_at) * 1000) + 1
        claim_map = self.claim_map if is_newer else None
        reply = ClaimMapReply(req.number, self.version, age_ms, claim_map)
        yield Send(signal.node, reply)
        if req.fresh and now - self._read_at >= MIN_READ_INTERVAL_S:
            yield from self.read(now)

    def on_reply(self, signal: Received, now: float) -> Iterator[object]:
        """Adopt another node's map if it is newer."""
        reply = signal.message
        if reply.claim_map is not None:
            self._adopt(reply.claim_map, reply.version)
        elif reply.version > self.version:
            yield from self.request_map(signal.node, now)
        number, asked_at = self._last_request
        if reply.number == UNSOLICITED and self._is_stale(now):
            # An unsolicited reply doesn't tell when the sender's map was confirmed.
            yield from self.request_map(signal.node, now)
        if reply.number == UNSOLICITED or reply.number != number:
            return
        self._last_request = (UNSOLICITED, asked_at)
        if reply.version == self.version and reply.age_ms is not None:
            self._confirm(asked_at - reply.age_ms / 1000)

    # Platform calls.
    def read(self, now: float) -> Iterator[object]:
        """Read the map from the platform, unless a call is in progress."""
        if self.is_busy:
            return
        self._is_reading = True
        self._read_at = now
        yield PlatformRead(READ, MAP_KEY)

    def propose(self, claim_map: ClaimMap, now: float) -> Iterator[object]:
        """Write a changed map if the platform still holds the cached version."""
        self._proposed = claim_map
        value = self._codec.encode_claim_map(claim_map)
        yield PlatformSwap(SWAP, MAP_KEY, self.version, value)

    def on_done(self, signal: PlatformDone, now: float) -> Iterator[object]:
        """Handle the result of a platform read or write."""
        stored = signal.values[0]
        self.platform_answered_at = now
        if signal.request == READ:
            self._is_reading = False
            self._is_write_uncertain = False
            self._retry_delay_s = INITIAL_RETRY_DELAY_S
            if stored.value is None:
                self._empty_reads += 1
            elif stored.version >= self.version:
                claim_map = self._codec.decode_claim_map(stored.value)
                self._adopt(claim_map, stored.version)
                self._confirm(signal.sent_at)
        elif signal.request == SWAP:
            changed = self._affected_nodes()
            self._adopt(self._proposed, stored.version)
            self._proposed = None
            self._confirm(signal.sent_at)
            yield from self._distribute(changed)

    def _affected_nodes(self):
        """Return the nodes named by changed records, before or after the change."""
        old = set(self.claim_map.records) if self.claim_map else set()
        changed = old.symmetric_difference(self._proposed.records)
        return {holder.node for record in changed for holder in record.holders}

    def _distribute(self, nodes):
        nodes = nodes | {self._reader()}
        nodes.discard(self._members.own.node)
        for node in sorted(nodes):
            reply = ClaimMapReply(UNSOLICITED, self.version, None, self.claim_map)
            yield Send(node, reply)

    def on_failed(self, signal: PlatformFailed, now: float) -> Iterator[object]:
        """Schedule a read, since a failed write may have taken effect."""
        if signal.request == READ:
            self._is_reading = False
        else:
            self._proposed = None
            self._is_write_uncertain = True
            if isinstance(signal.error, PlatformConflictError):
                yield from self.read(now)
                return
        self.timers.set(
            REFRESH, now + self._retry_delay_s * self._rng.uniform(0.5, 1.0)
        )
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)

    def _adopt(self, claim_map, version):
        if version > self.version:
            self.claim_map = claim_map
            self.version = version
            self.has_new_map = True

    def _confirm(self, confirmed_at):
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
