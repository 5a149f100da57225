"""Precedence, digests and status output of membership entries."""

from xxhash import xxh3_64_intdigest

from monsoonmill.model import Departure, Member, MemberState

DIGEST_BUCKETS = 64
"""Buckets of the list whose digests two nodes compare to find differences."""

MAX_DEPARTURES = 4
"""Departures in a node's entry. A backend server starts after the one before it has
ended, so that a late message of an older one is unlikely."""

STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def supersedes(new: Member, old: Member) -> bool:
    """Return whether an entry replaces another entry of the same node."""
    return precedence(new) > precedence(old)


def precedence(member: Member) -> tuple[int, int, int]:
    """Return the key that orders the entries of one node."""
    return (member.incarnation, member.version, STATE_PRECEDENCE[member.state])


def has_same_version(first: Member, second: Member) -> bool:
    """Return whether two entries of a node have equal incarnation and version."""
    return (first.incarnation, first.version) == (second.incarnation, second.version)


def is_live(member: Member) -> bool:
    """Return whether a node is in any state but dead."""
    return member.state is not MemberState.DEAD


def merge_departures(
    first: tuple[Departure, ...], second: tuple[Departure, ...]
) -> tuple[Departure, ...]:
    """Return the latest departures of two lists, of each instance the latest one."""
    if first == second or not second:
        return first
    latest: dict[str, Departure] = {}
    for departure in sorted((*first, *second), key=_departure_order):
        latest[departure.instance] = departure
    return tuple(sorted(latest.values(), key=_departure_order)[-MAX_DEPARTURES:])


def _departure_order(departure):
    return departure.started_by_ms, departure.instance


def digest_member(member: Member) -> int:
    """Return the digest of an entry; 0 for a dead node.

    Dead nodes are left out because each node removes them at its own time.
    """
    if not is_live(member):
        return 0
    text = f"{member.node}/{member.incarnation}/{member.version}/{member.state.value}"
    return xxh3_64_intdigest(text.encode())


def digest_bucket(node: str) -> int:
    """Return the index of the bucket that holds a node's entry."""
    return xxh3_64_intdigest(node.encode()) % DIGEST_BUCKETS


def describe_member(member: Member) -> dict:
    """Return an entry as plain data for the status output."""
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
        "reaches_store": member.reaches_store,
        "departures": [departure.instance for departure in member.departures],
    }
