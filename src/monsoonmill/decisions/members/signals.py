"""Signals of the nodes that are there."""

from attrs import frozen

from monsoonmill.model import Member


@frozen
class MemberChanged:
    """Another node's entry in the membership list changed."""

    member: Member


@frozen
class MembersChanged:
    """Some entries of the membership list changed."""


@frozen
class SelfLeaving:
    """The own node begins to leave the fleet."""
