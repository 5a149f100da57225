"""The membership list with its digests, and the queue of updates to gossip."""

from collections.abc import Iterator
from math import ceil, log2

from monsoonmill.decisions.members.entries import (
    DIGEST_BUCKETS,
    digest_bucket,
    digest_member,
    is_live,
)
from monsoonmill.decisions.members.remote_member import RemoteMember
from monsoonmill.model import Member

MAX_MEMBERS = 4096
MAX_UPDATES_PER_GOSSIP = 12
RETRANSMIT_FACTOR = 2
"""Each update is sent this factor times the logarithm of the fleet size."""


class MemberTable:
    """Entries by node; a bucket's digest is the XOR of its entries' digests."""

    def __init__(self, own: Member):
        self.own = own
        self.remotes: dict[str, RemoteMember] = {}
        self._bucket_digests = [0] * DIGEST_BUCKETS
        self._digest = 0
        self._xor_digests(own)

    @property
    def digest(self) -> int:
        """Digest of the whole list without the dead nodes."""
        return self._digest

    def digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._bucket_digests)

    def _xor_digests(self, member):
        digest = digest_member(member)
        self._digest ^= digest
        self._bucket_digests[digest_bucket(member.node)] ^= digest

    def entries(self) -> Iterator[Member]:
        """Yield all entries, the local node's first."""
        yield self.own
        for remote in self.remotes.values():
            yield remote.member

    def find(self, node: str) -> Member | None:
        """Return a node's entry; None if there is none."""
        if node == self.own.node:
            return self.own
        remote = self.remotes.get(node)
        return remote.member if remote else None

    def live(self) -> list[RemoteMember]:
        """Return the other nodes that are not dead."""
        return [remote for remote in self.remotes.values() if is_live(remote.member)]

    def set_own(self, member: Member) -> None:
        """Replace the local node's entry."""
        self._xor_digests(self.own)
        self.own = member
        self._xor_digests(member)

    def replace(self, remote: RemoteMember, member: Member) -> None:
        """Replace another node's entry."""
        self._xor_digests(remote.member)
        remote.member = member
        self._xor_digests(member)

    def add(self, remote: RemoteMember) -> bool:
        """Add a node; return False if the list is full and no node is dead."""
        if len(self.remotes) >= MAX_MEMBERS and not self._remove_one_dead():
            return False
        self.remotes[remote.member.node] = remote
        self._xor_digests(remote.member)
        return True

    def _remove_one_dead(self):
        for node, remote in self.remotes.items():
            if not is_live(remote.member):
                self.remove(node)
                return True
        return False

    def remove(self, node: str) -> None:
        """Remove a node's entry."""
        remote = self.remotes.pop(node)
        remote.chart = None
        self._xor_digests(remote.member)

    def find_differing(self, digests: tuple[int, ...]) -> tuple[Member, ...]:
        """Return the entries of all buckets whose digests differ from the given ones.

        All entries are returned if the number of digests is not the number of
        buckets, as in a request for the whole list.
        """
        if len(digests) != DIGEST_BUCKETS:
            return tuple(self.entries())
        differ = [
            theirs != ours
            for theirs, ours in zip(digests, self._bucket_digests, strict=True)
        ]
        return tuple(
            member for member in self.entries() if differ[digest_bucket(member.node)]
        )


class UpdateQueue:
    """Nodes whose entries are to be gossiped, the least often sent first."""

    def __init__(self):
        self._send_counts: dict[str, int] = {}

    def __len__(self):
        return len(self._send_counts)

    def add(self, node: str) -> None:
        """Queue a node's entry; its count of sends starts again at 0."""
        others = {name: n for name, n in self._send_counts.items() if name != node}
        self._send_counts = {node: 0, **others}

    def take(self, fleet_size: int, excluded: frozenset = frozenset()) -> list[str]:
        """Return the nodes whose entries go into the next message.

        Each is counted as sent; an entry leaves the queue once it has been
        sent often enough for the size of the fleet.
        """
        candidates = (node for node in self._send_counts if node not in excluded)
        selected = sorted(candidates, key=self._send_counts.get)[
            :MAX_UPDATES_PER_GOSSIP
        ]
        for node in selected:
            self.record_sent(node, fleet_size)
        return selected

    def record_sent(self, node: str, fleet_size: int) -> None:
        """Count an entry as sent, if it is queued."""
        if node not in self._send_counts:
            return
        self._send_counts[node] += 1
        if self._send_counts[node] >= RETRANSMIT_FACTOR * ceil(log2(fleet_size + 1)):
            del self._send_counts[node]
