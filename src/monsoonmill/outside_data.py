"""Decoding of JSON documents that other programs write.

Documents are decoded into types with bounds. Whatever is wrong with a document,
``MalformedMessageError`` is the only error that leaves this module.
"""

from typing import Annotated, Any

from msgspec import Meta, MsgspecError, Raw
from msgspec.json import decode

from monsoonmill.errors import MalformedMessageError
from monsoonmill.eventlog import get_logger

MAX_NAME_CHARS = 256
MAX_INTEGER = (1 << 63) - 1

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]

log = get_logger("outside_data")


def decode_json(data: bytes | Raw, type_: Any) -> Any:
    """Decode a JSON document into a type.

    Raises
    ------
    MalformedMessageError
        The document is not JSON, is nested too deeply, or does not fit the type.
    """
    try:
        return decode(data, type=type_)
    # A str without an UTF-8 encoding raises UnicodeDecodeError, a ValueError.
    except (MsgspecError, RecursionError, ValueError, OverflowError) as exc:
        raise MalformedMessageError(f"{type(exc).__name__}: {exc}") from exc


class RawObject:
    """A JSON object whose fields are decoded one by one.

    A field that cannot be decoded does not prevent the use of the others.

    Parameters
    ----------
    data : bytes or Raw
        The document.
    label : str
        What the object is, for log lines and errors.

    Raises
    ------
    MalformedMessageError
        The document is not an object.
    """

    def __init__(self, data: bytes | Raw, label: str):
        self.label = label
        self._fields: dict[str, Raw] = decode_json(data, dict[str, Raw])

    def require(self, name: str, type_: Any) -> Any:
        """Return a field.

        Raises
        ------
        MalformedMessageError
            The field is missing or does not fit the type.
        """
        if name not in self._fields:
            raise MalformedMessageError(f"{self.label}: {name} is missing")
        try:
            return decode_json(self._fields[name], type_)
        except MalformedMessageError as exc:
            raise MalformedMessageError(f"{self.label}: {name}: {exc}") from exc

    def has(self, name: str) -> bool:
        """Return whether the object has a field."""
        return name in self._fields

    def get_items(self, name: str, type_: Any) -> list:
        """Return the items of a list that fit a type; log and leave out the others."""
        items = []
        for raw in self.get(name, list[Raw], [], []):
            try:
                items.append(decode_json(raw, type_))
            except MalformedMessageError as exc:
                # The value is not logged, since it may be a secret.
                log.warning("item_left_out", item=f"{self.label}: {name}", error=exc)
        return items

    def get(self, name: str, type_: Any, missing: Any, malformed: Any) -> Any:
        """Return a field, or a replacement if it is missing or malformed.

        A malformed field is logged.
        """
        if name not in self._fields:
            return missing
        try:
            return self.require(name, type_)
        except MalformedMessageError as exc:
            log.warning("field_replaced", error=str(exc), value=repr(malformed))
            return malformed
