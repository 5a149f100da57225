"""Signals between a node's decisions and its tasks.

A signal that a decision handles goes to that decision. Any other signal leaves the
node's core and is executed by a task.
"""

from monsoonmill.model import Address
from monsoonmill.value_classes import frozen


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
    """The stream to a node was lost; messages sent on it may not have arrived."""

    node: str


@frozen
class PeerUnreachable:
    """A message could not be sent; no byte of it was written."""

    node: str
    message: object


@frozen
class Connect:
    """Open a stream to the node at an address."""

    address: Address


@frozen
class AddressLearned:
    """The address and location of a node became known."""

    node: str
    address: Address
    region: str
    data_centre: str = ""


@frozen
class PeerUp:
    """A stream to a node is open."""

    node: str
    incarnation: int
    address: Address


@frozen
class BackendAnnounced:
    """The backend server announced itself, for the first time or again.

    Attributes
    ----------
    started_ms : int
        Start time of its process in Unix milliseconds, by its own clock.
    age_ms : int or None
        Time since the start of its process, as far as the clocks agree; None if it
        is not known.
    cold_left_ms : float
        Time for which it says that it is cold.
    """

    service: str
    address: Address
    slots: int
    draining: bool = False
    instance: str = ""
    started_ms: int = 0
    age_ms: int | None = None
    cold_left_ms: float = 0.0


@frozen
class BackendDeregistered:
    """A backend server deregistered itself.

    Attributes
    ----------
    received_ms : int
        Time of day of this host in Unix milliseconds.
    request : str
        Name of the request that an ``Answer`` acknowledges; empty if none does.
    """

    instance: str
    received_ms: int
    request: str = ""


@frozen
class BackendUnreachable:
    """The backend server refused a connection; it has stopped or not yet started."""


@frozen
class PlatformRead:
    """Read a key from the platform.

    Attributes
    ----------
    also : str
        Prefix of keys that are listed together with the key; empty for none.
    """

    request: str
    key: str
    also: str = ""


@frozen
class PlatformWatch:
    """Wait until the version of a key exceeds ``after``.

    Attributes
    ----------
    also : str
        Prefix of keys whose changes end the watch too; empty for none.
    """

    request: str
    key: str
    after: int
    also: str = ""


@frozen
class PlatformSwap:
    """Write a key if it has the expected version; 0 means that it is absent.

    Attributes
    ----------
    value : bytes or None
        None removes the key.
    lease : str
        Lease with which the key expires; empty for none.
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
class PlatformEra:
    """Tell all clients of the platform which era of its store has begun."""

    era: int


@frozen
class PlatformList:
    """Read all keys with a prefix."""

    request: str
    prefix: str


@frozen
class StoredValue:
    """Value and version of a key; version 0 and no value if it is absent.

    Attributes
    ----------
    version : int
        Grows with each change, also across a return of the store from a copy.
    """

    key: str
    version: int
    value: bytes | None


@frozen
class StoredListing:
    """Names of all keys with a prefix.

    Attributes
    ----------
    key : str
        The prefix.
    version : int
        Version of the store up to which all changes of the keys are included.
    """

    key: str
    version: int
    names: tuple[str, ...]


@frozen
class PlatformDone:
    """A platform request succeeded.

    Attributes
    ----------
    values : tuple of StoredValue or StoredListing
        States of the keys. A change to one of the keys with the prefix of a watch has
        its version also if the key was deleted; its value is then None.
    sent_at : float
        Time just before the request was sent, at which a lease term starts.
    """

    request: str
    values: tuple[StoredValue | StoredListing, ...]
    sent_at: float


@frozen
class PlatformFailed:
    """A platform request failed; a write may still have taken effect."""

    request: str
    error: Exception


@frozen
class StoreReturned:
    """The store has returned from an older copy.

    What was written since the copy is lost, and all leases count as lost.

    Attributes
    ----------
    era : int
        Number of times that the store has returned.
    """

    era: int
