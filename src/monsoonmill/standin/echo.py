"""Answer bodies that a client can check for completeness and the right request."""

from hashlib import shake_128
from json import dumps, loads
from zlib import crc32

from attrs import frozen

CRC_HEADER = "X-Body-Crc"
"""Header with the body's CRC-32 as eight hexadecimal digits."""

ID_HEADER = "X-Request-Id"
"""Header with the request's id."""

LENGTH_DIGITS = 10
"""Fixed width of the length field, so that its value doesn't change the length."""


@frozen
class Echo:
    """Request that an answer belongs to, and the backend server that ran it."""

    id: str
    service: str
    backend_server: str


def body_crc(body: bytes) -> str:
    """Return the value of the CRC header for a body."""
    return f"{crc32(body):08x}"


def make_body(echo: Echo, size: int) -> bytes:
    """Return a body of ``size`` bytes, or more if the echo needs more."""
    min_length = len(_encode(echo, size, ""))
    length = max(size, min_length)
    return _encode(echo, length, _padding(echo.id, length - min_length))


def is_intact(body: bytes, crc: str | None, request_id: str) -> bool:
    """Return whether a body is the complete, unaltered answer to a request."""
    if crc is None or body_crc(body) != crc:
        return False
    try:
        doc = loads(body)
        padding = doc["padding"]
        matches = doc["id"] == request_id and int(doc["length"]) == len(body)
    except (ValueError, KeyError, TypeError):
        return False
    return matches and padding == _padding(request_id, len(padding))


def _encode(echo, length, padding):
    doc = {
        "id": echo.id,
        "service": echo.service,
        "backend_server": echo.backend_server,
        "length": f"{length:0{LENGTH_DIGITS}d}",
        "padding": padding,
    }
    return dumps(doc).encode()


def _padding(request_id, size):
    return shake_128(request_id.encode()).hexdigest((size + 1) // 2)[:size]
