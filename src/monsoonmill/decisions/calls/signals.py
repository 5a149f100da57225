"""Signals about calls and their runs at the own backend server."""

from enum import Enum, unique
from math import inf

from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome, Reason
from monsoonmill.value_classes import frozen


@frozen
class CallArrived:
    """A request of a caller, or a nested call of the own backend server.

    Attributes
    ----------
    call : str
        Name of the call, unique in this process.
    bearer : str
        API key of the caller; empty if there is none.
    context : str
        Token of the parent call; empty for a call from outside.
    timeout_ms : int or None
        Time limit set by the caller.
    virtual_host : str
        Virtual host of the route; empty to find the route by its service.
    request_id : str
        Id that the caller gave the request.
    parent_id : str
        Id of the request that may have made this one, where calls carry no
        context. It is a hint that affects only the importance of the call.
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
    """The caller closed its connection before it was answered."""

    call: str


@frozen
class Answer:
    """The answer to a call, sent by the front end.

    Attributes
    ----------
    retry_after_s : float
        Time after which the caller may repeat the call; 0 for no information.
    max_retry_after_s : float
        Longest time that the caller is willing to wait.
    """

    call: str
    outcome: Outcome
    response: HttpResponse | None = None
    reason: Reason | None = None
    detail: str = ""
    retry_after_s: float = 0.0
    max_retry_after_s: float = inf


@frozen
class CallReport:
    """Result of a call and its causes, for the log.

    Attributes
    ----------
    request_id : str
        Id that the caller gave the request.
    revision : int
        Configuration revision by which the call was routed.
    waited_ms : float
        Time from arrival to answer.
    attempts : tuple of str
        Attempts with their nodes and results.
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
    """Result of an attempt at the own backend server, for the log.

    Attributes
    ----------
    waited_ms : float
        Time until the attempt got a slot or was refused.
    running, waiting, limit : int
        Load of the backend server when the attempt ended.
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
        Organisation that the request runs for.
    instance : str
        Expected identity of the backend server; empty if it has none.
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
    """Abort a request at the backend server, since its answer is not awaited."""

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
        Exactly one of the two is set.
    not_run : bool
        Whether the response states that the request did not run.
    """

    attempt: str
    response: HttpResponse | None
    failure: RunFailure | None
    not_run: bool = False
