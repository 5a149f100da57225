"""Client of the key-value service over HTTP."""

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
"""Longest wait of one watch; a silent connection is noticed after it."""


@frozen
class HttpCall:
    """One call on the wire."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes | None = None
    wait_s: float = 0.0
    accepts: tuple[int, ...] = (200,)


class HttpPlatformClient(PlatformClient):
    """Client over HTTP, with one connection to each endpoint.

    Parameters
    ----------
    endpoints : iterable of Address
        Addresses of the service. The next one is tried only if none could be
        connected to, so that no call is ever sent twice.
    timeout_s : float
        Time limit of connecting and of each wait for bytes of the answer.
    prefix : str
        Put before all names of keys and leases.
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
        """Return a client of the settings' endpoints."""
        return cls(settings.endpoints, settings.timeout_ms / 1000, settings.prefix)

    def read(self, key: str) -> StoredValue:
        """Return a key's state."""
        resp = self._send(HttpCall("GET", self._key_path(key), {}, accepts=(200, 404)))
        return _stored(key, resp)

    def watch(self, key: str, after: int) -> StoredValue | None:
        """Wait for a change; return the new state, or None without a change."""
        fields = {"after": str(after), "wait_ms": str(self._watch_wait_ms)}
        call = HttpCall(
            "GET",
            self._key_path(key),
            fields,
            wait_s=self._watch_wait_ms / 1000,
            accepts=(200, 304, 404),
        )
        resp = self._send(call)
        return None if resp.status == 304 else _stored(key, resp)

    def swap(
        self, key: str, expected: int, value: bytes | None, lease: str = ""
    ) -> StoredValue:
        """Write or, without a value, remove a key with the expected version."""
        method = "DELETE" if value is None else "PUT"
        fields = {"expected": str(expected)}
        if lease:
            fields["lease"] = self._prefix + lease
        accepts = (200, 409, 412, 413)
        call = HttpCall(method, self._key_path(key), fields, value, accepts=accepts)
        resp = self._send(call)
        if resp.status == 409:
            raise PlatformConflictError(key, expected, _version(resp))
        if resp.status == 412:
            raise LeaseNotLiveError(lease)
        if resp.status == 413:
            raise ValueTooLargeError(key, MAX_VALUE_BYTES)
        return StoredValue(key, _version(resp), value)

    def lease(self, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease."""
        path = LEASE_PATH + name_to_path(self._prefix + lease)
        self._send(HttpCall("POST", path, {"ttl_ms": str(int(ttl_s * 1000))}))

    def list_keys(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return all keys with a prefix."""
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
        if resp.status not in call.accepts:
            raise _error(resp)
        return resp

    def _send_to_first_reachable(self, call):
        problem = "no endpoints"
        for pool in tuple(self._pools):
            try:
                resp = self._send_to(pool, call)
            except (NewConnectionError, ConnectTimeoutError) as exc:
                problem = str(exc)
                self._try_last(pool)
            except HTTPError as exc:
                raise PlatformUnavailableError(f"answer lost: {exc}") from exc
            else:
                return resp
        raise PlatformUnavailableError(f"not reachable: {problem}")

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

    def _try_last(self, pool):
        self._pools.remove(pool)
        self._pools.append(pool)


def _error(resp):
    detail = resp.data.decode("utf-8", "replace")
    if resp.status == 429:
        return PlatformRateLimitError(detail)
    if resp.status == 400:
        return BadCallError(detail)
    return PlatformUnavailableError(f"status {resp.status}")


def _version(resp):
    text = resp.headers.get(VERSION_HEADER, "")
    if not text.isdigit():
        raise PlatformUnavailableError("an answer without a version")
    return int(text)


def _stored(key, resp):
    value = resp.data if resp.status == 200 else None
    return StoredValue(key, _version(resp), value)
