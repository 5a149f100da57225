"""Messages between the tasks of the stand-in backend server."""

from attrs import field, frozen
from attrs.validators import instance_of, optional

from monsoonmill.reasons import Reason
from monsoonmill.standin.backend_settings import NestedCall


def _optional(*types):
    return field(default=None, validator=optional(instance_of(types)))


@frozen
class RequestArrived:
    """A request arrived at the backend server.

    Attributes
    ----------
    deadline : float or None
        Monotonic time in seconds by which the caller wants the answer.
    reply : RequestInbox
        Takes the ``RequestStarted`` or ``RequestRejected`` message.
    """

    id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = field(repr=False)
    deadline: float | None
    reply: object = field(repr=False, eq=False)


@frozen
class RequestStarted:
    """A request was given a slot.

    Attributes
    ----------
    service_s : float or None
        Service time in seconds; None for a request that is never answered.
    fails : bool
        Whether the request is answered with an error.
    """

    service_s: float | None
    fails: bool
    answer_bytes: int
    nested: tuple[NestedCall, ...] = ()


@frozen
class RequestRejected:
    """A request was not executed."""

    reason: Reason


@frozen
class RequestEnded:
    """A request ended, or its client disconnected while it waited for a slot.

    Attributes
    ----------
    reply : RequestInbox
        The inbox that the request arrived with.
    """

    reply: object
    cancelled: bool = False


@frozen
class Listening:
    """The HTTP server accepts connections."""


@frozen
class Drain:
    """Finish the requests in progress and stop."""


@frozen
class ReportRequest:
    """Asks for a part of the backend server's state."""

    topic: str
    reply: object


@frozen
class Report:
    """The requested part of the state as plain data."""

    document: object


@frozen
class ControlRequest:
    """Changes the behaviour at run time; None leaves a value unchanged.

    Attributes
    ----------
    factor : float or None
        Multiplies the service times.
    stall : bool or None
        Whether requests are accepted and never answered.
    error_rate : float or None
        Fraction of the requests that are answered with an error.
    seed : int or None
        New seed of jitter and errors.
    """

    reply: object
    factor: float | None = _optional(int, float)
    stall: bool | None = _optional(bool)
    error_rate: float | None = _optional(int, float)
    seed: int | None = _optional(int)
    draining: bool | None = _optional(bool)


@frozen
class AnnounceState:
    """Sets the state that the announcer announces, immediately and from now on."""

    draining: bool


@frozen
class AnnounceFailed:
    """An announcement did not reach the node."""


@frozen
class NestedCallRequest:
    """Asks a nested caller to make one call.

    Attributes
    ----------
    context : str
        ``Monsoon-Context`` header of the request that makes the call; empty if none.
    deadline : float or None
        Monotonic time in seconds by which that request must be answered.
    """

    call: NestedCall
    context: str
    id: str
    deadline: float | None
    reply: object


@frozen
class NestedCallResult:
    """A nested call ended; ``reason`` is empty when it succeeded."""

    succeeded: bool
    reason: str = ""
