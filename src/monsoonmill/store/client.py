"""Client interface of the key-value service, and the task that runs a client."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator

from monsoonmill.clock import Clock
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformEra,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformRead,
    PlatformSwap,
    PlatformWatch,
    StoredListing,
    StoredValue,
    StoreReturned,
)
from monsoonmill.errors import PlatformError, PlatformUnavailableError
from monsoonmill.eventlog import get_logger
from monsoonmill.task import MessageTask

log = get_logger("store.client")


class PlatformClient(ABC):
    """Blocking client of the platform's key-value service.

    All methods raise ``PlatformUnavailableError`` if no response arrives, in which
    case a write may or may not have taken effect, and ``PlatformRateLimitError`` if the
    service's rate limit is exceeded.
    """

    @property
    def era(self) -> int | None:
        """Number of times that the store has returned from an older copy.

        None before the first response. Versions of a later era are higher. Leases of
        an earlier era are lost, and with them their keys.
        """
        return 0

    def begin_era(self, era: int) -> None:
        """Go to an era that another client has seen, unless this one knows it."""
        return

    @abstractmethod
    def read(self, key: str) -> StoredValue:
        """Return the value and version of a key."""

    @abstractmethod
    def watch(self, key: str, after: int) -> StoredValue | None:
        """Wait for a change to a key; return its new state, or None on a time-out.

        Parameters
        ----------
        after : int
            Last version that the caller has seen; 0 if the key was absent.
        """

    def read_with(
        self, key: str, prefix: str
    ) -> tuple[StoredValue | StoredListing, ...]:
        """Return the state of a key, and the names of all keys with a prefix.

        A service without operators' keys has no names to list.
        """
        return self.read(key), StoredListing(prefix, 0, ())

    def watch_with(
        self, key: str, prefix: str, after: int
    ) -> tuple[StoredValue | StoredListing, ...]:
        """Wait for changes to a key or to the keys with a prefix.

        Returns their new states, or the names of all keys with the prefix if single
        changes are not known, or nothing on a time-out. A service without operators'
        keys has no changes to report.
        """
        stored = self.watch(key, after)
        return () if stored is None else (stored,)

    @abstractmethod
    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str = ""
    ) -> StoredValue:
        """Write a key, or delete it if ``value`` is None, with compare-and-swap.

        Parameters
        ----------
        expected : int
            Version that the key must have; 0 if it must be absent.
        lease : str
            Lease with which the key expires; empty for none.

        Raises
        ------
        PlatformConflictError
            The key does not have the expected version.
        LeaseNotLiveError
            The lease has expired or was never granted.
        """

    @abstractmethod
    def lease(self, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease."""

    @abstractmethod
    def list_keys(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys with a prefix, with their values and versions."""

    @abstractmethod
    def close(self) -> None:
        """Close the connections."""


class PlatformTask(MessageTask):
    """Executes the decisions' requests to the platform one at a time.

    Watches block for seconds, so that they need a task of their own.

    Parameters
    ----------
    client : PlatformClient
        Client used only by this task, which closes it.
    reply : callable
        Called with the ``PlatformDone`` or ``PlatformFailed`` of each request, and
        before it with ``StoreReturned`` if its response showed a later era.
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
        self._lost_by: type[PlatformError] | None = None
        self._era: int | None = None
        self._handlers = {
            PlatformRead: self._read,
            PlatformWatch: self._watch,
            PlatformSwap: self._swap,
            PlatformLease: self._lease,
            PlatformList: self._list,
        }

    def handle(self, message: object) -> None:
        """Execute one request and reply with its result."""
        if isinstance(message, PlatformEra):
            self._client.begin_era(message.era)
            self._era = self._client.era
            return
        sent_at = self._clock.now()
        try:
            values = tuple(self._execute(message))
        except PlatformError as exc:
            self._log_failure(message, exc)
            self._reply(PlatformFailed(message.request, exc))
        except Exception as exc:
            # A defect in handling one request must not end the task, which would
            # leave all later requests without a reply.
            log.warning("call_failed", call=type(message).__name__, error=repr(exc))
            log.traceback()
            error = PlatformUnavailableError(f"{type(exc).__name__}: {exc}")
            self._reply(PlatformFailed(message.request, error))
        else:
            self._log_success()
            self._reply(PlatformDone(message.request, values, sent_at))

    def _execute(self, message):
        try:
            yield from self._handlers[type(message)](message)
        finally:
            self._report_era()

    def _report_era(self):
        old, self._era = self._era, self._client.era
        if old is not None and self._era != old:
            log.warning("store_returned", task=self.name, era=self._era)
            self._reply(StoreReturned(self._era))

    def _log_failure(self, message, exc):
        """Log an outage and each change of its cause, or a refused call."""
        is_outage = isinstance(exc, PlatformUnavailableError)
        if is_outage and type(exc) is not self._lost_by:
            self._lost_by = type(exc)
            log.warning(
                "store_lost", task=self.name, call=type(message).__name__, error=exc
            )
        elif self._lost_by is None:
            log.info("call_refused", call=type(message).__name__, error=exc)

    def _log_success(self):
        if self._lost_by is not None:
            self._lost_by = None
            log.info("store_regained", task=self.name)

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    def _read(self, req) -> Iterator[StoredValue | StoredListing]:
        if req.also:
            yield from self._client.read_with(req.key, req.also)
            return
        yield self._client.read(req.key)

    def _watch(self, req) -> Iterator[StoredValue | StoredListing]:
        if req.also:
            yield from self._client.watch_with(req.key, req.also, req.after)
            return
        stored = self._client.watch(req.key, req.after)
        if stored is not None:
            yield stored

    def _swap(self, req) -> Iterator[StoredValue]:
        yield self._client.swap(req.key, req.expected, req.value, req.lease)

    def _lease(self, req) -> Iterator[StoredValue]:
        self._client.lease(req.lease, req.ttl_s)
        yield from ()

    def _list(self, req) -> Iterator[StoredValue]:
        yield from self._client.list_keys(req.prefix)
