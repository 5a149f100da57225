"""The small set of nodes that this node gossips with."""

from collections.abc import Iterable
from math import ceil, log2
from random import Random

from monsoonmill.decisions.members.remote_member import RemoteMember

MIN_PARTNERS = 8
EXTRA_PARTNERS = 3
"""Partners in addition to the logarithm of the fleet size."""
REPLACEMENT_INTERVAL_ROUNDS = 60
"""One partner is replaced after this number of rounds."""


class GossipPartners:
    """A small random set of nodes that changes slowly.

    Gossip with randomly chosen nodes of the whole fleet would in time open a
    stream, with its heartbeats, to each of them. In a random graph of
    logarithmic degree, updates spread equally well.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._names: dict[str, None] = {}
        self._rounds = 0

    def choose(self, live: list[RemoteMember], count: int) -> Iterable[RemoteMember]:
        """Return up to ``count`` partners for one round."""
        by_name = {remote.member.node: remote for remote in live}
        self._refresh(by_name)
        candidates = list(self._names)
        names = self._rng.sample(candidates, min(count, len(candidates)))
        return [by_name[name] for name in names]

    def _refresh(self, by_name):
        self._names = {name: None for name in self._names if name in by_name}
        self._rounds += 1
        if self._rounds % REPLACEMENT_INTERVAL_ROUNDS == 0 and self._names:
            del self._names[self._rng.choice(list(self._names))]
        size = max(MIN_PARTNERS, ceil(log2(len(by_name) + 1)) + EXTRA_PARTNERS)
        missing = min(size, len(by_name)) - len(self._names)
        if missing > 0:
            others = [name for name in by_name if name not in self._names]
            self._names.update(dict.fromkeys(self._rng.sample(others, missing)))
