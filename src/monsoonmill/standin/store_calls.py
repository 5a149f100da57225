"""Messages between the key-value stand-in's HTTP threads and its store task."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar

from attrs import frozen

from monsoonmill.errors import PlatformError
from monsoonmill.standin.store_data import Entry, Store
from monsoonmill.standin.store_settings import FaultSettings


@frozen
class Found:
    """State of one key."""

    entry: Entry


@frozen
class Listed:
    """States of the keys that have a prefix."""

    entries: tuple[Entry, ...]


@frozen
class Unchanged:
    """A watch timed out without a change."""


@frozen
class Granted:
    """A lease was granted or renewed."""


@frozen
class Failed:
    """A call was rejected."""

    error: PlatformError


@frozen
class Dropped:
    """The connection is closed without an answer."""


@frozen
class Report:
    """Plain data for the control endpoint."""

    content: dict


Reply = Callable[[object], None]
"""Sends an answer to the HTTP thread that waits for it."""


class StoreCall(ABC):
    """A call of the key-value service.

    Attributes
    ----------
    kind : str
        Name of the counter for this kind of call.
    is_write : bool
        Whether the call counts towards the limit on writes.
    """

    kind: ClassVar[str]
    is_write: ClassVar[bool] = False

    @abstractmethod
    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Execute the call and reply, now or later.

        Raises
        ------
        PlatformError
            The store rejects the call.
        """


@frozen
class ReadCall(StoreCall):
    """Read one key."""

    kind = "read"
    key: str

    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Reply with the key's state."""
        reply(Found(store.read(self.key, now)))


@frozen
class WatchCall(StoreCall):
    """Wait for a change of one key.

    Attributes
    ----------
    after : int
        The last version that the caller saw; 0 if the key was absent.
    """

    kind = "watch"
    key: str
    after: int
    wait_s: float

    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Register a watch that replies when the key changes or the time is up."""
        store.watch(self.key, self.after, now + self.wait_s, reply, now)


@frozen
class ListCall(StoreCall):
    """Read all keys that have a prefix."""

    kind = "list"
    prefix: str

    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Reply with the keys' states."""
        reply(Listed(tuple(store.list_keys(self.prefix, now))))


@frozen
class PutCall(StoreCall):
    """Write a key that has the expected version."""

    kind = "put"
    is_write = True
    key: str
    expected: int
    value: bytes
    lease: str = ""

    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Reply with the key's new state."""
        entry = store.swap(self.key, self.expected, self.value, self.lease, now)
        reply(Found(entry))


@frozen
class DeleteCall(StoreCall):
    """Remove a key that has the expected version."""

    kind = "delete"
    is_write = True
    key: str
    expected: int

    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Reply with the key's new state."""
        reply(Found(store.swap(self.key, self.expected, None, "", now)))


@frozen
class LeaseCall(StoreCall):
    """Grant or renew a lease."""

    kind = "lease"
    is_write = True
    lease: str
    ttl_s: float

    def run(self, store: Store, now: float, reply: Reply) -> None:
        """Reply that the lease is granted."""
        store.grant_lease(self.lease, self.ttl_s, now)
        reply(Granted())


@frozen
class CallArrived:
    """A call of the service, with a callable that replies to the waiting thread."""

    call: StoreCall
    reply: Reply


@frozen
class ModeRequested:
    """Asks for another fault mode; the reply has the chart's new state."""

    settings: FaultSettings
    reply: Reply


@frozen
class CountsRequested:
    """Asks for the numbers of calls by kind."""

    reply: Reply


@frozen
class ShutdownRequested:
    """The server stops: drop all waiting calls and all that still arrive."""
