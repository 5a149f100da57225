"""HTTP client of the key-value service."""

from collections.abc import Iterable

from attrs import frozen
from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from monsoonmill.decisions.signals import StoredValue
from monsoonmill.errors import (
    PlatformConflictError,
    PlatformRateLimitError,
    PlatformUnavailableError,
)
from monsoonmill.model import Address
from monsoonmill.settings import PlatformSettings
from monsoonmill.store.client import PlatformClient
from monsoonmill.store.errors import (
    BadCallError,
    LeaseNotLiveError,
    ValueTooLargeError,
)
from monsoonmill.store.limits import MAX_VALUE_BYTES
from monsoonmill.store.wire import (
    KEY_PATH,
    LEASE_PATH,
    LIST_PATH,
    VERSION_HEADER,
    decode_listing,
    name_to_path,
)

WATCH_WAIT_MS = 10_000
"""Time-out of a watch, after which a dead connection is detected."""


@frozen
class HttpCall:
    """An HTTP request to the service.

    Attributes
    ----------
    wait_s : float
        Time for which the service may hold the request; extends the read time-out.
    expected_statuses : tuple of int
        Statuses that are not errors of the call.
    """

    method: str
    path: str
    fields: dict[str, str]
    body: bytes | None = None
    wait_s: float = 0.0
    expected_statuses: tuple[int, ...] = (200,)


class HttpPlatformClient(PlatformClient):
    """Client with one connection to each endpoint.

    Parameters
    ----------
    endpoints : iterable of Address
        Addresses of the service. The next one is tried only if connecting fails, so
        that no call is ever sent twice.
    timeout_s : float
        Time limit for connecting and for each read of the response.
    prefix : str
        Prefix of the names of all keys and leases.
    """

    def __init__(
        self,
        endpoints: Iterable[Address],
        timeout_s: float,
        prefix: str = "",
        watch_wait_ms: int = WATCH_WAIT_MS,
    ):
        self._pools = [
            HTTPConnectionPool(address.host, address.port, maxsize=1)
            for address in endpoints
        ]
        self._timeout_s = timeout_s
        self._prefix = prefix
        self._watch_wait_ms = watch_wait_ms

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> "HttpPlatformClient":
        """Return a client of the configured endpoints."""
        return cls(settings.endpoints, settings.timeout_ms / 1000, settings.prefix)

    def read(self, key: str) -> StoredValue:
        """Return the value and version of a key."""
        resp = self._send(
            HttpCall("GET", self._key_path(key), {}, expected_statuses=(200, 404))
        )
        return _parse_stored(key, resp)

    def watch(self, key: str, after: int) -> StoredValue | None:
        """Wait for a change to a key; return its new state, or None on a time-out."""
        fields = {"after": str(after), "wait_ms": str(self._watch_wait_ms)}
        call = HttpCall(
            "GET",
            self._key_path(key),
            fields,
            wait_s=self._watch_wait_ms / 1000,
            expected_statuses=(200, 304, 404),
        )
        resp = self._send(call)
        return None if resp.status == 304 else _parse_stored(key, resp)

    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str = ""
    ) -> StoredValue:
        """Write a key, or delete it if ``value`` is None, with compare-and-swap."""
        method = "DELETE" if value is None else "PUT"
        fields = {"expected": str(expected)}
        if lease:
            fields["lease"] = self._prefix + lease
        expected_statuses = (200, 409, 412, 413)
        call = HttpCall(
            method,
            self._key_path(key),
            fields,
            value,
            expected_statuses=expected_statuses,
        )
        resp = self._send(call)
        if resp.status == 409:
            raise PlatformConflictError(key, expected, _parse_version(resp))
        if resp.status == 412:
            raise LeaseNotLiveError(lease)
        if resp.status == 413:
            raise ValueTooLargeError(key, MAX_VALUE_BYTES)
        return StoredValue(key, _parse_version(resp), value)

    def lease(self, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease."""
        path = LEASE_PATH + name_to_path(self._prefix + lease)
        self._send(HttpCall("POST", path, {"ttl_ms": str(int(ttl_s * 1000))}))

    def list_keys(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys with a prefix, with their values and versions."""
        fields = {"prefix": self._prefix + prefix}
        resp = self._send(HttpCall("GET", LIST_PATH, fields))
        return tuple(
            StoredValue(key.removeprefix(self._prefix), version, value)
            for key, version, value in decode_listing(resp.data)
        )

    def close(self) -> None:
        """Close the connections."""
        for pool in self._pools:
            pool.close()

    def _key_path(self, key):
        return KEY_PATH + name_to_path(self._prefix + key)

    def _send(self, call: HttpCall) -> BaseHTTPResponse:
        resp = self._send_to_first_reachable(call)
        if resp.status not in call.expected_statuses:
            raise _parse_error(resp)
        return resp

    def _send_to_first_reachable(self, call):
        problem = "no endpoints"
        for pool in tuple(self._pools):
            try:
                resp = self._send_to(pool, call)
            except (NewConnectionError, ConnectTimeoutError) as exc:
                problem = str(exc)
                self._move_to_end(pool)
            except HTTPError as exc:
                raise PlatformUnavailableError(f"no response: {exc}") from exc
            else:
                return resp
        raise PlatformUnavailableError(f"no endpoint reachable: {problem}")

    def _send_to(self, pool, call):
        read_s = self._timeout_s + call.wait_s
        return pool.request_encode_url(
            call.method,
            call.path,
            fields=call.fields,
            body=call.body,
            retries=False,
            redirect=False,
            timeout=Timeout(connect=self._timeout_s, read=read_s),
        )

    def _move_to_end(self, pool):
        self._pools.remove(pool)
        self._pools.append(pool)


def _parse_error(resp):
    detail = resp.data.decode("utf-8", "replace")
    if resp.status == 429:
        return PlatformRateLimitError(detail)
    if resp.status == 400:
        return BadCallError(detail)
    return PlatformUnavailableError(f"status {resp.status}")


def _parse_version(resp):
    text = resp.headers.get(VERSION_HEADER, "")
    if not text.isdigit():
        raise PlatformUnavailableError("response without a version")
    return int(text)


def _parse_stored(key, resp):
    value = resp.data if resp.status == 200 else None
    return StoredValue(key, _parse_version(resp), value)
