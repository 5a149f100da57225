"""The data centres that the operators have ordered to be evacuated."""

from collections.abc import Iterable

from attrs import evolve, frozen

from monsoonmill.decisions.signals import StoredListing, StoredValue
from monsoonmill.messages import EvacuationsReply
from monsoonmill.store.versions import split_version

EVACUATION_PREFIX = "evacuations/"
"""Prefix of the keys whose names end with the name of an evacuated data centre."""
MAX_EVACUATED = 1024
"""Evacuated data centres that a node knows; a fleet has tens."""
MAX_NAME_CHARS = 256
"""Longest name of a data centre, as in other names of the platform's documents."""


@frozen
class Evacuations:
    """The evacuated data centres at one version of the store.

    Attributes
    ----------
    version : int
        Version of the store up to which all orders are included; 0 if the orders
        are not known.
    data_centres : frozenset of str
        Names of the evacuated data centres.
    """

    version: int = 0
    data_centres: frozenset[str] = frozenset()

    @classmethod
    def from_listing(cls, listing: StoredListing) -> "Evacuations":
        """Return the state that a listing of all orders describes."""
        names = (name.removeprefix(EVACUATION_PREFIX) for name in listing.names)
        # A listing of an empty store is known, too.
        return cls(max(listing.version, 1), _bounded(names))

    @classmethod
    def from_reply(cls, reply: EvacuationsReply) -> "Evacuations":
        """Return the state that another node has sent."""
        return cls(reply.version, _bounded(reply.data_centres))

    @property
    def is_known(self) -> bool:
        """Whether the orders are known at all."""
        return self.version > 0

    @property
    def era(self) -> int:
        """Number of times that the store had returned from an older copy."""
        return split_version(self.version)[0]

    def reply(self) -> EvacuationsReply:
        """Return the message that tells another node this state."""
        return EvacuationsReply(self.version, tuple(sorted(self.data_centres)))

    def with_changes(self, changes: Iterable[StoredValue]) -> "Evacuations":
        """Return the state after changes to single orders; ignore older changes.

        Changes of one transaction have the same version, so each is compared with the
        version before all of them.
        """
        newer = [stored for stored in changes if stored.version > self.version]
        data_centres = set(self.data_centres)
        for stored in sorted(newer, key=lambda stored: stored.version):
            name = stored.key.removeprefix(EVACUATION_PREFIX)
            if stored.value is None:
                data_centres.discard(name)
            else:
                data_centres.add(name)
        versions = [self.version, *(stored.version for stored in newer)]
        return evolve(self, version=max(versions), data_centres=_bounded(data_centres))


def _bounded(names):
    """Return the usable names, at most ``MAX_EVACUATED`` of them."""
    usable = sorted(name for name in names if 0 < len(name) <= MAX_NAME_CHARS)
    return frozenset(usable[:MAX_EVACUATED])
