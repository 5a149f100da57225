"""Signals of the membership list."""

from attrs import frozen

from monsoonmill.model import Departure, Member


@frozen
class MemberChanged:
    """The entry of another node changed."""

    member: Member


@frozen
class MembersChanged:
    """One or more entries of the membership list changed."""


@frozen
class DeparturesLearned:
    """Other nodes have told departures that an earlier process here was told of."""

    departures: tuple[Departure, ...]


@frozen
class EntryConfirmed:
    """Another node has replied that it has the local node's entry.

    Attributes
    ----------
    version : int
        Version of the entry.
    """

    node: str
    version: int


@frozen
class SelfLeaving:
    """The local node begins to leave the fleet."""
