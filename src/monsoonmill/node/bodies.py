"""Whole request bodies, or an error that says why there is none."""

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest

from monsoonmill.errors import UserError
from monsoonmill.reasons import Reason

LENGTH = b"Content-Length"


class BodyError(UserError):
    """A request's body can't be read; the request must not run.

    Attributes
    ----------
    reason : Reason
        Why the request is refused, also the counter's name.
    """

    reason = Reason.BAD_REQUEST


class BodyLengthError(BodyError):
    """The length of a body is no number, or stated in two ways."""


class MalformedChunkError(BodyError):
    """A chunk of a body is malformed or cut short."""


class TruncatedBodyError(BodyError):
    """The caller ended the connection before the whole body came."""


class BodyTooLargeError(BodyError):
    """A chunked body exceeds the limit."""

    reason = Reason.TOO_LARGE


def read_body(req: HTTPRequest) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    BodyError
        The body is malformed, too large or incomplete.
    """
    length = req.inheaders.get(LENGTH)
    if req.chunked_read:
        if length is not None:
            raise BodyLengthError("both a length and chunks")
        return _read_chunks(req)
    if length is None:
        return b""
    if not length.isdigit():
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
