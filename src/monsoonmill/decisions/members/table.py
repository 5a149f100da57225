"""The membership list with its digests, and the news that is passed on."""

from collections.abc import Iterator
from math import ceil, log2

from monsoonmill.decisions.members.entries import (
    BUCKETS,
    bucket_of,
    digest_member,
    is_live,
)
from monsoonmill.decisions.members.known_member import KnownMember
from monsoonmill.model import Member

MAX_MEMBERS = 4096
MAX_UPDATES_PER_GOSSIP = 12
SPREAD_FACTOR = 2
"""An update is sent this often times the logarithm of the fleet's size."""


class MemberTable:
    """Entries by node; the digest of a part is the XOR of its entries'."""

    def __init__(self, own: Member):
        self.own = own
        self.known: dict[str, KnownMember] = {}
        self._digests = [0] * BUCKETS
        self._digest = 0
        self._toggle(own)

    @property
    def digest(self) -> int:
        """Digest of the whole list, without the dead."""
        return self._digest

    def digests(self) -> tuple[int, ...]:
        """Return the digests of the list's parts."""
        return tuple(self._digests)

    def _toggle(self, member):
        digest = digest_member(member)
        self._digest ^= digest
        self._digests[bucket_of(member.node)] ^= digest

    def entries(self) -> Iterator[Member]:
        """Yield all entries, the own one first."""
        yield self.own
        for known in self.known.values():
            yield known.member

    def find(self, node: str) -> Member | None:
        """Return a node's entry, if it is known."""
        if node == self.own.node:
            return self.own
        known = self.known.get(node)
        return known.member if known else None

    def live(self) -> list[KnownMember]:
        """Return the other nodes that are not believed to be gone."""
        return [one for one in self.known.values() if is_live(one.member)]

    def set_own(self, member: Member) -> None:
        """Replace the own entry."""
        self._toggle(self.own)
        self.own = member
        self._toggle(member)

    def replace(self, known: KnownMember, member: Member) -> None:
        """Replace another node's entry."""
        self._toggle(known.member)
        known.member = member
        self._toggle(member)

    def add(self, known: KnownMember) -> bool:
        """Add a node; return False if the list is full of live ones."""
        if len(self.known) >= MAX_MEMBERS and not self._forget_a_dead_one():
            return False
        self.known[known.member.node] = known
        self._toggle(known.member)
        return True

    def _forget_a_dead_one(self):
        for node, known in self.known.items():
            if not is_live(known.member):
                self.forget(node)
                return True
        return False

    def forget(self, node: str) -> None:
        """Remove a node's entry."""
        known = self.known.pop(node)
        known.chart = None
        self._toggle(known.member)

    def differing(self, digests: tuple[int, ...]) -> tuple[Member, ...]:
        """Return the entries of the parts whose digests differ from the given."""
        if len(digests) != BUCKETS:
            return tuple(self.entries())
        differ = [
            one != other for one, other in zip(digests, self._digests, strict=True)
        ]
        return tuple(one for one in self.entries() if differ[bucket_of(one.node)])


class UpdateQueue:
    """Names of the entries that are passed on, those sent least often first."""

    def __init__(self):
        self._sent: dict[str, int] = {}

    def __len__(self):
        return len(self._sent)

    def add(self, node: str) -> None:
        """Pass a node's entry on."""
        rest = {name: n for name, n in self._sent.items() if name != node}
        self._sent = {node: 0, **rest}

    def take(self, fleet_size: int, excluded: frozenset = frozenset()) -> list[str]:
        """Return what the next message carries, and count it as sent."""
        limit = SPREAD_FACTOR * ceil(log2(fleet_size + 1))
        wanted = (one for one in self._sent if one not in excluded)
        order = sorted(wanted, key=self._sent.get)[:MAX_UPDATES_PER_GOSSIP]
        for name in order:
            self._sent[name] += 1
            if self._sent[name] >= limit:
                del self._sent[name]
        return order
