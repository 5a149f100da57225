"""Exceptions of the package.

Programs report a ``UserError``, which the user can correct, as one line without
a traceback and exit with status 2.
"""

from monsoonmill.reasons import Reason

USER_ERROR_STATUS = 2
"""Exit status of a program that fails with a ``UserError``."""


class MonsoonError(Exception):
    """Base class of all errors that this package raises."""


class UserError(MonsoonError):
    """An error in the user's input: settings, a release note or arguments."""


class SettingsError(UserError):
    """A settings file cannot be read or contains an invalid value."""

    def __init__(self, source, key, problem):
        super().__init__(f"{source}: {key}: {problem}")
        self.source = source
        self.key = key
        self.problem = problem


class NoteError(UserError):
    """A release note is malformed or leads to an invalid configuration."""

    def __init__(self, entry, problem):
        super().__init__(f"release note: {entry}: {problem}")
        self.entry = entry
        self.problem = problem


class StaleNoteError(UserError):
    """The configuration has changed since a release note's base revision."""

    def __init__(self, base, current, conflicts):
        entries = ", ".join(conflicts) or "none"
        super().__init__(
            f"release note: base revision {base} is stale, current is {current}; "
            f"conflicting entries: {entries}"
        )
        self.base = base
        self.current = current
        self.conflicts = tuple(conflicts)


class ConfigTooLargeError(UserError):
    """A release note would make the configuration too large for the platform."""

    def __init__(self, size_bytes, limit_bytes):
        super().__init__(
            f"release note: configuration would have {size_bytes} bytes, "
            f"limit is {limit_bytes}"
        )
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class TooManyNotesError(UserError):
    """Too many release notes are being written to the platform."""

    def __init__(self, limit):
        super().__init__(
            f"release note: {limit} other notes are being accepted; try again later"
        )
        self.limit = limit


class ChartError(MonsoonError):
    """A chart file is malformed, or a guard or action is not bound."""


class ProtocolError(MonsoonError):
    """A peer sent data that violates the protocol."""


class FrameTooLargeError(ProtocolError):
    """A frame exceeds the size limit of its stream."""


class TruncatedFrameError(ProtocolError):
    """A stream ended in the middle of a frame."""


class UnknownMessageError(ProtocolError):
    """A frame has a message type that this version does not know."""


class MalformedMessageError(ProtocolError):
    """A frame or stored value is not valid for its type."""


class MissingHelloError(ProtocolError):
    """A message arrived on a stream before its ``Hello``."""


class InvalidHttpMessageError(ProtocolError):
    """The data received on an HTTP connection is not a valid message."""


class HttpMessageTooLargeError(ProtocolError):
    """An HTTP message exceeds a size limit.

    Attributes
    ----------
    part : str
        The part that is too large: ``headers``, ``header lines`` or ``body``.
    limit : int
        Its limit in bytes or lines.
    """

    def __init__(self, part, limit):
        super().__init__(f"{part} over the limit of {limit}")
        self.part = part
        self.limit = limit


class PlatformError(MonsoonError):
    """A call to the platform's key-value service failed."""


class PlatformUnavailableError(PlatformError):
    """The platform was unreachable or responded with a server error.

    A change may or may not have taken effect.
    """


class PlatformConflictError(PlatformError):
    """A compare-and-swap found a version other than the expected one."""

    def __init__(self, key, expected, actual):
        super().__init__(f"{key}: expected version {expected}, found {actual}")
        self.key = key
        self.expected = expected
        self.actual = actual


class PlatformRateLimitError(PlatformError):
    """The platform rejected a call because its rate limit was exceeded."""


class CallRefusedError(MonsoonError):
    """A call is refused.

    Attributes
    ----------
    reason : Reason
        Its value is also the name of the counter of such refusals.
    """

    def __init__(self, reason: Reason, detail: str = "", retry_after_s: float = 0.0):
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s
