"""Messages between a node's decisions and its tasks.

A signal with a handler goes to that decision; one without leaves the node's
core and is carried out by a task.
"""

from attrs import frozen

from monsoonmill.model import Address


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


@frozen
class BackendAnnounced:
    """The backend server told that it is there, or still there."""

    service: str
    address: Address
    slots: int
    draining: bool = False
    instance: str = ""


@frozen
class BackendDeregistered:
    """A backend server said its last word."""

    instance: str


@frozen
class BackendUnreachable:
    """The backend server refused a connection; it is gone or not up yet."""


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
