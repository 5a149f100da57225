"""Tasks that send calls and judge the answers."""

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from monsoonmill.clock import Clock
from monsoonmill.load.messages import AttemptEnded, SendCall, Verdict
from monsoonmill.load.plan import IDEMPOTENCY_PER_CALL
from monsoonmill.model import Address
from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, is_intact
from monsoonmill.task import Inbox, MessageTask

OK_STATUS = 200
REFUSED_OUTCOMES = ("not-run",)


class Caller(MessageTask):
    """Sends one attempt at a time over connections of its own.

    Parameters
    ----------
    inbox : Inbox
        Shared by all callers; whoever is free takes the next attempt.
    results : Inbox
        Takes the ``AttemptEnded`` messages.
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

    def handle(self, message: SendCall) -> None:
        """Send an attempt and report its end."""
        late_s = self._clock.now() - message.due
        response, verdict = self._send(message)
        headers = {} if response is None else response.headers
        self._results.post(
            AttemptEnded(
                run=message.run,
                verdict=verdict,
                late_s=late_s,
                ended=self._clock.now(),
                status=0 if response is None else response.status,
                outcome=headers.get("Monsoon-Outcome", ""),
                reason=headers.get("Monsoon-Reason", ""),
            )
        )

    def close(self) -> None:
        """Close the connections."""
        for pool in self._pools.values():
            pool.close()

    def _send(self, message):
        """Return the response, None if there is none, and the verdict."""
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
        return response, judge(response, message.id)

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            pool = HTTPConnectionPool(
                address.host, address.port, maxsize=1, retries=False
            )
            self._pools[address] = pool
        return pool


def make_headers(message: SendCall) -> dict[str, str]:
    """Return the headers of an attempt."""
    stream = message.stream
    headers = {ID_HEADER: message.id, "Monsoon-Timeout-Ms": str(stream.timeout_ms)}
    if stream.key:
        headers["Authorization"] = f"Bearer {stream.key}"
    if stream.idempotency == IDEMPOTENCY_PER_CALL:
        headers["Idempotency-Key"] = message.id
    return headers


def make_request_body(request_id: str, size: int) -> bytes | None:
    """Return a body of ``size`` bytes that repeats the id; None for no body."""
    if not size:
        return None
    pattern = request_id.encode() + b"\n"
    return (pattern * (size // len(pattern) + 1))[:size]


def judge(response, request_id: str) -> Verdict:
    """Return whether an answer is whole, broken, a refusal or a failure."""
    if response.status == OK_STATUS:
        crc = response.headers.get(CRC_HEADER)
        is_good = is_intact(response.data, crc, request_id)
        return Verdict.WHOLE if is_good else Verdict.BROKEN
    if response.headers.get("Monsoon-Outcome") in REFUSED_OUTCOMES:
        return Verdict.REFUSED
    return Verdict.FAILED
