"""Interface of the store's clients, and the task that uses one."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator

from monsoonmill.clock import Clock
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformRead,
    PlatformSwap,
    PlatformWatch,
    StoredValue,
)
from monsoonmill.errors import PlatformError, PlatformUnavailableError
from monsoonmill.eventlog import get_logger
from monsoonmill.task import MessageTask

log = get_logger("store.client")


class PlatformClient(ABC):
    """Calls of the platform's service; each blocks until it is answered.

    All methods raise ``PlatformUnavailableError`` when the answer is lost, so
    that a change may or may not have taken effect, and ``PlatformRateLimitError``
    when the call was refused.
    """

    @abstractmethod
    def read(self, key: str) -> StoredValue:
        """Return a key's state."""

    @abstractmethod
    def watch(self, key: str, after: int) -> StoredValue | None:
        """Wait for a change; return the new state, or None without a change.

        Parameters
        ----------
        after : int
            Version that the caller knows; 0 if it knows the key as absent.
        """

    @abstractmethod
    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str = ""
    ) -> StoredValue:
        """Write or, without a value, remove a key with the expected version.

        Raises
        ------
        PlatformConflictError
            The key has another version.
        LeaseNotLiveError
            The lease lapsed or was never granted.
        """

    @abstractmethod
    def lease(self, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease."""

    @abstractmethod
    def list_keys(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys with a prefix."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""


class PlatformTask(MessageTask):
    """Carries out the decisions' calls of the platform, one at a time.

    Watches wait long, so they belong in an instance of their own.

    Parameters
    ----------
    client : PlatformClient
        The task's own; it is closed with the task.
    reply : callable
        Takes the ``PlatformDone`` or ``PlatformFailed`` of each request.
    """

    def __init__(
        self,
        name: str,
        client: PlatformClient,
        clock: Clock,
        reply: Callable[[object], None],
    ):
        super().__init__(name)
        self._client = client
        self._clock = clock
        self._reply = reply
        self._is_lost = False
        self._performers = {
            PlatformRead: self._read,
            PlatformWatch: self._watch,
            PlatformSwap: self._swap,
            PlatformLease: self._lease,
            PlatformList: self._list,
        }

    def handle(self, message: object) -> None:
        """Perform one request and reply with its result."""
        sent_at = self._clock.now()
        try:
            values = tuple(self._performers[type(message)](message))
        except PlatformError as exc:
            self._note_failure(message, exc)
            self._reply(PlatformFailed(message.request, exc))
        else:
            self._note_success()
            self._reply(PlatformDone(message.request, values, sent_at))

    def _note_failure(self, message, exc):
        """Log that the store is lost; a conflict is an answer like another."""
        if isinstance(exc, PlatformUnavailableError) and not self._is_lost:
            self._is_lost = True
            log.warning(
                "store_lost", task=self.name, call=type(message).__name__, error=exc
            )
        elif not self._is_lost:
            log.info("call_refused", call=type(message).__name__, error=exc)

    def _note_success(self):
        if self._is_lost:
            self._is_lost = False
            log.info("store_regained", task=self.name)

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    def _read(self, req) -> Iterator[StoredValue]:
        yield self._client.read(req.key)

    def _watch(self, req) -> Iterator[StoredValue]:
        changed = self._client.watch(req.key, req.after)
        if changed is not None:
            yield changed

    def _swap(self, req) -> Iterator[StoredValue]:
        yield self._client.swap(req.key, req.expected, req.value, req.lease)

    def _lease(self, req) -> Iterator[StoredValue]:
        self._client.lease(req.lease, req.ttl_s)
        yield from ()

    def _list(self, req) -> Iterator[StoredValue]:
        yield from self._client.list_keys(req.prefix)
