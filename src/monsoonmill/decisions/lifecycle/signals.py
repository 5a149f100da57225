"""Signals of the node's start and end, and of its backend server's reports."""

from attrs import frozen

from monsoonmill.model import Address


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
class Ready:
    """The node knows enough to take calls."""


@frozen
class DrainRequested:
    """Leave the fleet gracefully."""


@frozen
class Drained:
    """Nothing is in progress any more; the process may end."""


@frozen
class StatusRequested:
    """An operator asks for a part of the node's state."""

    request: str
    topic: str


@frozen
class StatusReport:
    """The part of the state that was asked for, as plain data."""

    request: str
    report: dict
