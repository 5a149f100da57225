"""The claim map: read from the platform or a peer, changed by compare-and-swap.

One node of the fleet reads the platform's value at intervals; the others ask
that node. So the platform's load does not grow with the fleet, and each node
still knows since when its map has been the platform's one.
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
REFRESH_S = 15.0
"""Age that a node's knowledge of the map reaches in quiet times."""
STALE_S = 3 * REFRESH_S
DIRECT_READ_SHARE = 0.25
"""Share of refreshes that go to the platform while the reading node has no news."""
FIRST_REFRESH_S = 0.5
NO_MAP_RETRY_S = 0.5
FRESH_READ_S = 0.5
"""Least time between reads that others ask for."""
ASK_AGAIN_S = 0.2
"""Least time between requests to other nodes."""
FIRST_RETRY_S = 0.5
LAST_RETRY_S = 5.0
NEVER = float("-inf")
FIRST_VERSION = 0
UNASKED = 0
LEAST_CALLS_TO_CREATE = 2
"""Reads that must find no map before one is made."""


class MapKeeper:
    """Keeps the newest claim map that this node has heard of.

    Attributes
    ----------
    confirmed_at : float
        Time at which the platform is known to have held this version.
    reached_at : float
        Time of the platform's last answer to this node.
    """

    def __init__(self, members: Membership, codec: ConfigCodec, rng: Random):
        self.claim_map: ClaimMap | None = None
        self.version = FIRST_VERSION
        self.confirmed_at = NEVER
        self.adopted = False
        self.timers = Timers()
        self._members = members
        self._codec = codec
        self._rng = rng
        self._numbers = count(UNASKED + 1)
        self._asked: tuple[int, float] = (UNASKED, NEVER)
        self._is_reading = False
        self._proposed: ClaimMap | None = None
        self._read_at = NEVER
        self.reached_at = NEVER
        self._empty_reads = 0
        self._is_unsure = False
        self._retry_s = FIRST_RETRY_S

    @property
    def is_busy(self) -> bool:
        """Whether a platform call is under way whose end may bring a new map."""
        return self._is_reading or self._proposed is not None

    @property
    def may_create(self) -> bool:
        """Whether the platform has been seen to hold no map."""
        return self.claim_map is None and self._empty_reads >= LEAST_CALLS_TO_CREATE

    def record(self, partition: int) -> PartitionRecord | None:
        """Return a partition's record, if the map is known."""
        if self.claim_map is None or partition >= len(self.claim_map.records):
            return None
        return self.claim_map.records[partition]

    def start(self, now: float) -> Iterator[object]:
        """Look for the map once some members are known."""
        wait_s = FIRST_REFRESH_S * self._rng.uniform(0.8, 1.2)
        self.timers.set(REFRESH, now + wait_s)
        return iter(())

    def tick(self, now: float) -> Iterator[object]:
        """Look whether the map is still the platform's one."""
        for _ in self.timers.pop_due(now):
            yield from self.refresh(now)

    def refresh(self, now: float) -> Iterator[object]:
        """Ask the node that reads the platform, or read it as that node."""
        wait_s = REFRESH_S if self.claim_map is not None else NO_MAP_RETRY_S
        self.timers.set(REFRESH, now + wait_s * self._rng.uniform(0.8, 1.0))
        reader = self._reader()
        is_reader = reader == self._members.own.node
        if self._is_stale(now) and self._rng.random() < DIRECT_READ_SHARE:
            yield from self.read(now)
        elif is_reader or self._is_unsure:
            yield from self.read(now)
        else:
            yield from self.ask(reader, now)

    def _is_stale(self, now):
        return self.claim_map is not None and now - self.confirmed_at > STALE_S

    def _reader(self):
        alive = [
            one for one in self._members.members() if one.state is MemberState.ALIVE
        ]
        reader = first_member(MAP_KEY, alive) or self._members.own
        return reader.node

    def ask(self, node: str, now: float, fresh: bool = False) -> Iterator[object]:
        """Ask another node for its map, unless one has just been asked."""
        if now - self._asked[1] < ASK_AGAIN_S:
            return
        number = next(self._numbers)
        self._asked = (number, now)
        yield Send(node, ClaimMapRequest(number, self.version, fresh))

    def doubt(self, node: str, now: float) -> Iterator[object]:
        """Ask whether the map has changed, when a node does not answer."""
        own = self._members.own.node
        reader = self._reader()
        chosen = self._rng.choice([node, reader])
        if chosen == own:
            chosen = reader
        if chosen != own:
            yield from self.ask(chosen, now, fresh=chosen == reader)
        elif now - self._read_at >= FRESH_READ_S:
            yield from self.read(now)

    def tell(self, node: str) -> Send:
        """Return a message that tells a node of the map's version."""
        return Send(node, ClaimMapReply(UNASKED, self.version, None))

    def on_request(self, signal: Received, now: float) -> Iterator[object]:
        """Answer with the map, if it is newer, and its age."""
        req = signal.message
        is_newer = self.version > req.version
        age_ms = None
        if self.confirmed_at != NEVER:
            age_ms = int((now - self.confirmed_at) * 1000) + 1
        claim_map = self.claim_map if is_newer else None
        reply = ClaimMapReply(req.number, self.version, age_ms, claim_map)
        yield Send(signal.node, reply)
        if req.fresh and now - self._read_at >= FRESH_READ_S:
            yield from self.read(now)

    def on_reply(self, signal: Received, now: float) -> Iterator[object]:
        """Adopt another node's map if it is newer."""
        reply = signal.message
        if reply.claim_map is not None:
            self._adopt(reply.claim_map, reply.version)
        elif reply.version > self.version:
            yield from self.ask(signal.node, now)
        number, asked_at = self._asked
        if reply.number == UNASKED and self._is_stale(now):
            # How old the sender's knowledge is takes a request to find out.
            yield from self.ask(signal.node, now)
        if reply.number == UNASKED or reply.number != number:
            return
        self._asked = (UNASKED, asked_at)
        if reply.version == self.version and reply.age_ms is not None:
            self._confirm(asked_at - reply.age_ms / 1000)

    # The platform.
    def read(self, now: float) -> Iterator[object]:
        """Read the platform's value, unless a call is under way."""
        if self.is_busy:
            return
        self._is_reading = True
        self._read_at = now
        yield PlatformRead(READ, MAP_KEY)

    def propose(self, claim_map: ClaimMap, now: float) -> Iterator[object]:
        """Write a changed map if nobody came first."""
        self._proposed = claim_map
        value = self._codec.encode_claim_map(claim_map)
        yield PlatformSwap(SWAP, MAP_KEY, self.version, value)

    def on_done(self, signal: PlatformDone, now: float) -> Iterator[object]:
        """Take the stored map or the end of a write."""
        stored = signal.values[0]
        self.reached_at = now
        if signal.request == READ:
            self._is_reading = False
            self._is_unsure = False
            self._retry_s = FIRST_RETRY_S
            if stored.value is None:
                self._empty_reads += 1
            elif stored.version >= self.version:
                claim_map = self._codec.decode_claim_map(stored.value)
                self._adopt(claim_map, stored.version)
                self._confirm(signal.sent_at)
        elif signal.request == SWAP:
            changed = self._nodes_of_changes()
            self._adopt(self._proposed, stored.version)
            self._proposed = None
            self._confirm(signal.sent_at)
            yield from self._spread(changed)

    def _nodes_of_changes(self):
        """Return the nodes that changed records name, or named before."""
        old = set(self.claim_map.records) if self.claim_map else set()
        changed = old.symmetric_difference(self._proposed.records)
        return {one.node for record in changed for one in record.holders}

    def _spread(self, nodes):
        nodes = nodes | {self._reader()}
        nodes.discard(self._members.own.node)
        for node in sorted(nodes):
            reply = ClaimMapReply(UNASKED, self.version, None, self.claim_map)
            yield Send(node, reply)

    def on_failed(self, signal: PlatformFailed, now: float) -> Iterator[object]:
        """Read the map, since a failed write may have taken effect."""
        if signal.request == READ:
            self._is_reading = False
        else:
            self._proposed = None
            self._is_unsure = True
            if isinstance(signal.error, PlatformConflictError):
                yield from self.read(now)
                return
        self.timers.set(REFRESH, now + self._retry_s * self._rng.uniform(0.5, 1.0))
        self._retry_s = min(2 * self._retry_s, LAST_RETRY_S)

    def _adopt(self, claim_map, version):
        if version > self.version:
            self.claim_map = claim_map
            self.version = version
            self.adopted = True

    def _confirm(self, at):
        self.confirmed_at = max(self.confirmed_at, at)
