"""Message encoding and limits shared by the HTTP server and client."""

from http import HTTPStatus

from attrs import frozen

from monsoonmill.http1.parsing import DEFAULT_HEADER_LINES
from monsoonmill.model import HttpResponse

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
DEFAULT_BUFFERED_BYTES = 1 << 27
DEFAULT_HELD_BYTES = 1 << 28
"""Twice the default for bodies, as the platform's fractions of the memory are."""
DEFAULT_MAX_CONNECTIONS = 10_000
"""No limit in practice, since a process has fewer descriptors."""
BODILESS = (204, 304)
"""Statuses of responses without a body."""


@frozen
class ConnectionLimits:
    """Limits on the messages and timing of a connection.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the headers and of the body of a message.
    idle_s : float
        Time after which a connection without a request is closed.
    header_s : float
        Time limit for receiving the headers of a request, from its first byte.
    max_buffered_bytes : int
        Bytes that the bodies on all connections of a component may occupy together;
        a single body may exceed it.
    max_header_lines : int
        Maximum number of header lines of a message.
    max_connections : int
        Maximum number of open connections of a port.
    """

    max_header_bytes: int
    max_body_bytes: int
    idle_s: float
    header_s: float
    max_buffered_bytes: int = DEFAULT_BUFFERED_BYTES
    max_header_lines: int = DEFAULT_HEADER_LINES
    max_connections: int = DEFAULT_MAX_CONNECTIONS


def encode_response(resp: HttpResponse, method: str, keeps_alive: bool) -> bytes:
    """Return the bytes of a response, with Content-Length set from its body.

    Parameters
    ----------
    method : str
        Method of the request; a response to HEAD is sent without its body, and
        without a length if the body is not known.
    """
    lines = [f"HTTP/1.1 {resp.status} {REASON_PHRASES.get(resp.status, 'Unknown')}"]
    lines.extend(f"{name}: {value}" for name, value in resp.headers)
    if resp.status not in BODILESS and (resp.body or method != "HEAD"):
        lines.append(f"Content-Length: {len(resp.body)}")
    if not keeps_alive:
        lines.append("Connection: close")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return head if method == "HEAD" or resp.status in BODILESS else head + resp.body


def encode_request(method: str, path: str, headers, body: bytes) -> bytes:
    """Return the bytes of a request.

    Parameters
    ----------
    headers : iterable of pairs
        Header fields. Content-Length is added if there is a body or the method
        normally has one.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
