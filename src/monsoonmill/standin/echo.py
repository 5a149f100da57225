"""Answer bodies that show whether they are whole and belong to a request."""

from hashlib import shake_128
from json import dumps, loads
from zlib import crc32

from attrs import frozen

CRC_HEADER = "X-Body-Crc"
"""Header with the CRC-32 of the body in eight hexadecimal digits."""

ID_HEADER = "X-Request-Id"
"""Header by which a request names itself."""

LENGTH_DIGITS = 10
"""Fixed width of the length, so that it doesn't change the length itself."""


@frozen
class Echo:
    """What an answer tells about the request that it belongs to."""

    id: str
    service: str
    backend_server: str


def body_crc(body: bytes) -> str:
    """Return the value of the CRC header for a body."""
    return f"{crc32(body):08x}"


def make_body(echo: Echo, size: int) -> bytes:
    """Return a body of ``size`` bytes, or the shortest that holds the echo."""
    shortest = len(_encode(echo, size, ""))
    length = max(size, shortest)
    return _encode(echo, length, _padding(echo.id, length - shortest))


def is_intact(body: bytes, crc: str | None, request_id: str) -> bool:
    """Return whether a body is the whole answer to the request of this id."""
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
