"""The small set of nodes that this node gossips with."""

from collections.abc import Iterable
from math import ceil, log2
from random import Random

from monsoonmill.decisions.members.remote_member import RemoteMember
from monsoonmill.model import Member

MIN_PARTNERS = 8
EXTRA_PARTNERS = 3
"""Partners in addition to the logarithm of the fleet size."""
REPLACEMENT_INTERVAL_ROUNDS = 60
"""One partner is replaced after this number of rounds."""
PARTNERS_IN_OTHER_REGIONS = 1
PARTNERS_IN_OTHER_DATA_CENTRES = 2
"""Partners in other data centres of the own region. The nodes of a data centre have
many such partners together, so that updates leave it at once."""


class GossipPartners:
    """A small random set of nodes that changes slowly.

    Gossip with randomly chosen nodes of the whole fleet would in time open a
    stream, with its heartbeats, to each of them. In a random graph of
    logarithmic degree, updates spread equally well. In a large fleet most partners
    are in the own data centre, since bytes between regions are scarce.

    Parameters
    ----------
    local_from : int
        Number of other nodes from which partners are chosen by location.
    """

    def __init__(self, rng: Random, own: Member, local_from: int):
        self._rng = rng
        self._own = own
        self._local_from = local_from
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
        if len(by_name) < self._local_from:
            self._fill(list(by_name), size)
            return
        others, region, data_centre = self._split(by_name)
        nearby = data_centre or region or others
        if nearby is not others:
            self._limit(others, PARTNERS_IN_OTHER_REGIONS)
        if nearby is data_centre:
            self._limit(region, PARTNERS_IN_OTHER_DATA_CENTRES)
        self._fill(nearby, size - len(self._names.keys() - set(nearby)))

    def _limit(self, names, count):
        """Have up to ``count`` of the names among the partners.

        There may be more, chosen while this node knew few others.
        """
        chosen = self._names.keys() & set(names)
        kept = set([name for name in self._names if name in chosen][:count])
        self._names = {
            name: None for name in self._names if name not in chosen or name in kept
        }
        self._fill(names, count)

    def _split(self, by_name):
        """Return the names in other regions, in the own region and data centre."""
        others, region, data_centre = [], [], []
        for name, remote in by_name.items():
            member = remote.member
            if member.region != self._own.region:
                others.append(name)
            elif member.data_centre != self._own.data_centre:
                region.append(name)
            else:
                data_centre.append(name)
        return others, region, data_centre

    def _fill(self, names, size):
        """Add random partners until ``size`` of the names are among them."""
        missing = min(size, len(names)) - len(self._names.keys() & set(names))
        if missing > 0:
            candidates = [name for name in names if name not in self._names]
            self._names.update(dict.fromkeys(self._rng.sample(candidates, missing)))
