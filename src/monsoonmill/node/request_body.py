"""Reading of complete request bodies."""

from threading import Lock

from attrs import define, field
from cheroot.server import HTTPRequest

from monsoonmill.errors import UserError
from monsoonmill.reasons import Reason

CONTENT_LENGTH = b"Content-Length"
READ_BYTES = 1 << 16
"""Maximum size of one read of a body."""
MAX_LINE_BYTES = 1 << 12
"""Limit of the line before a chunk, with its extensions, and of a trailer."""
MAX_TRAILERS = 100
LINE_END = b"\r\n"


class BodyError(UserError):
    """A request body could not be read; the request must not run.

    Attributes
    ----------
    reason : Reason
        Why the request is refused; its value is also the name of the counter.
    """

    reason = Reason.BAD_REQUEST


class BodyLengthError(BodyError):
    """The body length is not a number, or is ambiguous."""


class MalformedChunkError(BodyError):
    """A chunk of the body is malformed or truncated."""


class TruncatedBodyError(BodyError):
    """The caller closed the connection before the whole body was received."""


class BodyTooLargeError(BodyError):
    """A chunked body exceeds the size limit."""

    reason = Reason.TOO_LARGE


class BodyMemoryError(BodyError):
    """There is no memory for the body beside those of other requests."""

    reason = Reason.SHED


@define
class HeldBodies:
    """Bytes of the bodies that a server's threads hold.

    A body is refused if all exceed the budget together and it is larger than an equal
    part, so that at most twice the budget is held, or one body of any size.

    Attributes
    ----------
    max_bytes, total_bytes, count : int
        Budget, and size and number of the bodies.
    """

    max_bytes: int
    total_bytes: int = 0
    count: int = 0
    _lock: Lock = field(factory=Lock)

    def enter(self) -> None:
        """Count a request with a body."""
        with self._lock:
            self.count += 1

    def leave(self, size: int) -> None:
        """Release the body of a request that was answered."""
        with self._lock:
            self.count -= 1
            self.total_bytes -= size

    def grow(self, size: int, own_size: int) -> None:
        """Count received bytes of a body.

        Parameters
        ----------
        own_size : int
            Size of the body, with these bytes.

        Raises
        ------
        BodyMemoryError
            The budget is exceeded, and this body is larger than an equal part of it.
        """
        with self._lock:
            self.total_bytes += size
            is_exceeded = self.count > 1 and self.total_bytes > self.max_bytes
            if is_exceeded and own_size > self.max_bytes // self.count:
                raise BodyMemoryError("out of memory for bodies")


@define
class RequestBody:
    """Body of a request, counted in the memory of its server until it is released."""

    held: HeldBodies
    size: int = 0
    is_counted: bool = False

    def read(self, rfile) -> bytes:
        """Return all bytes of a body, counted as they come.

        A body that a single read returns is not counted, since a thread holds one at
        most, and the counting would cost processor time for each call.
        """
        part = rfile.read(READ_BYTES)
        if len(part) < READ_BYTES:
            return part
        self.held.enter()
        self.is_counted = True
        parts = []
        while part:
            self.size += len(part)
            self.held.grow(len(part), self.size)
            parts.append(part)
            part = rfile.read(READ_BYTES)
        return b"".join(parts)

    def release(self) -> None:
        """Stop counting the body."""
        if self.is_counted:
            self.held.leave(self.size)
            self.is_counted = False


@define
class ChunkedBody:
    """A body in chunks, of which no more is held than each read returns.

    Attributes
    ----------
    max_bytes : int
        Limit on the chunks together with the lines between them.
    chunk_left : int
        Bytes of the current chunk that have not been read.
    """

    rfile: object
    max_bytes: int
    received_bytes: int = 0
    chunk_left: int = 0
    is_complete: bool = False

    def read(self, size: int) -> bytes:
        """Return the next bytes; fewer than ``size`` only at the end.

        Raises
        ------
        BodyError
            A chunk is malformed or cut short, or the body is too large.
        """
        return b"".join(self._read_parts(size))

    def _read_parts(self, missing):
        while missing and not self.is_complete:
            if not self.chunk_left:
                self._begin_chunk()
                continue
            wanted = min(missing, self.chunk_left)
            part = self.rfile.read(wanted)
            if len(part) < wanted:
                raise MalformedChunkError("a chunk is cut short")
            missing -= wanted
            self.chunk_left -= wanted
            if not self.chunk_left and self.rfile.read(len(LINE_END)) != LINE_END:
                raise MalformedChunkError("a chunk is longer than its size")
            yield part

    def _begin_chunk(self):
        digits = self._read_line().partition(b";")[0].strip()
        if not digits or digits.strip(b"0123456789abcdefABCDEF"):
            raise MalformedChunkError("the size of a chunk is malformed")
        self.chunk_left = int(digits, 16)
        self._count(self.chunk_left)
        if not self.chunk_left:
            self._skip_trailers()
            self.is_complete = True

    def _skip_trailers(self):
        for _ in range(MAX_TRAILERS):
            if self._read_line() == LINE_END:
                return
        raise MalformedChunkError("too many trailers")

    def _read_line(self):
        line = self.rfile.readline(MAX_LINE_BYTES)
        if not line.endswith(LINE_END):
            raise MalformedChunkError("a line between chunks is malformed")
        self._count(len(line))
        return line

    def _count(self, size):
        self.received_bytes += size
        if self.received_bytes > self.max_bytes:
            raise BodyTooLargeError("the chunks exceed the limit")


def read_body(req: HTTPRequest, body: RequestBody) -> bytes:
    """Return the complete body of a request.

    Raises
    ------
    BodyError
        The body is malformed, too large or incomplete.
    """
    length = req.inheaders.get(CONTENT_LENGTH)
    if req.chunked_read:
        if length is not None:
            raise BodyLengthError("both a length and chunks")
        limit = req.server.max_request_body_size
        return body.read(ChunkedBody(req.conn.rfile, limit))
    if length is None:
        return b""
    if not (length.isascii() and length.isdigit()):
        raise BodyLengthError("Content-Length must be a number of bytes")
    data = body.read(req.rfile)
    if len(data) != int(length):
        raise TruncatedBodyError(f"{len(data)} of {int(length)} bytes came")
    return data
