"""Messages to the proxy's task."""

from enum import Enum, unique

from attrs import frozen

from monsoonmill.standin.faults_modes import Fault


@unique
class Scope(Enum):
    """Which connections of a pair a fault is set for."""

    EXISTING = "existing"
    NEW = "new"
    ALL = "all"


@frozen
class SetFault:
    """Sets the fault of a pair's connections; an empty ``pair`` means all pairs."""

    pair: str
    fault: Fault
    scope: Scope
    reply: object


@frozen
class StatusRequest:
    """Asks for the state of all pairs."""

    reply: object


@frozen
class FaultApplied:
    """A fault was set for this number of pairs."""

    pairs: int


@frozen
class PairStatus:
    """State of one pair."""

    name: str
    port: int
    target: str
    mode: str
    connections: int
    to_target_bytes: int
    to_client_bytes: int


@frozen
class ProxyStatus:
    """State of all pairs."""

    pairs: tuple[PairStatus, ...]
