"""Messages between the tasks of the stand-in backend server."""

from attrs import field, frozen
from attrs.validators import instance_of, optional

from monsoonmill.reasons import Reason
from monsoonmill.standin.backend_settings import NestedCall


def _optional(*types):
    return field(default=None, validator=optional(instance_of(types)))


@frozen
class WorkArrived:
    """A request came in.

    Attributes
    ----------
    deadline : float or None
        Monotonic time in seconds by which the caller wants the answer.
    reply : RequestInbox
        Where the decision is sent.
    """

    id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = field(repr=False)
    deadline: float | None
    reply: object = field(repr=False, eq=False)


@frozen
class WorkStarted:
    """A request has its slot.

    Attributes
    ----------
    service_s : float or None
        How long the work takes; None for a request that is never answered.
    fails : bool
        Whether the work ends with an error.
    """

    service_s: float | None
    fails: bool
    answer_bytes: int
    nested: tuple[NestedCall, ...] = ()


@frozen
class WorkRefused:
    """A request was not run."""

    reason: Reason


@frozen
class WorkEnded:
    """A request ended, or its caller has gone while it waited for a slot.

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
    """Finish what is in progress and end."""


@frozen
class QueryReport:
    """Asks for a part of the backend server's state."""

    topic: str
    reply: object


@frozen
class Report:
    """The part of the state that was asked for, as plain data."""

    document: object


@frozen
class Control:
    """Changes behaviour at run time; None leaves a value as it is."""

    reply: object
    factor: float | None = _optional(int, float)
    stall: bool | None = _optional(bool)
    error_rate: float | None = _optional(int, float)
    seed: int | None = _optional(int)
    draining: bool | None = _optional(bool)


@frozen
class AnnounceState:
    """Tells the announcer what to announce from now on, and at once."""

    draining: bool


@frozen
class AnnounceFailed:
    """An announcement did not reach the node."""


@frozen
class NestedRequest:
    """Asks a nested caller for one call."""

    call: NestedCall
    context: str
    id: str
    deadline: float | None
    reply: object


@frozen
class NestedDone:
    """A nested call ended; ``reason`` is empty when it succeeded."""

    succeeded: bool
    reason: str = ""
