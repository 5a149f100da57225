"""Messages between a node's decisions and its tasks.

A signal with a handler goes to that decision; one without leaves the node's
core and is carried out by a task.
"""

from enum import Enum, unique

from attrs import frozen

from monsoonmill.model import Address, Config, HttpRequest, HttpResponse, Member
from monsoonmill.reasons import Importance, Outcome, Reason


# From the front end for callers.
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
class CallerGone:
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
class ConfigAdopted:
    """A configuration was put in force, for the log."""

    revision: int
    source: str


# Between nodes.
@frozen
class Send:
    """Send a message to another node."""

    node: str
    message: object


@frozen
class Received:
    """A message that another node sent."""

    node: str
    message: object


@frozen
class PeerDown:
    """The stream to a node broke; what was sent may or may not have arrived."""

    node: str


@frozen
class PeerUnreachable:
    """A message could not be sent at all: no byte of it left."""

    node: str
    message: object


@frozen
class Connect:
    """Get to know the node at an address."""

    address: Address


@frozen
class AddressLearned:
    """Where a node is reached, and in which region."""

    node: str
    address: Address
    region: str


@frozen
class PeerUp:
    """A stream to a node is open."""

    node: str
    incarnation: int
    address: Address


# Beside the backend server.
@frozen
class BackendAnnounced:
    """The backend server told that it is there, or still there."""

    service: str
    address: Address
    slots: int
    draining: bool = False
    instance: str = ""


@frozen
class BackendHeartbeat:
    """One heartbeat of a backend server that numbers its heartbeats.

    Attributes
    ----------
    instance : str
        Identity of the backend server, mostly new at each start.
    started_ms : int
        Start of its process, in Unix milliseconds.
    sequence : int
        Grows with each heartbeat of one process.
    leaves : bool
        Whether it drains, or will be gone without draining.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    leaves: bool = False


@frozen
class BackendLeaves:
    """A backend server said its last word."""

    instance: str


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


@frozen
class AdmitCall:
    """Asks for a slot at the backend server."""

    attempt: str
    route: str
    organisation: str
    importance: Importance
    deadline: float


@frozen
class Admitted:
    """A slot is free for an attempt."""

    attempt: str


@frozen
class NotAdmitted:
    """An attempt gets no slot."""

    attempt: str
    reason: Reason
    retry_after_s: float


@frozen
class LeaveQueue:
    """An attempt needs its slot or its place in the queue no more."""

    attempt: str


@frozen
class SlotReleased:
    """An attempt that held a slot ended.

    Attributes
    ----------
    latency_s : float
        Time at the backend server.
    shed : bool
        Whether the backend server refused it for overload.
    timed_out : bool
        Whether it was cut off before its answer.
    failed : bool
        Whether it ended in an error, so that its latency tells nothing.
    not_run : bool
        Whether the backend server said that it was full and ran nothing.
    """

    attempt: str
    latency_s: float
    shed: bool
    timed_out: bool
    failed: bool = False
    not_run: bool = False


@frozen
class BackendUnreachable:
    """The backend server refused a connection; it is gone or not up yet."""


@frozen
class BackendCrashed:
    """The backend server broke the connections of these requests.

    Attributes
    ----------
    crash : int
        Number of the crash at this node.
    fingerprints : tuple of int
        The requests whose connections broke.
    """

    crash: int
    fingerprints: tuple[int, ...]


@frozen
class SuspectAnswered:
    """The backend server answered a request that was suspected."""

    fingerprint: int


@frozen
class AttemptStarted:
    """An attempt of a call was sent to a node."""

    node: str
    route: str


@frozen
class AttemptObserved:
    """How an attempt at a node went, for the judgement of its health.

    Attributes
    ----------
    elapsed_s : float
        Time between the attempt's start and its end.
    timed_out : bool
        Whether the call's time was up before a reply came.
    unanswered : float
        Share of all runs there, of any sender, whose answer was lost lately.
    """

    node: str
    route: str
    outcome: Outcome
    reason: Reason | None
    elapsed_s: float
    timed_out: bool
    unanswered: float = 0.0


# Quotas.
@frozen
class TokenWanted:
    """A call needs one token of its organisation."""

    call: str
    organisation: str
    deadline: float


@frozen
class TokenGiven:
    """A call has its token, or needs none.

    Attributes
    ----------
    organisation : str
        Whose token it is, to be returned if the call never runs; empty if it
        need not be.
    """

    call: str
    organisation: str = ""


@frozen
class TokenDenied:
    """A call gets no token; ``detail`` tells what decided it, for the log."""

    call: str
    retry_after_s: float
    detail: str = ""


@frozen
class TokenReturned:
    """A call that had its token never ran."""

    organisation: str


# Claims.
@frozen
class ClaimWanted:
    """A call needs the right to run once."""

    call: str
    organisation: str
    key: str
    fingerprint: int
    deadline: float


@frozen
class ClaimGiven:
    """A call may run."""

    call: str


@frozen
class ClaimDenied:
    """A call must not run; an earlier run may have left an answer."""

    call: str
    reason: Reason
    outcome: Outcome
    response: HttpResponse | None = None
    retry_after_s: float = 0.0


@frozen
class ClaimDone:
    """A call that had its claim ended."""

    call: str
    outcome: Outcome
    response: HttpResponse | None = None


# Configuration.
@frozen
class NoteSubmitted:
    """An operator hands in a release note, parsed."""

    request: str
    note: object


@frozen
class NoteAccepted:
    """A release note is in the configuration of this revision."""

    request: str
    revision: int


@frozen
class NoteRefused:
    """A release note was not accepted."""

    request: str
    error: Exception


@frozen
class ConfigChanged:
    """Another configuration is in force from here on."""

    old: Config
    new: Config


# Members.
@frozen
class MemberChanged:
    """Another node's entry in the membership list changed."""

    member: Member


@frozen
class MembersChanged:
    """Some entries of the membership list changed."""


@frozen
class SelfLeaving:
    """The own node begins to leave the fleet."""


# Platform.
@frozen
class PlatformRead:
    """Read a key of the platform's service."""

    request: str
    key: str


@frozen
class PlatformWatch:
    """Wait until a key's version exceeds ``after``."""

    request: str
    key: str
    after: int


@frozen
class PlatformSwap:
    """Write a key if it still has the expected version; 0 means absent.

    Attributes
    ----------
    value : bytes or None
        None removes the key.
    lease : str
        Name of the lease that the key goes with; empty for none.
    """

    request: str
    key: str
    expected: int
    value: bytes | None
    lease: str = ""


@frozen
class PlatformLease:
    """Grant or renew a lease."""

    request: str
    lease: str
    ttl_s: float


@frozen
class PlatformList:
    """Read all keys with a prefix."""

    request: str
    prefix: str


@frozen
class StoredValue:
    """A key's value and version; version 0 and no value if absent."""

    key: str
    version: int
    value: bytes | None


@frozen
class PlatformDone:
    """The platform's answer to a request.

    Attributes
    ----------
    sent_at : float
        Time before the call was sent, from which a lease counts.
    """

    request: str
    values: tuple[StoredValue, ...]
    sent_at: float


@frozen
class PlatformFailed:
    """A platform call failed; a change may still have taken effect."""

    request: str
    error: Exception


# Life of the node.
@frozen
class Ready:
    """The node knows enough to take calls."""


@frozen
class DrainRequested:
    """Leave the fleet gracefully."""


@frozen
class Drained:
    """Nothing is in progress any more; the process may end."""


@frozen
class StatusWanted:
    """An operator asks for a part of the node's state."""

    request: str
    topic: str


@frozen
class StatusReport:
    """The part of the state that was asked for, as plain data."""

    request: str
    report: dict
