"""Rendezvous hashing: nodes with equal membership lists choose the same node."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from monsoonmill.model import Member


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by descending hash score for ``key``.

    Each member takes over from the one before it when that one is absent.
    """
    return sorted(members, key=lambda member: _score(key, member.node), reverse=True)


def first_member(key: str, members: Iterable[Member]) -> Member | None:
    """Return the member that is responsible for ``key``."""
    return max(members, key=lambda member: _score(key, member.node), default=None)


def _score(key, node):
    return xxh3_64_intdigest(f"{key}/{node}".encode())
