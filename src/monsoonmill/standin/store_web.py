"""Mapping between HTTP and the calls of the key-value stand-in."""

import re
from collections.abc import Callable
from json import dumps
from urllib.parse import parse_qs

from attrs import frozen

from monsoonmill.errors import PlatformConflictError, PlatformRateLimitError
from monsoonmill.standin.store_calls import (
    DeleteCall,
    Failed,
    Found,
    Granted,
    LeaseCall,
    ListCall,
    Listed,
    PutCall,
    ReadCall,
    Report,
    StoreCall,
    Unchanged,
    WatchCall,
)
from monsoonmill.store.errors import (
    BadCallError,
    LeaseNotLiveError,
    ValueTooLargeError,
)
from monsoonmill.store.limits import MAX_VALUE_BYTES
from monsoonmill.store.wire import (
    KEY_PATH,
    LEASE_PATH,
    LIST_PATH,
    VERSION_HEADER,
    encode_listing,
    path_to_name,
)

STATUS_LINES = {
    200: "200 OK",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
}

ERROR_STATUS = {
    BadCallError: 400,
    PlatformConflictError: 409,
    LeaseNotLiveError: 412,
    ValueTooLargeError: 413,
    PlatformRateLimitError: 429,
}

NUMBER = re.compile(r"[0-9]{1,18}")
"""Format of a version or of a time in milliseconds."""


@frozen
class WebRequest:
    """The parts of a WSGI request that the service uses."""

    method: str
    path: str
    query: dict[str, list[str]]
    body: bytes

    @classmethod
    def from_environ(cls, environ: dict) -> "WebRequest":
        """Read a request; a body that is too large is read only in part."""
        path, _, query = environ["REQUEST_URI"].partition("?")
        body = environ["wsgi.input"].read(MAX_VALUE_BYTES + 1)
        return cls(environ["REQUEST_METHOD"], path, parse_qs(query), body)

    def text(self, name: str) -> str:
        """Return the value of a query parameter; empty if it is absent."""
        return self.query.get(name, [""])[-1]

    def number(self, name: str) -> int:
        """Return the value of a query parameter that is a non-negative integer.

        Raises
        ------
        BadCallError
            The parameter is absent or not such a number.
        """
        text = self.text(name)
        if not NUMBER.fullmatch(text):
            raise BadCallError(f"{name} must be a whole number")
        return int(text)


@frozen
class WebResponse:
    """Status, body and version of an HTTP answer."""

    status: int
    body: bytes = b""
    version: int | None = None

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers as WSGI expects them."""
        headers = [("Content-Length", str(len(self.body)))]
        if self.version is not None:
            headers.append((VERSION_HEADER, str(self.version)))
        return headers


def parse_call(req: WebRequest, max_wait_ms: int) -> StoreCall:
    """Return the call that a request makes.

    Raises
    ------
    BadCallError
        The request is not a call of the service.
    """
    if req.path.startswith(KEY_PATH):
        return _key_call(req, path_to_name(req.path[len(KEY_PATH) :]), max_wait_ms)
    if req.path.startswith(LEASE_PATH) and req.method == "POST":
        lease = path_to_name(req.path[len(LEASE_PATH) :])
        return LeaseCall(lease, req.number("ttl_ms") / 1000)
    if req.path == LIST_PATH and req.method == "GET":
        return ListCall(req.text("prefix"))
    raise BadCallError(f"no such call: {req.method} {req.path}")


def _key_call(req, key, max_wait_ms):
    if req.method == "GET" and "after" in req.query:
        wait_ms = min(req.number("wait_ms"), max_wait_ms)
        return WatchCall(key, req.number("after"), wait_ms / 1000)
    if req.method == "GET":
        return ReadCall(key)
    if req.method == "PUT":
        return PutCall(key, req.number("expected"), req.body, req.text("lease"))
    if req.method == "DELETE":
        return DeleteCall(key, req.number("expected"))
    raise BadCallError(f"no such call: {req.method}")


def _encode_found(answer, is_write):
    entry = answer.entry
    if entry.value is None:
        return WebResponse(200 if is_write else 404, version=entry.version)
    return WebResponse(200, b"" if is_write else entry.value, entry.version)


def _encode_failed(answer, is_write):
    error = answer.error
    version = error.actual if isinstance(error, PlatformConflictError) else None
    status = ERROR_STATUS.get(type(error), 400)
    return WebResponse(status, str(error).encode(), version)


_ENCODERS: dict[type, Callable[[object, bool], WebResponse]] = {
    Found: _encode_found,
    Failed: _encode_failed,
    Listed: lambda answer, is_write: WebResponse(200, encode_listing(answer.entries)),
    Unchanged: lambda answer, is_write: WebResponse(304),
    Granted: lambda answer, is_write: WebResponse(200),
    Report: lambda answer, is_write: WebResponse(200, dumps(answer.content).encode()),
}


def encode_answer(answer: object, is_write: bool) -> WebResponse:
    """Return the HTTP answer for a reply from the store's task.

    Parameters
    ----------
    is_write : bool
        Whether the request makes a change, so that its answer has no value.
    """
    return _ENCODERS[type(answer)](answer, is_write)
