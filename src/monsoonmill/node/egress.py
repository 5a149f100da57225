"""Requests to the own backend server, each by a task with its connection."""

from collections.abc import Callable
from http.client import HTTPException
from selectors import EVENT_READ, DefaultSelector
from socket import socket

from attrs import frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError

from monsoonmill.clock import Clock
from monsoonmill.decisions.calls.signals import RunCall, RunFailure, RunFinished
from monsoonmill.errors import MonsoonError
from monsoonmill.model import Address, HttpResponse
from monsoonmill.node.headers import OUTCOME, forwarded_headers, kept_headers
from monsoonmill.node.wake import Wake
from monsoonmill.reasons import Outcome
from monsoonmill.settings import HttpSettings
from monsoonmill.task import Inbox, MessageTask

SERVER_ERROR = 500
CONNECT_TIMEOUT_S = 1.0
LEAST_TIMEOUT_S = 0.001
IDLE_REUSE_S = 10.0
"""A connection that was idle for longer is replaced before its next use."""


class RunError(MonsoonError):
    """A request failed in a known way."""

    def __init__(self, failure: RunFailure):
        super().__init__(failure.value)
        self.failure = failure


def is_not_run(resp: HttpResponse) -> bool:
    """Return whether a backend server says that it did not run a request."""
    if resp.status < SERVER_ERROR:
        return False
    return any(
        name.lower() == OUTCOME.lower() and value == Outcome.NOT_RUN.value
        for name, value in resp.headers
    )


@frozen
class Idle:
    """A worker has ended its request."""

    worker: "RunWorker"
    finished: RunFinished


class RunWorker(MessageTask):
    """Sends one request at a time over a connection of its own.

    While it waits for the answer it can be woken to abort the request; the
    backend server sees the connection close.
    """

    def __init__(
        self,
        number: int,
        cfg: HttpSettings,
        clock: Clock,
        report: Callable[[Idle], None],
    ):
        super().__init__(f"run-{number}")
        self._cfg = cfg
        self._clock = clock
        self._report = report
        self._conn: HTTPConnection | None = None
        self._address: Address | None = None
        self._used_at = 0.0
        self._wake = Wake()
        self._aborts = Inbox()
        self._watched: socket | None = None
        self._selector = DefaultSelector()
        self._selector.register(self._wake.reader, EVENT_READ)

    def abort(self, attempt: str) -> None:
        """Let the worker give up an attempt if it still is at it."""
        self._aborts.post(attempt)
        self._wake.set()

    def handle(self, message: RunCall) -> None:
        """Send a request and report its end."""
        try:
            resp = self._run(message)
            finished = RunFinished(message.attempt, resp, None, is_not_run(resp))
        except RunError as exc:
            self._disconnect()
            finished = RunFinished(message.attempt, None, exc.failure)
        self._report(Idle(self, finished))

    def close(self) -> None:
        """Close the connection."""
        self._disconnect()
        self._selector.close()
        self._wake.close()

    def _run(self, call):
        deadline = self._clock.now() + call.timeout_s
        self._connect(call)
        self._send(call)
        self._await_answer(call.attempt, deadline)
        return self._read(call, deadline)

    def _connect(self, call):
        idle_s = self._clock.now() - self._used_at
        is_same = self._address == call.address and idle_s < IDLE_REUSE_S
        if self._conn is not None and is_same and self._conn.is_connected:
            return
        self._disconnect()
        self._address = call.address
        self._conn = HTTPConnection(
            call.address.host,
            call.address.port,
            timeout=min(CONNECT_TIMEOUT_S, call.timeout_s),
        )
        try:
            self._conn.connect()
        except (HTTPError, OSError) as exc:
            raise RunError(RunFailure.NOT_SENT) from exc
        self._watched = self._conn.sock
        self._selector.register(self._watched, EVENT_READ)

    def _send(self, call):
        req = call.request
        timeout_ms = str(max(int(call.timeout_s * 1000), 1))
        headers = dict(forwarded_headers(req.headers))
        headers["Monsoon-Context"] = call.context
        headers["Monsoon-Timeout-Ms"] = timeout_ms
        body = req.body or None
        if body is None and req.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = "0"
        self._conn.sock.settimeout(call.timeout_s)
        try:
            self._conn.request(
                req.method, req.path, body, headers, preload_content=False
            )
        except (HTTPError, OSError) as exc:
            raise RunError(RunFailure.CONNECTION_LOST) from exc

    def _await_answer(self, attempt, deadline):
        sock = self._conn.sock
        while (left_s := deadline - self._clock.now()) > 0:
            ready = {key.fileobj for key, _ in self._selector.select(left_s)}
            if self._wake.reader in ready and self._is_aborted(attempt):
                raise RunError(RunFailure.ABORTED)
            if sock in ready:
                sock.settimeout(max(left_s, LEAST_TIMEOUT_S))
                return
        raise RunError(RunFailure.TIMED_OUT)

    def _is_aborted(self, attempt):
        self._wake.clear()
        aborted = iter(lambda: self._aborts.take(0), None)
        return attempt in set(aborted)

    def _read(self, call, deadline):
        try:
            response = self._conn.getresponse()
        except TimeoutError as exc:
            raise RunError(RunFailure.TIMED_OUT) from exc
        except OSError as exc:
            raise RunError(RunFailure.CONNECTION_LOST) from exc
        except (HTTPError, HTTPException) as exc:
            raise RunError(RunFailure.BROKEN_ANSWER) from exc
        body = self._read_body(response)
        self._used_at = self._clock.now()
        headers = tuple(kept_headers(response.headers.items()))
        if response.headers.get("connection", "").lower() == "close":
            self._disconnect()
        return HttpResponse(response.status, headers, body)

    def _read_body(self, response):
        limit = self._cfg.max_body_bytes
        try:
            body = response.read(limit + 1)
        except ReadTimeoutError as exc:
            raise RunError(RunFailure.TIMED_OUT) from exc
        except (HTTPError, HTTPException, OSError) as exc:
            raise RunError(RunFailure.BROKEN_ANSWER) from exc
        if len(body) > limit:
            raise RunError(RunFailure.BROKEN_ANSWER)
        return body

    def _disconnect(self):
        if self._watched is not None:
            self._selector.unregister(self._watched)
            self._watched = None
        if self._conn is not None:
            self._conn.close()
            self._conn = None


class RunPool:
    """Workers for requests to the backend server; as many as are needed.

    Belongs to the node's task, which passes each ``Idle`` message on.

    Parameters
    ----------
    report : callable
        Posts ``Idle`` messages to the owner; workers call it.
    """

    def __init__(self, cfg: HttpSettings, clock: Clock, report: Callable[[Idle], None]):
        self._cfg = cfg
        self._clock = clock
        self._report = report
        self._idle: list[RunWorker] = []
        self._running: dict[str, RunWorker] = {}
        self._started = 0

    def run(self, call: RunCall) -> None:
        """Give a request to a free worker, or to a new one."""
        worker = self._idle.pop() if self._idle else self._start_worker()
        self._running[call.attempt] = worker
        worker.post(call)

    def abort(self, attempt: str) -> None:
        """Abort a request that is still at the backend server."""
        worker = self._running.get(attempt)
        if worker is not None:
            worker.abort(attempt)

    def on_idle(self, idle: Idle) -> None:
        """Take back a worker that has ended its request."""
        self._running.pop(idle.finished.attempt, None)
        self._idle.append(idle.worker)

    def _start_worker(self):
        self._started += 1
        worker = RunWorker(self._started, self._cfg, self._clock, self._report)
        worker.start()
        return worker
