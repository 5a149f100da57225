"""Signals of start, shutdown and status, and of the backend server's heartbeats."""

from attrs import frozen

from monsoonmill.decisions.request_query import RequestQuery
from monsoonmill.model import Address, Departure


@frozen
class BackendHeartbeat:
    """One numbered heartbeat of the local backend server.

    Attributes
    ----------
    instance : str
        Identity of the backend server, usually new at each start.
    started_ms : int
        Start time of its process in Unix milliseconds.
    sequence : int
        Number that grows with each heartbeat of a process.
    leaves : bool
        Whether it drains or is about to end without draining.
    cold_left_ms : float
        Time for which it says that it is cold.
    received_ms : int
        Time of day of this host in Unix milliseconds; 0 if it is not known.
    request : str
        Name of the request that an ``Answer`` acknowledges; empty if none does.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    slots: int
    leaves: bool = False
    cold_left_ms: float = 0.0
    received_ms: int = 0
    request: str = ""


@frozen
class DepartureRecorded:
    """The local backend server has said that it leaves.

    Attributes
    ----------
    request : str
        Name of the request that is to be acknowledged; empty for none.
    """

    departure: Departure
    request: str = ""


@frozen
class DeparturesStored:
    """A write of the local node's departures to the store has ended or failed.

    Attributes
    ----------
    departures : tuple of Departure
        What the store has, as far as it is known.
    """

    departures: tuple[Departure, ...]


@frozen
class DeparturesWanted:
    """A heartbeat waits for what earlier processes of this node were told."""


@frozen
class DeparturesKnown:
    """What earlier processes of this node were told is known, if anybody knows it.

    Attributes
    ----------
    source : str
        Node that has replied, or the store.
    """

    source: str


@frozen
class Ready:
    """The node may accept calls."""


@frozen
class DrainStarted:
    """The node has begun to drain, so that its callers should go elsewhere."""


@frozen
class DrainRequested:
    """Requests that the node leave the fleet and shut down gracefully."""


@frozen
class Drained:
    """The drain has ended; the process may exit."""


@frozen
class StatusRequested:
    """An operator requests the status of a part of the node."""

    request: str
    topic: str


@frozen
class ExplainRequested:
    """An operator asks where a request would go."""

    request: str
    query: RequestQuery


@frozen
class StatusReport:
    """The requested status as plain data."""

    request: str
    report: dict
