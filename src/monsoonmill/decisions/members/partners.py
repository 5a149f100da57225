"""The few nodes that this one gossips with at a time."""

from collections.abc import Iterable
from math import ceil, log2
from random import Random

from monsoonmill.decisions.members.known_member import KnownMember

MIN_PARTNERS = 8
EXTRA_PARTNERS = 3
"""Partners beyond the logarithm of the fleet's size."""
ROUNDS_A_PARTNER = 60
"""After so many rounds one partner is replaced."""


class Partners:
    """A small random set that changes slowly.

    Gossip with any node would in time open a stream, with its heartbeats, to
    each of them; a random graph of logarithmic degree spreads news as well.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._names: dict[str, None] = {}
        self._rounds = 0

    def choose(self, live: list[KnownMember], count: int) -> Iterable[KnownMember]:
        """Return ``count`` partners for one round."""
        by_name = {one.member.node: one for one in live}
        self._refresh(by_name)
        present = list(self._names)
        names = self._rng.sample(present, min(count, len(present)))
        return [by_name[name] for name in names]

    def _refresh(self, by_name):
        self._names = {one: None for one in self._names if one in by_name}
        self._rounds += 1
        if self._rounds % ROUNDS_A_PARTNER == 0 and self._names:
            del self._names[self._rng.choice(list(self._names))]
        size = max(MIN_PARTNERS, ceil(log2(len(by_name) + 1)) + EXTRA_PARTNERS)
        missing = min(size, len(by_name)) - len(self._names)
        if missing > 0:
            others = [one for one in by_name if one not in self._names]
            self._names.update(dict.fromkeys(self._rng.sample(others, missing)))
