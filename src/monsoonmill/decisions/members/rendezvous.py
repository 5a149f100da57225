"""Rendezvous hashing: nodes that agree on the members agree on the choice."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from monsoonmill.model import Member


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in the order in which they stand in for ``key``."""
    return sorted(members, key=lambda one: _score(key, one.node), reverse=True)


def first_member(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that is responsible for ``key``."""
    return max(members, key=lambda one: _score(key, one.node), default=None)


def _score(key, node):
    return xxh3_64_intdigest(f"{key}/{node}".encode())
