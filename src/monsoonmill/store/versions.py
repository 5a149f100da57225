"""Versions of keys in a store that may return from an older copy.

Each return begins a new era, in which revisions go back and are assigned again. A
version is one integer with the era above the revision, so that versions of different
eras compare correctly. In era 0 it equals the revision.
"""

REVISION_BITS = 48
"""Enough for 7,000 years at 1,200 writes a second, the limit of the store."""
MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = (1 << 15) - 1
"""Versions have at most 63 bits, so that each encoding of messages can carry them."""


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era; 0 for revision 0, an absent key.

    Raises
    ------
    ValueError
        The era or the revision is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= revision <= MAX_REVISION):
        raise ValueError(f"era {era} or revision {revision} is out of range")
    return era << REVISION_BITS | revision if revision else 0


def split_version(version: int) -> tuple[int, int]:
    """Return the era and the revision of a version."""
    return version >> REVISION_BITS, version & MAX_REVISION
