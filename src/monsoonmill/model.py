"""Core data types of the package."""

from enum import Enum, unique

from attrs import field

from monsoonmill.reasons import Importance
from monsoonmill.value_classes import frozen

OPEN_ORGANISATION = "(open)"
"""Organisation to which calls without a key on open routes are attributed."""
MIXED_OBJECTIVES_RATIO = 4
"""Ratio of the longest to the shortest objective from which callers in a hurry are
told apart from callers that can wait: the latter can then wait in a queue for as long
as the former have in all, and still have most of their time left."""


@frozen(order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


@frozen
class Organisation:
    """A tenant with its rate limit, which applies to all hosts together.

    Attributes
    ----------
    rate : float
        Calls per second; 0 for no limit.
    burst : float
        Calls that may be made at once after a period without any.
    importance : Importance or None
        Overrides the importance of the called routes, if given.
    allowed_regions : tuple of str
        Regions in which its calls may be served; empty for all.
    """

    name: str
    rate: float
    burst: float
    importance: Importance | None = None
    allowed_regions: tuple[str, ...] = ()


@frozen
class Key:
    """An organisation's API key; only the digest of the secret is stored."""

    name: str
    organisation: str
    digest: str


@frozen
class Service:
    """A service that backend servers provide.

    Attributes
    ----------
    timeout_ms : int
        Default time limit of a call.
    cold_start_ms : int
        Time for which a backend server is cold after its start; 0 for none.
    cold_per_s : float
        Requests per second that a cold backend server can handle; 0 for no limit.
    """

    name: str
    timeout_ms: int = 10_000
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@frozen
class ServiceShare:
    """Weight of one of the services that a route's calls are split among."""

    service: str
    weight: float


@frozen
class Route:
    """Rules for calls to the paths of a service that start with a prefix.

    Attributes
    ----------
    virtual_host : str
        ``Host`` header that selects the route; empty if the service selects it.
    shares : tuple of ServiceShare
        Services that the calls are split among; empty for ``service`` alone.
    timeout_ms : int
        Maximum time until the response; 0 for the caller's own limit.
    max_attempts : int
        Maximum number of backend servers to try; 0 for the node's limit.
    aim_ms : int
        Time within which a response has its full value; 0 for no objective.
    allowed_regions : tuple of str
        Regions in which calls may be served; empty for all.
    path : str
        Path prefix, matched at slashes; the longest match wins.
    methods : tuple of str
        Methods that the route matches; empty for all.
    at_most_once : bool
        Whether calls are never executed a second time, even if the response of
        the first execution is lost.
    idempotent : bool
        Whether calls may be retried after they may have been executed.
    open : bool
        Whether calls need no API key.
    organisations : tuple of str
        Organisations that may call the route; empty for all.
    """

    name: str
    service: str
    path: str = "/"
    methods: tuple[str, ...] = ()
    importance: Importance = Importance.NORMAL
    idempotent: bool = False
    at_most_once: bool = False
    open: bool = False
    organisations: tuple[str, ...] = ()
    virtual_host: str = ""
    shares: tuple[ServiceShare, ...] = ()
    timeout_ms: int = 0
    max_attempts: int = 0
    aim_ms: int = 0
    allowed_regions: tuple[str, ...] = ()


@frozen
class WithdrawnKey:
    """An API key that is no longer valid.

    Attributes
    ----------
    revision : int
        Configuration revision that withdrew the key.
    """

    name: str
    revision: int


@frozen
class Config:
    """One revision of the configuration.

    Attributes
    ----------
    revision : int
        Incremented with each accepted release note; 0 before the first.
    notes : tuple of str
        Recently accepted notes, newest last, as ``"revision:digest:id"``.
    entry_revisions : dict
        Revisions at which entries were last changed or removed.
    withdrawn_keys : dict
        Withdrawn keys by digest.
    """

    revision: int = 0
    notes: tuple[str, ...] = ()
    organisations: dict[str, Organisation] = field(factory=dict)
    keys: dict[str, Key] = field(factory=dict)
    services: dict[str, Service] = field(factory=dict)
    routes: dict[str, Route] = field(factory=dict)
    entry_revisions: dict[str, int] = field(factory=dict)
    withdrawn_keys: dict[str, WithdrawnKey] = field(factory=dict)

    @property
    def has_mixed_objectives(self) -> bool:
        """Whether the objectives of routes that need a key differ widely."""
        aims = [route.aim_ms for route in self.routes.values() if not route.open]
        aims = [aim for aim in aims if aim]
        return bool(aims) and max(aims) >= MIXED_OBJECTIVES_RATIO * min(aims)


@unique
class MemberState(Enum):
    """State of a node in the membership list."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@frozen
class Departure:
    """Processes of a backend server that leave and get no more calls.

    Attributes
    ----------
    instance : str
        Identity of the backend server.
    started_by_ms : int
        Time in Unix milliseconds by which these processes had started.
    """

    instance: str
    started_by_ms: int


@frozen
class Member:
    """One node's entry in the membership list.

    Attributes
    ----------
    incarnation : int
        Chosen at the start of the node; greater than any before at this address.
    version : int
        Incremented by the node itself with each change of its entry.
    service : str
        Service of the node's backend server; empty until one has announced
        itself.
    accepts_calls : bool
        Whether the backend server accepts new calls.
    slots : int
        Requests that the backend server announces it can execute at once.
    reaches_store : bool
        Whether the platform's store serves the node. Only nodes that may have to watch
        the store say if it doesn't.
    departures : tuple of Departure
        The latest departures that the node has been told of. Other nodes keep those of
        its earlier processes, too, and tell them to the present one.
    """

    node: str
    incarnation: int
    version: int
    address: Address
    region: str
    data_centre: str
    state: MemberState = MemberState.ALIVE
    service: str = ""
    accepts_calls: bool = False
    slots: int = 0
    reaches_store: bool = True
    departures: tuple[Departure, ...] = ()


@frozen
class HttpRequest:
    """A request to a backend server; its headers do not include the API key."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


MIN_STATUS, MAX_STATUS = 100, 599
"""Range of the statuses of HTTP responses, RFC 9110, section 15."""


def is_valid_status(status: int) -> bool:
    """Return whether a response may have the status."""
    return MIN_STATUS <= status <= MAX_STATUS


@frozen
class HttpResponse:
    """A complete response of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@frozen
class CallContext:
    """Context that is propagated along a chain of nested calls.

    Attributes
    ----------
    deadline : float
        Monotonic time in seconds after which the response is not needed.
    tries : int
        Retries that the remaining call chain may use.
    depth : int
        Number of calls above this one in the chain.
    rank : int
        Rank of the chain among those of the same importance; 0 for none.
    """

    organisation: str
    importance: Importance
    deadline: float
    tries: int
    depth: int
    rank: int = 0
