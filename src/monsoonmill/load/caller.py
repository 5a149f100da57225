"""Tasks that send attempts and classify the responses."""

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from monsoonmill.clock import Clock
from monsoonmill.load.messages import AttemptEnded, SendAttempt, Verdict
from monsoonmill.load.plan import IDEMPOTENCY_PER_CALL
from monsoonmill.model import Address
from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, is_intact
from monsoonmill.task import Inbox, MessageTask

OK_STATUS = 200
REFUSED_OUTCOMES = ("not-run",)


class Caller(MessageTask):
    """Sends one attempt at a time over its own connections.

    Parameters
    ----------
    inbox : Inbox
        Work queue shared by all callers; an idle caller takes the next attempt.
    results : Inbox
        Receives the ``AttemptEnded`` messages.
    grace_ms : int
        Time beyond a call's timeout for which its response is awaited.
    """

    def __init__(
        self, name: str, inbox: Inbox, results: Inbox, clock: Clock, grace_ms: int
    ):
        super().__init__(name)
        self.inbox = inbox
        self._results = results
        self._clock = clock
        self._grace_s = grace_ms / 1000
        self._pools: dict[Address, HTTPConnectionPool] = {}

    def handle(self, message: SendAttempt) -> None:
        """Send an attempt and report how it ended."""
        start_delay_s = self._clock.now() - message.due
        response, verdict = self._send(message)
        headers = {} if response is None else response.headers
        self._results.post(
            AttemptEnded(
                call=message.call,
                verdict=verdict,
                start_delay_s=start_delay_s,
                ended_at=self._clock.now(),
                status=0 if response is None else response.status,
                outcome=headers.get("Monsoon-Outcome", ""),
                reason=headers.get("Monsoon-Reason", ""),
            )
        )

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _send(self, message):
        """Return the response, or None if none was received, and the verdict."""
        stream = message.stream
        try:
            response = self._pool(message.address).request(
                stream.method,
                f"/{stream.service}/{stream.path.lstrip('/')}",
                body=make_request_body(message.id, stream.body_bytes),
                headers=make_headers(message),
                timeout=Timeout(total=stream.timeout_ms / 1000 + self._grace_s),
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError):
            return None, Verdict.UNREACHABLE
        except ReadTimeoutError:
            return None, Verdict.TIMED_OUT
        except (HTTPError, OSError):
            return None, Verdict.CONNECTION_LOST
        return response, classify_response(response, message.id)

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            pool = HTTPConnectionPool(
                address.host, address.port, maxsize=1, retries=False
            )
            self._pools[address] = pool
        return pool


def make_headers(message: SendAttempt) -> dict[str, str]:
    """Return the headers of an attempt."""
    stream = message.stream
    headers = {ID_HEADER: message.id, "Monsoon-Timeout-Ms": str(stream.timeout_ms)}
    if stream.key:
        headers["Authorization"] = f"Bearer {stream.key}"
    if stream.idempotency == IDEMPOTENCY_PER_CALL:
        headers["Idempotency-Key"] = message.id
    return headers


def make_request_body(request_id: str, size: int) -> bytes | None:
    """Return a body of ``size`` bytes that repeats the id, or None for size 0."""
    if not size:
        return None
    pattern = request_id.encode() + b"\n"
    return (pattern * (size // len(pattern) + 1))[:size]


def classify_response(response, request_id: str) -> Verdict:
    """Return whether a response is valid, invalid, a refusal or a failure.

    A valid response has status 200, and its body passes the integrity check.
    """
    if response.status == OK_STATUS:
        crc = response.headers.get(CRC_HEADER)
        is_valid = is_intact(response.data, crc, request_id)
        return Verdict.VALID if is_valid else Verdict.INVALID
    if response.headers.get("Monsoon-Outcome") in REFUSED_OUTCOMES:
        return Verdict.REFUSED
    return Verdict.FAILED
