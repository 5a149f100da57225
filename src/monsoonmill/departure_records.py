"""Encoding of the departures that a node keeps in the platform's store."""

from json import dumps

from attrs import asdict, frozen

from monsoonmill.model import Departure
from monsoonmill.outside_data import Name, NonNegativeInt, decode_json


@frozen
class StoredDeparture:
    """A departure as it is read from the store."""

    instance: Name
    started_by_ms: NonNegativeInt


def encode_departures(departures: tuple[Departure, ...]) -> bytes:
    """Return the value to store."""
    return dumps([asdict(departure) for departure in departures]).encode()


def decode_departures(value: bytes) -> tuple[Departure, ...]:
    """Return the departures in a stored value.

    Raises
    ------
    MalformedMessageError
        The value is not one that a node has stored.
    """
    return tuple(
        Departure(stored.instance, stored.started_by_ms)
        for stored in decode_json(value, list[StoredDeparture])
    )
