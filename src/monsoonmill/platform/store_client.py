"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Iterable, Iterator
from json import dumps
from typing import Annotated

from attrs import field, frozen
from msgspec import Meta, Raw
from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.decisions.configuration.pending_note import CONFIG_KEY
from monsoonmill.decisions.signals import StoredListing, StoredValue
from monsoonmill.errors import (
    MalformedMessageError,
    PlatformConflictError,
    PlatformRateLimitError,
    PlatformUnavailableError,
)
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address
from monsoonmill.outside_data import Name, NonNegativeInt, decode_json
from monsoonmill.settings import PlatformSettings
from monsoonmill.store.client import PlatformClient
from monsoonmill.store.errors import (
    BadCallError,
    EarlierEraError,
    LeaseNotLiveError,
)
from monsoonmill.store.versions import (
    MAX_ERA,
    MAX_REVISION,
    make_version,
    split_version,
)

OPERATORS_STORE_PREFIX = "op/"
CONFIG_STORE_KEY = "op/config"
EVACUATION_STORE_PREFIX = "op/evacuate/"
PATH_PREFIX = "/monsoonmill/"
ERA_HEADER = "Store-Era"
WATCH_WAIT_MS = 4000
"""Time-out of a watch, which a silent connection extends by the time-out of a read.
Nodes count as connected again 4 s after their connections stopped responding, and
must then learn of a change within 2.5 s."""
MAX_ERA_DIGITS = 10
"""More than the largest era has; long numbers are slow to convert."""
GONE_STATUS = 410
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 412
MAX_PAGES = 20
"""Maximum number of pages of a listing; a page has about 500 items."""

Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]

log = get_logger("store.kv")


@frozen
class StoreItem:
    """An item of the store, or an event that reports its change.

    Attributes
    ----------
    value : str or None
        The value in base64; None for a deleted item.
    """

    key: Name
    revision: Revision
    value: str | None = None
    tombstone: bool = False

    def decode_value(self) -> bytes:
        """Return the value.

        Raises
        ------
        MalformedMessageError
            There is no value, or it is not valid base64.
        """
        if self.value is None:
            raise MalformedMessageError("the item has no value")
        try:
            return b64decode(self.value, validate=True)
        except (Base64Error, ValueError) as exc:
            raise MalformedMessageError(f"the value is not base64: {exc}") from exc


@frozen
class OrderItem:
    """An operator's order, or an event that reports its change.

    Its value has no meaning and is not read, so that no odd value hides an order.
    """

    key: Name
    revision: Revision
    tombstone: bool = False


@frozen
class ItemAnswer:
    """Answer to a read of one key.

    Attributes
    ----------
    at_rev : int
        Revision of the store at the time of the read.
    """

    revision: Revision = 0
    value: str | None = None
    at_rev: Revision = 0


@frozen
class RangeAnswer:
    """A page of a listing."""

    items: list[Raw] = field(factory=list)
    has_more: bool = False
    at_rev: Revision = 0


@frozen
class WatchAnswer:
    """Answer to a watch; without ``at_rev`` the watch continues where it was."""

    events: list[Raw] = field(factory=list)
    at_rev: Revision | None = None


@frozen
class ConflictAnswer:
    """Current state of the expected keys of a refused transaction."""

    items: list[Raw] = field(factory=list)


@frozen
class WriteAnswer:
    """Answer to a transaction."""

    revision: Revision


@frozen
class LeaseAnswer:
    """Answer to the grant of a lease."""

    lease_id: NonNegativeInt


@frozen
class StoreCall:
    """An HTTP request to the store.

    Attributes
    ----------
    wait_s : float
        Time for which the store may hold the request; extends the read time-out.
    expected_statuses : tuple of int
        Statuses that are not errors of the call.
    """

    method: str
    path: str
    fields: dict[str, str]
    doc: dict | None = None
    wait_s: float = 0.0
    expected_statuses: tuple[int, ...] = (200,)


class KvClient(PlatformClient):
    """Blocking client with one connection; it sends each call only once.

    Revisions and lease ids are valid only in the era of the store in which they were
    assigned. When a response shows a later era, the client drops those that it has.

    Parameters
    ----------
    timeout_s : float
        Time limit for connecting and for each read of the response.
    prefix : str
        Prefix of all keys except those of the operators.
    """

    def __init__(self, address: Address, timeout_s: float, prefix: str):
        self._pool = HTTPConnectionPool(address.host, address.port, maxsize=1)
        self._timeout_s = timeout_s
        self._prefix = prefix
        self._era: int | None = None
        self._watched_revisions: dict[str, int] = {}
        self._gone_keys: set[str] = set()
        self._lease_ids: dict[str, int] = {}

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> "KvClient":
        """Return a client of the first configured endpoint."""
        return cls(settings.endpoints[0], settings.timeout_ms / 1000, settings.prefix)

    @property
    def era(self) -> int | None:
        """Number of times that the store has returned from a copy; None if unknown."""
        return self._era

    def begin_era(self, era: int) -> None:
        """Go to a later era; drop the revisions and lease ids of the one before."""
        if self._era is None or era > self._era:
            self._era = era
            self._watched_revisions.clear()
            self._lease_ids.clear()

    def read(self, key: str) -> StoredValue:
        """Return the value and version of a key."""
        return self._read(key)[0]

    def _read(self, key):
        """Return a key's state and the store revision at which it was read."""
        fields = {"key": self._full_key(key)}
        resp = self._send(
            StoreCall(
                "GET", "kv-key", fields, expected_statuses=(200, NOT_FOUND_STATUS)
            )
        )
        if resp.status == NOT_FOUND_STATUS and not resp.data:
            return StoredValue(key, 0, None), 0
        answer = _parse(resp, ItemAnswer)
        if resp.status == NOT_FOUND_STATUS:
            return StoredValue(key, 0, None), answer.at_rev
        item = StoreItem(self._full_key(key), answer.revision, answer.value)
        try:
            return self._make_stored(key, item), answer.at_rev
        except MalformedMessageError as exc:
            raise PlatformUnavailableError(f"malformed response: {exc}") from exc

    def watch(self, key: str, after: int) -> StoredValue | None:
        """Wait for a change to a key; return its new state, or None on a time-out."""
        watched_revision = self._watched_revisions.pop(key, 0)
        answer = self._send_watch(key, self._full_key(key), watched_revision)
        if answer is None:
            return self._start_watch(key, after)
        at_revision = answer.at_rev
        self._watched_revisions[key] = (
            watched_revision if at_revision is None else at_revision
        )
        return self._newest_event(key, answer.events)

    def _send_watch(self, name, path_prefix, revision) -> WatchAnswer | None:
        """Return what has changed since a revision; None if that has to be read.

        The caller has dropped the revision and keeps it only if this succeeds, since a
        watch that is refused would be refused again.
        """
        if not revision:
            return None
        era = self._era
        resp = self._send(_watch_call(path_prefix, revision))
        if resp.status == GONE_STATUS:
            # The store has dropped the history since then.
            self._check_gone(name)
            return None
        self._gone_keys.discard(name)
        if self._era != era:
            # The store has returned from an older copy with another history.
            return None
        return _parse(resp, WatchAnswer)

    def _check_gone(self, key):
        """Fail at every second 410 in a row, so that the next watch is delayed.

        A part of the store that lags behind the one that was read answers 410 at once,
        and the watch would be repeated without a pause.
        """
        if key in self._gone_keys:
            self._gone_keys.discard(key)
            raise PlatformUnavailableError(f"{key}: no history to watch")
        self._gone_keys.add(key)

    def _start_watch(self, key, after):
        stored, store_revision = self._read(key)
        _, revision = split_version(stored.version)
        watched_revision = max(store_revision, revision)
        if not watched_revision:
            # Without it a watch would return, and be repeated, at once.
            raise PlatformUnavailableError(f"{key}: the store told no revision")
        self._watched_revisions[key] = watched_revision
        self._log_watch(key, watched_revision)
        return stored if stored.version > after else None

    def _log_watch(self, key, revision):
        log.info("watch_started", key=key, after=revision, era=self._era)

    def _newest_event(self, key, events):
        full_key = self._full_key(key)
        changes = [item for item in _parse_items(events) if item.key == full_key]
        if not changes or changes[-1].tombstone:
            return None
        newest = changes[-1]
        try:
            return self._make_stored(key, newest)
        except MalformedMessageError as exc:
            log.warning("event_left_out", key=key, error=str(exc))
            return None

    def _make_stored(self, key, item):
        version = make_version(self._era or 0, item.revision)
        return StoredValue(key, version, item.decode_value())

    def read_with(
        self, key: str, prefix: str
    ) -> tuple[StoredValue | StoredListing, ...]:
        """Return the state of a key, and the names of the orders with a prefix."""
        return self._list_operators_keys(key, prefix)

    def watch_with(
        self, key: str, prefix: str, after: int
    ) -> tuple[StoredValue | StoredListing, ...]:
        """Wait for changes to a key and to the orders with a prefix."""
        watched_revision = self._watched_revisions.pop(prefix, 0)
        answer = self._send_watch(prefix, OPERATORS_STORE_PREFIX, watched_revision)
        if answer is None:
            return self._start_watch_with(key, prefix, after)
        changed = self._newest_event(key, answer.events)
        items = list(_parse_items(answer.events, OrderItem))
        revisions = [watched_revision, *(item.revision for item in items)]
        self._watched_revisions[prefix] = answer.at_rev or max(revisions)
        orders = tuple(
            StoredValue(
                name,
                make_version(self._era or 0, item.revision),
                None if item.tombstone else b"",
            )
            for item in items
            if (name := _order_name(prefix, item))
        )
        return orders if changed is None else (changed, *orders)

    def _start_watch_with(self, key, prefix, after):
        stored, listing = self._list_operators_keys(key, prefix)
        _, watched_revision = split_version(listing.version)
        self._watched_revisions[prefix] = watched_revision
        self._log_watch(prefix, watched_revision)
        return (stored, listing) if stored.version > after else (listing,)

    def _list_operators_keys(self, key, prefix):
        """Return a key's state and the names with a prefix, in one listing.

        It is not read from an old copy, which could lack orders for seconds. The
        revision is that of the first page: what changed since is listed or not, and
        the events of a watch from there report it again.
        """
        stored, names = StoredValue(key, 0, None), []
        revision, era = 0, None
        for answer in self._range_pages(OPERATORS_STORE_PREFIX):
            if era not in (None, self._era):
                raise PlatformUnavailableError("the store returned during a listing")
            era = self._era
            items = list(_parse_items(answer.items, OrderItem))
            known = max((item.revision for item in items), default=0)
            revision = revision or answer.at_rev or known
            names += [name for item in items if (name := _order_name(prefix, item))]
            changed = self._newest_event(key, answer.items)
            stored = stored if changed is None else changed
        # A watch from revision 0 would list the keys again at once.
        version = make_version(self._era or 0, max(revision, 1))
        return stored, StoredListing(prefix, version, tuple(names))

    def _range_pages(self, path_prefix) -> Iterator[RangeAnswer]:
        """Yield all pages of a listing.

        Raises
        ------
        PlatformUnavailableError
            The listing does not end.
        """
        after = ""
        for _ in range(MAX_PAGES):
            fields = {"path_prefix": path_prefix}
            if after:
                fields["after"] = after
            call = StoreCall("GET", "kv-range", fields)
            answer = _parse(self._send(call), RangeAnswer)
            yield answer
            keys = [item.key for item in _parse_items(answer.items, OrderItem)]
            if not answer.has_more:
                return
            after = max(keys, default=after)
        raise PlatformUnavailableError(f"kv-range: more than {MAX_PAGES} pages")

    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str = ""
    ) -> StoredValue:
        """Write a key, or delete it if ``value`` is None, with compare-and-swap."""
        era = self._era
        expected_era, expected_revision = split_version(expected)
        if expected and expected_era != era:
            # The same revision may now be that of another value.
            raise PlatformConflictError(key, expected, 0)
        full_key = self._full_key(key)
        if full_key == CONFIG_STORE_KEY:
            raise BadCallError("only operators may write the configuration")
        writes, deletes = [], []
        if value is None:
            deletes.append(full_key)
        else:
            entry = {"key": full_key, "value": b64encode(value).decode("ascii")}
            if lease:
                entry["lease_id"] = self._find_lease_id(lease)
            writes.append(entry)
        doc = {
            "expected": [{"key": full_key, "revision": expected_revision}],
            "writes": writes,
            "deletes": deletes,
        }
        call = StoreCall(
            "POST",
            "kv-txn",
            {},
            doc,
            expected_statuses=(200, CONFLICT_STATUS, NOT_FOUND_STATUS),
        )
        resp = self._send(call)
        if resp.status == CONFLICT_STATUS:
            items = _parse_items(_parse(resp, ConflictAnswer).items)
            actual = next((item.revision for item in items), 0)
            version = make_version(self._era or 0, actual)
            raise PlatformConflictError(key, expected, version)
        if resp.status == NOT_FOUND_STATUS:
            self._lease_ids.pop(lease, None)
            raise LeaseNotLiveError(lease)
        if era not in (None, self._era):
            # The expected revision and the lease were those of the earlier era.
            raise PlatformUnavailableError(
                f"{key}: written in era {self._era}, but meant for era {era}"
            )
        revision = _parse(resp, WriteAnswer).revision
        return StoredValue(key, make_version(self._era or 0, revision), value)

    def _find_lease_id(self, lease):
        if lease not in self._lease_ids:
            raise LeaseNotLiveError(lease)
        return self._lease_ids[lease]

    def lease(self, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease.

        Raises
        ------
        LeaseNotLiveError
            The lease has expired and its keys are deleted; the next call grants a
            new lease.
        """
        if lease in self._lease_ids and self._renew(lease):
            return
        doc = {"ttl_time": f"{int(ttl_s * 1000)}ms"}
        resp = self._send(StoreCall("POST", "kv-lease", {}, doc))
        self._lease_ids[lease] = _parse(resp, LeaseAnswer).lease_id

    def _renew(self, lease):
        """Renew a lease; return False if the store has returned without it."""
        path = f"kv-keep/{self._lease_ids[lease]}"
        resp = self._send(
            StoreCall("POST", path, {}, expected_statuses=(200, NOT_FOUND_STATUS))
        )
        if lease not in self._lease_ids:
            return False
        if resp.status == NOT_FOUND_STATUS:
            del self._lease_ids[lease]
            raise LeaseNotLiveError(lease)
        return True

    def list_keys(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys with a prefix; the listing may be seconds old."""
        return tuple(self._list(prefix))

    def _list(self, prefix) -> Iterator[StoredValue]:
        after = ""
        for _ in range(MAX_PAGES):
            fields = {"path_prefix": self._full_key(prefix), "stale_read": "1"}
            if after:
                fields["after"] = after
            answer = _parse(
                self._send(StoreCall("GET", "kv-range", fields)), RangeAnswer
            )
            for item in _parse_items(answer.items):
                after = item.key
                try:
                    yield self._make_stored(item.key.removeprefix(self._prefix), item)
                except MalformedMessageError as exc:
                    log.warning("item_left_out", key=item.key, error=str(exc))
            if not answer.has_more:
                return

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _full_key(self, key):
        return CONFIG_STORE_KEY if key == CONFIG_KEY else self._prefix + key

    def _send(self, call: StoreCall) -> BaseHTTPResponse:
        try:
            resp = self._request(call)
        except HTTPError as exc:
            # A connection on which a response was lost can no longer be used.
            self._pool.close()
            self._pool = HTTPConnectionPool(self._pool.host, self._pool.port, maxsize=1)
            raise PlatformUnavailableError(f"no response: {exc}") from exc
        if resp.status == 429:
            raise PlatformRateLimitError(f"{call.path}: rate limit exceeded")
        if resp.status == 400:
            raise BadCallError(f"{call.path}: {resp.data[:200]!r}")
        if resp.status not in call.expected_statuses:
            raise PlatformUnavailableError(f"{call.path}: status {resp.status}")
        self._check_era(call, _parse_era(resp))
        return resp

    def _check_era(self, call, era):
        """Note a later era, and refuse the response of an earlier one."""
        if self._era is not None and era < self._era:
            raise EarlierEraError(call.path, era, self._era)
        self.begin_era(era)

    def _request(self, call):
        timeout = Timeout(connect=self._timeout_s, read=self._timeout_s + call.wait_s)
        options = {"retries": False, "redirect": False, "timeout": timeout}
        if call.doc is None:
            return self._pool.request(
                call.method,
                PATH_PREFIX + call.path,
                fields=call.fields or None,
                **options,
            )
        return self._pool.urlopen(
            call.method,
            PATH_PREFIX + call.path,
            body=dumps(call.doc).encode(),
            headers={"Content-Type": "application/json"},
            **options,
        )


def _parse_era(resp):
    """Return the era of a response; 0 if it is missing or unreadable."""
    text = resp.headers.get(ERA_HEADER, "")
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    era = int(text) if is_number else 0
    return era if era <= MAX_ERA else 0


def _watch_call(path_prefix, revision):
    return StoreCall(
        "GET",
        "kv-watch",
        {
            "path_prefix": path_prefix,
            "after": str(revision),
            "wait_ms": str(WATCH_WAIT_MS),
        },
        wait_s=WATCH_WAIT_MS / 1000,
        expected_statuses=(200, GONE_STATUS),
    )


def _order_name(prefix, item):
    """Return the name of an order; empty for other keys."""
    if not item.key.startswith(EVACUATION_STORE_PREFIX):
        return ""
    return prefix + item.key.removeprefix(EVACUATION_STORE_PREFIX)


def _parse(resp, type_):
    try:
        return decode_json(resp.data, type_)
    except MalformedMessageError as exc:
        raise PlatformUnavailableError(f"malformed response: {exc}") from exc


def _parse_items(entries: Iterable[Raw], type_: type = StoreItem) -> Iterator:
    """Yield the readable items of a response; log the others."""
    for raw in entries:
        try:
            yield decode_json(raw, type_)
        except MalformedMessageError as exc:
            log.warning("item_left_out", error=str(exc))
