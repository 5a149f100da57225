"""Incremental parsers of requests and responses around the library's own."""

from collections import deque

from httptools import HttpParserError, HttpRequestParser, HttpResponseParser

from monsoonmill.errors import BadMessageError, MessageTooLargeError
from monsoonmill.model import HttpRequest, HttpResponse


class MessageReader:
    """Collects the parts of one message; callbacks of the library's parser.

    Attributes
    ----------
    is_idle : bool
        Whether no message has begun.
    has_head : bool
        Whether the headers of the present message are complete.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.is_idle = True
        self.has_head = False
        self.headers: list[tuple[str, str]] = []
        self.header_bytes = 0
        self.body = bytearray()
        self.url = b""

    def on_message_begin(self):
        """Start anew."""
        self.is_idle = False
        self.has_head = False
        self.headers = []
        self.header_bytes = 0
        self.body = bytearray()
        self.url = b""

    def on_url(self, data):
        """Take a part of the request's target."""
        self._count_head(len(data))
        self.url += data

    def on_header(self, name, value):
        """Take one header line."""
        self._count_head(len(name) + len(value))
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def _count_head(self, size):
        self.header_bytes += size
        if self.header_bytes > self.max_header_bytes:
            raise MessageTooLargeError("headers", self.max_header_bytes)

    def on_headers_complete(self):
        """Note that the body begins."""
        self.has_head = True

    def on_body(self, data):
        """Take a part of the body."""
        if len(self.body) + len(data) > self.max_body_bytes:
            raise MessageTooLargeError("body", self.max_body_bytes)
        self.body += data

    def header(self, wanted: str) -> str:
        """Return a header's value; empty if it is not there."""
        return next(
            (value for name, value in self.headers if name.lower() == wanted), ""
        )


class RequestReader(MessageReader):
    """Reads requests from a caller's connection.

    Attributes
    ----------
    requests : deque of (HttpRequest, bool)
        Whole requests, and whether the connection may stay open after each.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self.requests: deque[tuple[HttpRequest, bool]] = deque()
        self._parser = HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises
        ------
        BadMessageError
            The bytes are no request.
        """
        _feed(self._parser, data)

    def on_message_complete(self):
        """Append the request."""
        req = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            tuple(self.headers),
            bytes(self.body),
        )
        self.requests.append((req, self._parser.should_keep_alive()))
        self.is_idle = True


class ResponseReader(MessageReader):
    """Reads responses from the backend server's connection.

    Attributes
    ----------
    responses : deque of (HttpResponse, bool)
        Whole responses, and whether the connection may be used again.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self.responses: deque[tuple[HttpResponse, bool]] = deque()
        self._parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises
        ------
        BadMessageError
            The bytes are no response.
        """
        _feed(self._parser, data)

    def on_message_complete(self):
        """Append the response, unless it is an interim one."""
        if self._parser.get_status_code() >= 200:
            self._append(self._parser.should_keep_alive())
        self.is_idle = True

    def feed_eof(self) -> bool:
        """Take the orderly end of the connection.

        Returns
        -------
        bool
            Whether it completes a response that has no length.
        """
        if self.is_idle or not self.has_head or self._has_length():
            return False
        self._append(False)
        self.is_idle = True
        return True

    def _has_length(self):
        names = {name.lower() for name, _ in self.headers}
        return "content-length" in names or "transfer-encoding" in names

    def _append(self, keeps_open):
        resp = HttpResponse(
            self._parser.get_status_code(), tuple(self.headers), bytes(self.body)
        )
        self.responses.append((resp, keeps_open))


def _feed(parser, data):
    try:
        parser.feed_data(data)
    except HttpParserError as exc:
        # An error that a callback raised is the cause that the library wraps.
        if isinstance(exc.__context__, MessageTooLargeError):
            raise exc.__context__ from exc
        raise BadMessageError(str(exc)) from exc
