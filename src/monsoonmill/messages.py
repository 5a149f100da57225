"""Messages that nodes exchange over their streams."""

from attrs import field

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
from monsoonmill.value_classes import frozen


@frozen
class Hello:
    """First message on a stream, sent by both ends.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sender, as in its ``Member`` entry.
    """

    node: str
    incarnation: int
    address: Address


@frozen
class Ping:
    """Heartbeat of a stream.

    Attributes
    ----------
    sequence : int
        Sequence number of the heartbeat, repeated in the ``Pong``.
    """

    sequence: int


@frozen
class Pong:
    """Reply to a heartbeat."""

    sequence: int


@frozen
class Goodbye:
    """Last message on a stream, sent by both ends before it is closed."""


@frozen
class Part:
    """Chunk of a large message's frame, interleaved with other messages.

    Attributes
    ----------
    transfer : int
        Identifier of the large message on its stream.
    last : bool
        Whether this is the last chunk of the frame.
    """

    transfer: int
    last: bool
    data: bytes


@frozen
class Load:
    """Load of a node's backend server, included in each reply.

    Attributes
    ----------
    running : int
        Calls being executed by the backend server.
    waiting : int
        Calls waiting for a slot.
    limit : int
        Maximum number of concurrent calls.
    level : Importance
        Lowest importance that is currently admitted.
    work : float
        Executions in the whole call chain that one execution here causes,
        itself included.
    strain : float
        Ratio of executions here that lose a nested call to overload.
    unanswered : float
        Ratio of recent executions here whose response was lost or invalid.
    threshold : int
        Lowest standing of calls for which there is capacity here and at the
        services that they call; 0 for all.
    latency_ms : float
        Mean time of recent executions here; 0 if it is not known.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    level: Importance = Importance.BACKGROUND
    work: float = 1.0
    strain: float = 0.0
    unanswered: float = 0.0
    threshold: int = 0
    latency_ms: float = 0.0


@frozen
class Forward:
    """Requests the node of a backend server to execute a call.

    Attributes
    ----------
    attempt : str
        Identifier of the attempt, globally unique.
    service, route : str
        Names of the called service and of the route that the call matched.
    organisation : str
        Organisation that the call is attributed to.
    at_most_once : bool
        Whether the call must not be executed a second time.
    timeout_ms : int
        Time left until the call's deadline.
    tries : int
        Retries that the remaining call chain may use.
    depth : int
        Number of calls above this one in the chain.
    fingerprint : int
        Digest that is equal for repetitions of the same request.
    key : str
        Name (not secret) of the caller's API key; empty if there is none.
    request_id : str
        Request id given by the caller; empty if there is none.
    rank : int
        Rank of the call's chain among those of the same importance.
    root_organisation : str
        Organisation of the call above this one, if its allowed regions bind this call
        too; empty for none.
    has_crossed : bool
        Whether the call's chain has left a region.
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
    rank: int = 0
    root_organisation: str = ""
    has_crossed: bool = False


@frozen
class Reply:
    """Response to a ``Forward``.

    Attributes
    ----------
    attempt : str
        Identifier of the attempt, from the ``Forward``.
    reason : Reason or None
        Why the call was refused or failed; None if it succeeded.
    response : HttpResponse or None
        Response of the backend server, if one was received.
    tries : int
        Retries that the remaining call chain has left.
    digest : int
        Digest of the response body, verified by the node that sent the call.
    load : Load
        Current load of the replying node's backend server.
    retry_after_s : float
        Time after which the call may be repeated; 0 for no information.
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
    """Cancels an attempt whose reply is no longer needed.

    Attributes
    ----------
    attempt : str
        Identifier of the attempt, from the ``Forward``.
    """

    attempt: str


@frozen
class MemberGossip:
    """Changed entries of the membership list.

    Attributes
    ----------
    revision : int
        Revision of the sender's configuration.
    members_digest : int
        Digest of the sender's full list, to detect lost updates.
    answer : bool
        Whether the receiver should reply with its own changes.
    is_list : bool
        Whether this is the response to a ``MemberListRequest``, whose entries
        may be old.
    evacuations : int
        Version of the sender's evacuation orders; 0 if it knows none.
    receiver_version : tuple of int
        In a reply, incarnation and version of the receiver's entry at the sender.
    """

    members: tuple[Member, ...]
    revision: int
    members_digest: int = 0
    answer: bool = False
    is_list: bool = False
    evacuations: int = 0
    receiver_version: tuple[int, int] = (0, 0)


@frozen
class MemberListRequest:
    """Requests the parts of the membership list that differ from the sender's.

    Attributes
    ----------
    digests : tuple of int
        Digests of the sender's entries, one for each part of the list, by the hash
        of the node name; empty to request the full list.
    """

    digests: tuple[int, ...] = ()


@frozen
class ProbeRequest:
    """Requests an indirect probe of a node that the sender cannot reach."""

    node: str


@frozen
class ProbeReport:
    """Reports that an indirectly probed node has responded."""

    node: str


@frozen
class ConfigRequest:
    """Requests the configuration if it is newer than the sender's revision."""

    revision: int


@frozen
class ConfigReply:
    """Contains a full configuration."""

    config: Config


@frozen
class ConfigDelta:
    """Contains the changes of a configuration since an older revision.

    Attributes
    ----------
    base : int
        Oldest revision that the delta can be applied to.
    revision : int
        Revision of the resulting configuration.
    organisations, keys, services, routes : tuple
        Entries that were added or changed since ``base``.
    removed : tuple of str
        Removed entries, such as ``keys/branch-1``.
    notes : tuple of str
        Notes accepted since ``base``.
    entry_revisions : dict
        Revisions of the entries that were changed or removed.
    withdrawn_keys : dict
        Keys withdrawn since ``base``, by digest.
    withdrawn_count : int
        Number of withdrawn keys in the resulting configuration.
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
class EvacuationsRequest:
    """Requests the evacuation orders if they are newer than the sender's."""

    version: int


@frozen
class EvacuationsReply:
    """Contains the evacuation orders.

    Attributes
    ----------
    version : int
        Version of the store up to which all orders are included.
    data_centres : tuple of str
        Names of the evacuated data centres.
    """

    version: int
    data_centres: tuple[str, ...] = ()


@frozen
class SuspectReport:
    """Reports the requests that a backend server was executing when it crashed.

    Attributes
    ----------
    node : str
        Node of the backend server that crashed.
    crash : str
        Identifier of the crash, globally unique.
    fingerprints : tuple of int
        Digests of the requests, as in ``Forward``.
    lost : int
        Requests lost in the crash that the sender knows of so far.
    """

    node: str
    crash: str
    fingerprints: tuple[int, ...]
    lost: int = 1


@frozen
class SuspectClearance:
    """Lists suspect requests that a backend server has since answered.

    Attributes
    ----------
    fingerprints : tuple of int
        Digests of the requests, as in ``Forward``.
    """

    fingerprints: tuple[int, ...]


@frozen
class PoisonNotice:
    """Lists requests that are refused from now on.

    Attributes
    ----------
    fingerprints : tuple of int
        Digests of the requests, as in ``Forward``.
    """

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
    EvacuationsRequest,
    EvacuationsReply,
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
"""All message types that nodes exchange."""
