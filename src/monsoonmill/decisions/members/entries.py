"""Order, digests and description of entries of the membership list."""

from xxhash import xxh3_64_intdigest

from monsoonmill.model import Member, MemberState

BUCKETS = 64
"""Parts of the list whose digests two nodes compare to find what differs."""

SEVERITY = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def supersedes(new: Member, old: Member) -> bool:
    """Return whether an entry replaces another one of the same node."""
    return rank(new) > rank(old)


def rank(member: Member) -> tuple[int, int, int]:
    """Return what orders the entries of one node."""
    return (member.incarnation, member.version, SEVERITY[member.state])


def is_same_version(one: Member, other: Member) -> bool:
    """Return whether two entries of a node differ in their state at most."""
    return (one.incarnation, one.version) == (other.incarnation, other.version)


def is_live(member: Member) -> bool:
    """Return whether a node is not believed to be gone."""
    return member.state is not MemberState.DEAD


def digest_member(member: Member) -> int:
    """Return a digest of an entry; 0 for a dead one.

    The dead do not count, because each node forgets them at its own time.
    """
    if not is_live(member):
        return 0
    text = f"{member.node}/{member.incarnation}/{member.version}/{member.state.value}"
    return xxh3_64_intdigest(text.encode())


def bucket_of(node: str) -> int:
    """Return the part of the list that a node's entry belongs to."""
    return xxh3_64_intdigest(node.encode()) % BUCKETS


def describe_member(member: Member) -> dict:
    """Return an entry as plain data."""
    return {
        "state": member.state.value,
        "incarnation": member.incarnation,
        "version": member.version,
        "address": str(member.address),
        "region": member.region,
        "data_centre": member.data_centre,
        "service": member.service,
        "accepts_calls": member.accepts_calls,
        "slots": member.slots,
    }
