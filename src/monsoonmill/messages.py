"""Messages that nodes send one another over their streams."""

from attrs import field, frozen

from monsoonmill.claim_messages import (
    ClaimCopyWanted,
    ClaimMapReply,
    ClaimMapRequest,
    ClaimRedirect,
    ClaimReplicate,
    ClaimReplicated,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettled,
    ClaimTransfer,
    ClaimTransferred,
)
from monsoonmill.model import (
    Address,
    Config,
    HttpRequest,
    HttpResponse,
    Key,
    Member,
    Organisation,
    Route,
    Service,
    WithdrawnKey,
)
from monsoonmill.quota_messages import (
    Loan,
    LoanRequest,
    LoanReturn,
    PooledTokenRequest,
    PooledTokens,
    QuotaReport,
    TokenGrant,
    TokenRequest,
    TokenReturn,
)
from monsoonmill.reasons import Importance, Outcome, Reason


@frozen
class Hello:
    """First message on a stream, from both ends."""

    node: str
    incarnation: int
    address: Address


@frozen
class Ping:
    """Heartbeat of a stream."""

    sequence: int


@frozen
class Pong:
    """Answer to a heartbeat."""

    sequence: int


@frozen
class Goodbye:
    """Last message on a stream; each end sends one before the stream closes."""


@frozen
class Part:
    """Piece of a large message's frame, sent between other messages.

    Attributes
    ----------
    transfer : int
        Names the large message on its stream.
    """

    transfer: int
    last: bool
    data: bytes


@frozen
class Load:
    """Load beside a backend server, carried by each reply.

    Attributes
    ----------
    running : int
        Calls at the backend server now.
    waiting : int
        Calls that wait for a slot.
    limit : int
        Calls that may run at once.
    level : Importance
        Lowest importance that is admitted at present.
    work : float
        Runs that one run there causes in the whole chain, itself included.
    strain : float
        Share of runs there that lose a nested call to overload.
    unanswered : float
        Share of runs there lately whose answer was lost or broken.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    level: Importance = Importance.BACKGROUND
    work: float = 1.0
    strain: float = 0.0
    unanswered: float = 0.0


@frozen
class Forward:
    """Asks the node beside a backend server to run a call.

    Attributes
    ----------
    attempt : str
        Names the try; unique over all nodes and times.
    timeout_ms : int
        Time left for the answer.
    tries : int
        Further tries that the chain below may spend.
    fingerprint : int
        Digest of what makes the request the same request.
    key : str
        Name (not secret) of the key that the call came with; empty if none.
    request_id : str
        Id that the caller gave the call; empty if it gave none.
    """

    attempt: str
    service: str
    route: str
    request: HttpRequest
    organisation: str
    importance: Importance
    at_most_once: bool
    timeout_ms: int
    tries: int
    depth: int
    fingerprint: int
    key: str = ""
    request_id: str = ""


@frozen
class Reply:
    """Answers a ``Forward``.

    Attributes
    ----------
    digest : int
        Digest of the response's body, checked where the call came in.
    """

    attempt: str
    outcome: Outcome
    reason: Reason | None
    response: HttpResponse | None
    digest: int
    tries: int
    load: Load
    retry_after_s: float = 0.0


@frozen
class Cancel:
    """Tells that nobody waits for an attempt's reply any more."""

    attempt: str


@frozen
class MemberGossip:
    """Changed entries of the membership list.

    Attributes
    ----------
    revision : int
        Configuration revision that the sender has in force.
    members_digest : int
        Digest of the sender's whole list, to find lost updates.
    answer : bool
        Whether the receiver should answer with its own changes.
    is_list : bool
        Whether the entries answer a ``MemberListRequest`` and may be old.
    """

    members: tuple[Member, ...]
    revision: int
    members_digest: int = 0
    answer: bool = False
    is_list: bool = False


@frozen
class MemberListRequest:
    """Asks for the parts of the membership list that differ from the sender's.

    Attributes
    ----------
    digests : tuple of int
        Digests of the parts; empty asks for the whole list.
    """

    digests: tuple[int, ...] = ()


@frozen
class ProbeRequest:
    """Asks to probe a node that the sender can't reach."""

    node: str


@frozen
class ProbeReport:
    """Tells that a node that was probed for another one answers."""

    node: str


@frozen
class ConfigRequest:
    """Asks for the configuration when the sender's is older."""

    revision: int


@frozen
class ConfigReply:
    """Carries a whole configuration."""

    config: Config


@frozen
class ConfigDelta:
    """Carries what changed in a configuration since an older revision.

    Attributes
    ----------
    base : int
        Oldest revision that the changes lead on from.
    removed : tuple of str
        Entries that are gone, such as ``keys/branch-1``.
    notes : tuple of str
        Notes accepted since the base.
    entry_revisions : dict
        Revisions of the entries that were changed or removed.
    withdrawn_keys : dict
        Keys withdrawn since the base, by their digest.
    withdrawn_count : int
        Number of withdrawn keys in the whole configuration.
    """

    base: int
    revision: int
    organisations: tuple[Organisation, ...] = ()
    keys: tuple[Key, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    removed: tuple[str, ...] = ()
    notes: tuple[str, ...] = ()
    entry_revisions: dict[str, int] = field(factory=dict)
    withdrawn_keys: dict[str, WithdrawnKey] = field(factory=dict)
    withdrawn_count: int = 0


@frozen
class SuspectReport:
    """Names requests that were at a backend server when it crashed.

    Attributes
    ----------
    crash : str
        Names the crash; unique over all nodes and times.
    lost : int
        Requests that the crash lost, as far as the sender knows by now.
    """

    node: str
    crash: str
    fingerprints: tuple[int, ...]
    lost: int = 1


@frozen
class SuspectClearance:
    """Names requests that a backend server has answered after a crash."""

    fingerprints: tuple[int, ...]


@frozen
class PoisonNotice:
    """Names requests that are refused from now on."""

    fingerprints: tuple[int, ...] = field(factory=tuple)


PEER_MESSAGES = (
    Hello,
    Ping,
    Pong,
    Goodbye,
    Part,
    Forward,
    Reply,
    Cancel,
    MemberGossip,
    MemberListRequest,
    ProbeRequest,
    ProbeReport,
    ConfigRequest,
    ConfigReply,
    ConfigDelta,
    TokenRequest,
    TokenGrant,
    TokenReturn,
    LoanRequest,
    Loan,
    LoanReturn,
    QuotaReport,
    PooledTokenRequest,
    PooledTokens,
    ClaimRequest,
    ClaimReply,
    ClaimRedirect,
    ClaimSettle,
    ClaimSettled,
    ClaimReplicate,
    ClaimReplicated,
    ClaimTransfer,
    ClaimTransferred,
    ClaimCopyWanted,
    ClaimMapRequest,
    ClaimMapReply,
    SuspectReport,
    SuspectClearance,
    PoisonNotice,
)
"""All types that may travel between nodes."""
