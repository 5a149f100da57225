"""Signals of calls and of their runs at the own backend server."""

from enum import Enum, unique

from attrs import frozen

from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome, Reason


@frozen
class CallArrived:
    """A caller's request, or a nested one of the own backend server.

    Attributes
    ----------
    call : str
        Names the call in this process.
    bearer : str
        The caller's key; empty if none came.
    context : str
        Token of the parent call; empty for a call from outside.
    timeout_ms : int or None
        The time that the caller leaves.
    virtual_host : str
        Name by which the route is found; empty to find it by the service.
    request_id : str
        The caller's own name of the request.
    parent_id : str
        Id of the request that may have made this one, where calls carry no
        context; a hint that only decides which of them goes first.
    """

    call: str
    service: str
    request: HttpRequest
    bearer: str = ""
    idempotency_key: str = ""
    timeout_ms: int | None = None
    context: str = ""
    virtual_host: str = ""
    request_id: str = ""
    parent_id: str = ""


@frozen
class CallerDisconnected:
    """The caller closed its connection before the answer."""

    call: str


@frozen
class Answer:
    """The answer of a call, for the front end to send."""

    call: str
    outcome: Outcome
    response: HttpResponse | None = None
    reason: Reason | None = None
    detail: str = ""
    retry_after_s: float = 0.0


@frozen
class CallReport:
    """How a call ended and what decided it, for the log.

    Attributes
    ----------
    request_id : str
        The caller's own name of the request.
    revision : int
        Configuration revision in force at the end.
    waited_ms : float
        Time from arrival to answer.
    attempts : tuple of str
        Nodes that were tried, each with how the attempt ended.
    """

    request_id: str
    call: str
    route: str
    service: str
    organisation: str
    outcome: Outcome
    reason: Reason | None
    status: int
    revision: int
    waited_ms: float
    attempts: tuple[str, ...] = ()
    detail: str = ""


@frozen
class RunReport:
    """How an attempt at the own backend server ended, for the log.

    Attributes
    ----------
    waited_ms : float
        Time until it got a slot, or until it was refused.
    running, waiting, limit : int
        Load beside the backend server at the end.
    """

    attempt: str
    sender: str
    route: str
    outcome: Outcome
    reason: Reason | None
    waited_ms: float
    ran_ms: float
    running: int
    waiting: int
    limit: int


@frozen
class RunCall:
    """Send a request to the backend server.

    Attributes
    ----------
    organisation : str
        Whom the request runs for.
    instance : str
        Identity of the backend server that is meant; empty if it has none.
    """

    attempt: str
    address: Address
    request: HttpRequest
    timeout_s: float
    context: str
    organisation: str = ""
    instance: str = ""


@frozen
class AbortRun:
    """Stop a request at the backend server; nobody waits for its answer."""

    attempt: str


@unique
class RunFailure(Enum):
    """Ways in which a request to a backend server fails."""

    NOT_SENT = "not-sent"
    TIMED_OUT = "timed-out"
    CONNECTION_LOST = "connection-lost"
    BROKEN_ANSWER = "broken-answer"
    ABORTED = "aborted"


@frozen
class RunFinished:
    """A request to the backend server ended.

    Attributes
    ----------
    response, failure
        One of the two is set.
    not_run : bool
        Whether the response says that the request did not run.
    """

    attempt: str
    response: HttpResponse | None
    failure: RunFailure | None
    not_run: bool = False
