"""Incremental parsers of HTTP requests and responses, based on httptools."""

from collections import deque

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from monsoonmill.errors import HttpMessageTooLargeError, InvalidHttpMessageError
from monsoonmill.model import HttpRequest, HttpResponse, is_valid_status

SWITCHING_PROTOCOLS = 101
DEFAULT_HEADER_LINES = 5500
"""16,384 bytes hold at most 5,461 header lines of the shortest form, ``a:`` and LF."""
HEADER_LINES = "header lines"
"""Part of a message that is too large, in errors."""
HEADER_LINE_BYTES = 200
"""Memory of a header line besides its characters: on 64-bit CPython 3, two strings of
64 bytes, a tuple of 56 bytes and two entries in lists of 8 bytes."""
REQUEST_BYTES = 600
"""Memory of a complete request without its header lines and body: two objects with
their attributes, the method and the path."""


class MessageReader:
    """Accumulates a message from the callbacks of an httptools parser.

    Attributes
    ----------
    is_idle : bool
        Whether no message is being received.
    has_headers : bool
        Whether the headers of the current message are complete.
    """

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        max_header_lines: int = DEFAULT_HEADER_LINES,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.max_header_lines = max_header_lines
        self.is_idle = True
        self.has_headers = False
        self.headers: list[tuple[str, str]] = []
        self.header_bytes = 0
        self.body = bytearray()
        self.url = b""
        self._unparsed_bytes = 0
        self._has_progressed = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        InvalidHttpMessageError
            The bytes are not a valid message.
        HttpMessageTooLargeError
            The headers or the body exceed their limit.
        """
        self._has_progressed = False
        self._parse(data)
        # The parser itself accumulates a header field until its end, and skips what
        # is neither a header nor a body.
        if self._has_progressed:
            self._unparsed_bytes = 0
        else:
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > self.max_header_bytes:
                raise HttpMessageTooLargeError("headers", self.max_header_bytes)
        # Checked once for each read and each head, since a check of each line would
        # cost processor time for every request.
        if len(self.headers) > self.max_header_lines:
            raise HttpMessageTooLargeError(HEADER_LINES, self.max_header_lines)

    @property
    def held_bytes(self) -> int:
        """Memory that the message being received occupies, in bytes."""
        if self.is_idle:
            return self._unparsed_bytes
        size = self.header_bytes + len(self.body) + self._unparsed_bytes
        return size + HEADER_LINE_BYTES * len(self.headers)

    def _parse(self, data):
        # An upgrade is ignored, as RFC 9110, section 7.8 allows; the parser stops
        # behind the message that asks for it.
        while data:
            data = self._parse_to_upgrade(data)

    def _parse_to_upgrade(self, data):
        """Parse received bytes; return those behind a request for an upgrade."""
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as exc:
            return data[exc.args[0] :]
        except HttpParserError as exc:
            # httptools wraps an error that a callback raises; the original is its
            # context. It is not raised again: the two errors would refer to each
            # other, and through their tracebacks keep the received bytes in memory.
            error = exc.__context__
            if isinstance(error, HttpMessageTooLargeError):
                raise HttpMessageTooLargeError(error.part, error.limit) from None
            raise InvalidHttpMessageError(str(exc)) from exc
        return b""

    def stop(self) -> None:
        """Drop the parser and the message that is being received.

        The parser and the reader refer to each other. Only the garbage collector
        would free them, and it runs by the number of objects, not by their size.
        """
        self._parser = None
        self.headers = []
        self.header_bytes = 0
        self._unparsed_bytes = 0
        self.body = bytearray()

    def release(self) -> None:
        """Drop all that was received, since the connection is closed."""
        self.stop()

    def take_body(self) -> bytes:
        """Return the body of a complete message and release its buffer."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def on_message_begin(self):
        """Reset the state for a new message."""
        self._has_progressed = True
        self.is_idle = False
        self.has_headers = False
        self.headers = []
        self.header_bytes = 0
        self.body = bytearray()
        self.url = b""

    def on_url(self, data):
        """Append a part of the request target."""
        self.header_bytes += len(data)
        if self.header_bytes > self.max_header_bytes:
            raise HttpMessageTooLargeError("headers", self.max_header_bytes)
        self.url += data

    def on_header(self, name, value):
        """Append a header field; trailer fields are dropped."""
        self._has_progressed = True
        # Not a call of a method, since this runs for each header line.
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > self.max_header_bytes:
            raise HttpMessageTooLargeError("headers", self.max_header_bytes)
        if self.has_headers:
            return
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Record that the headers are complete.

        Raises
        ------
        InvalidHttpMessageError
            The body has a transfer coding other than chunked.
        HttpMessageTooLargeError
            There are too many header lines.
        """
        self._has_progressed = True
        self.has_headers = True
        if len(self.headers) > self.max_header_lines:
            raise HttpMessageTooLargeError(HEADER_LINES, self.max_header_lines)
        # The parser removes the chunked coding only, also behind another one.
        codings = [v for name, v in self.headers if name.lower() == "transfer-encoding"]
        if codings and [value.strip().lower() for value in codings] != ["chunked"]:
            raise InvalidHttpMessageError(f"unknown transfer coding {codings}")

    def on_body(self, data):
        """Append a part of the body."""
        self._has_progressed = True
        if len(self.body) + len(data) > self.max_body_bytes:
            raise HttpMessageTooLargeError("body", self.max_body_bytes)
        self.body += data

    def header(self, lower_name: str) -> str:
        """Return a header's value by its lower-case name; empty if it is missing."""
        return next(
            (value for name, value in self.headers if name.lower() == lower_name), ""
        )


class RequestReader(MessageReader):
    """Parses the requests of one connection.

    Attributes
    ----------
    requests : deque of (HttpRequest, bool)
        Complete requests, and whether each allows the connection to be kept alive.
    """

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        max_header_lines: int = DEFAULT_HEADER_LINES,
    ):
        super().__init__(max_header_bytes, max_body_bytes, max_header_lines)
        self.requests: deque[tuple[HttpRequest, bool]] = deque()
        self._sizes: deque[int] = deque()
        self._queued_bytes = 0
        self._parser = HttpRequestParser(self)

    def release(self) -> None:
        """Drop the complete requests too."""
        super().release()
        self.requests.clear()
        self._sizes.clear()
        self._queued_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory of the complete requests and of the one being received, in bytes."""
        return super().held_bytes + self._queued_bytes

    def take_request(self) -> tuple[HttpRequest, bool, int]:
        """Remove the first complete request.

        Returns
        -------
        tuple of HttpRequest, bool and int
            The request, whether it allows the connection to be kept alive, and the
            memory that it occupies in bytes.
        """
        size = self._sizes.popleft()
        self._queued_bytes -= size
        return *self.requests.popleft(), size

    def on_headers_complete(self):
        """Refuse a request for an upgrade that has a body, which the parser skips."""
        super().on_headers_complete()
        has_body = self.header("transfer-encoding") or self.header("content-length")
        if self._parser.should_upgrade() and has_body not in ("", "0"):
            raise InvalidHttpMessageError("request for an upgrade with a body")

    def on_message_complete(self):
        """Append the request."""
        self._has_progressed = True
        size = REQUEST_BYTES + self.header_bytes + len(self.body)
        size += HEADER_LINE_BYTES * len(self.headers)
        self._sizes.append(size)
        self._queued_bytes += size
        req = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            tuple(self.headers),
            self.take_body(),
        )
        self.requests.append((req, self._parser.should_keep_alive()))
        self.is_idle = True


class ResponseReader(MessageReader):
    """Parses the responses of one connection.

    Attributes
    ----------
    responses : deque of (HttpResponse, bool)
        Complete responses, and whether each allows the connection to be kept alive.
    """

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        max_header_lines: int = DEFAULT_HEADER_LINES,
    ):
        super().__init__(max_header_bytes, max_body_bytes, max_header_lines)
        self.responses: deque[tuple[HttpResponse, bool]] = deque()
        self._parser = HttpResponseParser(self)
        self._is_bodiless = False

    def expect_response(self, method: str) -> None:
        """Set the method of the pending request; a response to HEAD has no body."""
        self._is_bodiless = method == "HEAD"

    def release(self) -> None:
        """Drop the complete responses too."""
        super().release()
        self.responses.clear()

    def on_headers_complete(self):
        """Append the response if it has no body, whatever length it states.

        The parser does not know the method, so that its connection is not kept.
        """
        super().on_headers_complete()
        status = self._parser.get_status_code()
        if not is_valid_status(status):
            raise InvalidHttpMessageError(f"status {status}")
        if status == SWITCHING_PROTOCOLS:
            raise InvalidHttpMessageError("upgrade that was not requested")
        if self._is_bodiless and status >= 200:
            self._append(False)
            self.is_idle = True

    def on_message_complete(self):
        """Append the response, unless it is an interim (1xx) response."""
        self._has_progressed = True
        if not self.is_idle and self._parser.get_status_code() >= 200:
            self._append(self._parser.should_keep_alive())
        self.is_idle = True

    def incomplete_head(self) -> HttpResponse | None:
        """Return the response that is being received, without its body.

        Returns
        -------
        HttpResponse or None
            None if its headers are not complete yet, or no response is incomplete.
        """
        if self.is_idle or not self.has_headers:
            return None
        return HttpResponse(self._parser.get_status_code(), tuple(self.headers), b"")

    def feed_eof(self) -> bool:
        """Process the end of the stream.

        Returns
        -------
        bool
            Whether it completes a response whose body extends to the end of the
            stream.
        """
        if self.is_idle or not self.has_headers or self.has_length():
            return False
        self._append(False)
        self.is_idle = True
        return True

    def has_length(self) -> bool:
        """Return whether the current response ends before its connection does."""
        names = {name.lower() for name, _ in self.headers}
        return "content-length" in names or "transfer-encoding" in names

    def _append(self, keeps_alive):
        resp = HttpResponse(
            self._parser.get_status_code(), tuple(self.headers), self.take_body()
        )
        self.responses.append((resp, keeps_alive))
