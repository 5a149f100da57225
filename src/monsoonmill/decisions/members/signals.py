"""Signals of the membership list."""

from attrs import frozen

from monsoonmill.model import Member


@frozen
class MemberChanged:
    """The entry of another node changed."""

    member: Member


@frozen
class MembersChanged:
    """One or more entries of the membership list changed."""


@frozen
class SelfLeaving:
    """The local node begins to leave the fleet."""
