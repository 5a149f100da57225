"""Reading of complete request bodies."""

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from monsoonmill.errors import UserError
from monsoonmill.reasons import Reason

CONTENT_LENGTH = b"Content-Length"


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


def read_body(req: HTTPRequest) -> bytes:
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
        return _read_chunks(req)
    if length is None:
        return b""
    if not (length.isascii() and length.isdigit()):
        raise BodyLengthError("Content-Length must be a number of bytes")
    body = req.rfile.read()
    if len(body) != int(length):
        raise TruncatedBodyError(f"{len(body)} of {int(length)} bytes came")
    return body


def _read_chunks(req):
    try:
        return req.rfile.read()
    except ValueError as exc:
        raise MalformedChunkError("a chunk is malformed or cut short") from exc
    except TimeoutError:
        raise
    except (MaxSizeExceeded, OSError) as exc:
        raise BodyTooLargeError("the chunks exceed the limit") from exc
