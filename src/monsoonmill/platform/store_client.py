"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from collections.abc import Iterator
from json import dumps, loads

from attrs import frozen
from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.decisions.configuration.pending_note import CONFIG_KEY
from monsoonmill.decisions.signals import StoredValue
from monsoonmill.errors import (
    PlatformConflictError,
    PlatformRateLimitError,
    PlatformUnavailableError,
)
from monsoonmill.model import Address
from monsoonmill.settings import PlatformSettings
from monsoonmill.store.client import PlatformClient
from monsoonmill.store.errors import BadCallError, LeaseNotLiveError

OPERATORS_CONFIG = "op/config"
PATH = "/monsoonmill/"
WATCH_WAIT_MS = 2000
"""Longest wait of one watch. Nodes count as connected again 4 s after their
connections went silent, and must then know a change within 2.5 s."""
GONE = 410
MISSING = 404
CONFLICT = 412
PAGE_LIMIT = 20
"""Pages of one listing; a page holds about 500 items."""


@frozen
class StoreCall:
    """One call on the wire."""

    method: str
    path: str
    fields: dict[str, str]
    doc: dict | None = None
    wait_s: float = 0.0
    accepts: tuple[int, ...] = (200,)


class KvClient(PlatformClient):
    """Blocking client with one connection; each call is sent once.

    Parameters
    ----------
    timeout_s : float
        Time limit of connecting and of each wait for bytes of the answer.
    prefix : str
        Put before the names of all keys but the configuration's.
    """

    def __init__(self, address: Address, timeout_s: float, prefix: str):
        self._pool = HTTPConnectionPool(address.host, address.port, maxsize=1)
        self._timeout_s = timeout_s
        self._prefix = prefix
        self._positions: dict[str, int] = {}
        self._leases: dict[str, int] = {}

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> "KvClient":
        """Return a client of the settings' first endpoint."""
        return cls(settings.endpoints[0], settings.timeout_ms / 1000, settings.prefix)

    def read(self, key: str) -> StoredValue:
        """Return a key's state."""
        return self._read(key)[0]

    def _read(self, key):
        """Return a key's state, and the revision of the store that it is of."""
        fields = {"key": self._full(key)}
        resp = self._send(StoreCall("GET", "kv-key", fields, accepts=(200, MISSING)))
        doc = _document(resp)
        at = int(doc.get("at_rev", 0))
        if resp.status == MISSING:
            return StoredValue(key, 0, None), at
        return _stored(key, doc), at

    def watch(self, key: str, after: int) -> StoredValue | None:
        """Wait for a change; return the new state, or None without a change."""
        position = self._positions.get(key, 0)
        if not position:
            return self._start_watch(key, after)
        fields = {
            "path_prefix": self._full(key),
            "after": str(position),
            "wait_ms": str(WATCH_WAIT_MS),
        }
        call = StoreCall(
            "GET",
            "kv-watch",
            fields,
            wait_s=WATCH_WAIT_MS / 1000,
            accepts=(200, GONE),
        )
        resp = self._send(call)
        if resp.status == GONE:
            # The history between is lost; the present state is not.
            return self._start_watch(key, after)
        doc = _document(resp)
        self._positions[key] = int(doc.get("at_rev", position))
        return self._newest_event(key, doc.get("events", ()))

    def _start_watch(self, key, after):
        stored, at = self._read(key)
        self._positions[key] = max(at, stored.version)
        return stored if stored.version > after else None

    def _newest_event(self, key, events):
        full = self._full(key)
        found = [one for one in events if one.get("key") == full]
        if not found or found[-1].get("tombstone"):
            return None
        return _stored(key, found[-1])

    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str = ""
    ) -> StoredValue:
        """Write or, without a value, remove a key with the expected version."""
        full = self._full(key)
        if full == OPERATORS_CONFIG:
            raise BadCallError("the configuration belongs to the operators")
        writes, deletes = [], []
        if value is None:
            deletes.append(full)
        else:
            entry = {"key": full, "value": b64encode(value).decode("ascii")}
            if lease:
                entry["lease_id"] = self._live_lease(lease)
            writes.append(entry)
        doc = {
            "expected": [{"key": full, "revision": expected}],
            "writes": writes,
            "deletes": deletes,
        }
        call = StoreCall("POST", "kv-txn", {}, doc, accepts=(200, CONFLICT, MISSING))
        resp = self._send(call)
        if resp.status == CONFLICT:
            items = _document(resp).get("items", ())
            actual = next((int(one.get("revision", 0)) for one in items), 0)
            raise PlatformConflictError(key, expected, actual)
        if resp.status == MISSING:
            self._leases.pop(lease, None)
            raise LeaseNotLiveError(lease)
        return StoredValue(key, int(_document(resp)["revision"]), value)

    def _live_lease(self, lease):
        if lease not in self._leases:
            raise LeaseNotLiveError(lease)
        return self._leases[lease]

    def lease(self, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease.

        Raises
        ------
        LeaseNotLiveError
            The lease has ended, and with it its keys; the next call grants a
            new one.
        """
        if lease in self._leases:
            path = f"kv-keep/{self._leases[lease]}"
            resp = self._send(StoreCall("POST", path, {}, accepts=(200, MISSING)))
            if resp.status == MISSING:
                del self._leases[lease]
                raise LeaseNotLiveError(lease)
            return
        doc = {"ttl_time": f"{int(ttl_s * 1000)}ms"}
        resp = self._send(StoreCall("POST", "kv-lease", {}, doc))
        self._leases[lease] = int(_document(resp)["lease_id"])

    def list_keys(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys with a prefix; the list may be seconds old."""
        return tuple(self._list(prefix))

    def _list(self, prefix) -> Iterator[StoredValue]:
        after = ""
        for _ in range(PAGE_LIMIT):
            fields = {"path_prefix": self._full(prefix), "stale_read": "1"}
            if after:
                fields["after"] = after
            doc = _document(self._send(StoreCall("GET", "kv-range", fields)))
            for item in doc.get("items", ()):
                after = item["key"]
                yield _stored(after.removeprefix(self._prefix), item)
            if not doc.get("has_more"):
                return

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _full(self, key):
        return OPERATORS_CONFIG if key == CONFIG_KEY else self._prefix + key

    def _send(self, call: StoreCall) -> BaseHTTPResponse:
        try:
            resp = self._request(call)
        except HTTPError as exc:
            # A connection on which an answer was lost gives nothing more.
            self._pool.close()
            self._pool = HTTPConnectionPool(self._pool.host, self._pool.port, maxsize=1)
            raise PlatformUnavailableError(f"no answer: {exc}") from exc
        if resp.status == 429:
            raise PlatformRateLimitError(f"{call.path}: too many calls")
        if resp.status == 400:
            raise BadCallError(f"{call.path}: {resp.data[:200]!r}")
        if resp.status not in call.accepts:
            raise PlatformUnavailableError(f"{call.path}: status {resp.status}")
        return resp

    def _request(self, call):
        timeout = Timeout(connect=self._timeout_s, read=self._timeout_s + call.wait_s)
        common = {"retries": False, "redirect": False, "timeout": timeout}
        if call.doc is None:
            return self._pool.request(
                call.method, PATH + call.path, fields=call.fields or None, **common
            )
        return self._pool.urlopen(
            call.method,
            PATH + call.path,
            body=dumps(call.doc).encode(),
            headers={"Content-Type": "application/json"},
            **common,
        )


def _document(resp) -> dict:
    try:
        doc = loads(resp.data) if resp.data else {}
    except ValueError as exc:
        raise PlatformUnavailableError("an answer that is no JSON") from exc
    if not isinstance(doc, dict):
        raise PlatformUnavailableError("an answer that is no object")
    return doc


def _stored(key, item) -> StoredValue:
    try:
        return StoredValue(key, int(item["revision"]), b64decode(item["value"]))
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformUnavailableError("an answer without a value") from exc
