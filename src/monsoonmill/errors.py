"""Exception tree of the package.

Every failure has a type. ``UserError`` marks the ones that a person can mend:
the programs show them as one line, without a traceback, and exit with 2.
"""

from monsoonmill.reasons import Reason

USER_ERROR_STATUS = 2
"""Exit status of a program that a ``UserError`` ends."""


class MonsoonError(Exception):
    """Root of all errors that this package raises."""


class UserError(MonsoonError):
    """A mistake in what a person supplied: settings, release note, arguments."""


class SettingsError(UserError):
    """A settings file is unreadable or holds an invalid value."""

    def __init__(self, source, key, problem):
        super().__init__(f"{source}: {key}: {problem}")
        self.source = source
        self.key = key
        self.problem = problem


class NoteError(UserError):
    """A release note is malformed or contradicts itself."""

    def __init__(self, entry, problem):
        super().__init__(f"release note: {entry}: {problem}")
        self.entry = entry
        self.problem = problem


class StaleNoteError(UserError):
    """A release note was written against a base that has since changed."""

    def __init__(self, base, current, conflicts):
        listed = ", ".join(conflicts) or "none"
        super().__init__(
            f"release note: base revision {base} is stale, current is {current}; "
            f"conflicting entries: {listed}"
        )
        self.base = base
        self.current = current
        self.conflicts = tuple(conflicts)


class ConfigTooLargeError(UserError):
    """A release note would make the configuration larger than the platform takes."""

    def __init__(self, size_bytes, limit_bytes):
        super().__init__(
            f"release note: the configuration would grow to {size_bytes} bytes, "
            f"the limit is {limit_bytes}"
        )
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class TooManyNotesError(UserError):
    """Too many release notes are on their way into the platform."""

    def __init__(self, limit):
        super().__init__(f"release note: {limit} others are in progress; try later")
        self.limit = limit


class ChartError(MonsoonError):
    """A chart file is malformed or names an unbound guard or action."""


class ProtocolError(MonsoonError):
    """A peer sent bytes that are no valid message."""


class FrameTooLargeError(ProtocolError):
    """A frame exceeds the size limit of its stream."""


class TruncatedFrameError(ProtocolError):
    """A stream ended within a frame."""


class UnknownMessageError(ProtocolError):
    """A frame names a message type that this version does not know."""


class MalformedMessageError(ProtocolError):
    """A frame's fields do not fit its message type."""


class MissingHelloError(ProtocolError):
    """A stream's first message is none that tells who the other node is."""


class InvalidHttpMessageError(ProtocolError):
    """The bytes of an HTTP connection are no valid message."""


class HttpMessageTooLargeError(ProtocolError):
    """An HTTP message exceeds a limit; ``part`` is its headers or its body."""

    def __init__(self, part, limit_bytes):
        super().__init__(f"the {part} exceed {limit_bytes} bytes")
        self.part = part
        self.limit_bytes = limit_bytes


class PlatformError(MonsoonError):
    """The platform's key-value service did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform refused the connection or answered with a server error.

    The change may or may not have taken effect.
    """


class PlatformConflictError(PlatformError):
    """A compare-and-swap met another version than the expected one."""

    def __init__(self, key, expected, actual):
        super().__init__(f"{key}: expected version {expected}, found {actual}")
        self.key = key
        self.expected = expected
        self.actual = actual


class PlatformRateLimitError(PlatformError):
    """The platform refused the call because its rate limit is exhausted."""


class CallRefusedError(MonsoonError):
    """A call is refused; ``reason`` is also the name of the counter."""

    def __init__(self, reason: Reason, detail: str = "", retry_after_s: float = 0.0):
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s
