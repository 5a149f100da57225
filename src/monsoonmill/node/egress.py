"""Requests to the local backend server; each worker task owns one connection."""

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
from monsoonmill.node.headers import OUTCOME, end_to_end_headers, forwarded_headers
from monsoonmill.node.waker import Waker
from monsoonmill.reasons import Outcome
from monsoonmill.settings import HttpSettings
from monsoonmill.task import Inbox, MessageTask

SERVER_ERROR = 500
CONNECT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
MAX_IDLE_S = 10.0
"""A connection that has been idle for longer is replaced before its next use."""


class RunError(MonsoonError):
    """A request to the backend server failed in a known way."""

    def __init__(self, failure: RunFailure):
        super().__init__(failure.value)
        self.failure = failure


def states_not_run(response: HttpResponse) -> bool:
    """Return whether a response states that the request was not run."""
    if response.status < SERVER_ERROR:
        return False
    return any(
        name.lower() == OUTCOME.lower() and value == Outcome.NOT_RUN.value
        for name, value in response.headers
    )


@frozen
class WorkerIdle:
    """A worker has finished its request and is idle."""

    worker: "RunWorker"
    finished: RunFinished


class RunWorker(MessageTask):
    """Sends one request at a time over its own connection.

    A request can be aborted while the worker waits for the response. The backend
    server then sees the connection close.

    Parameters
    ----------
    report_idle : callable
        Posts ``WorkerIdle`` messages to the node's task.
    """

    def __init__(
        self,
        number: int,
        cfg: HttpSettings,
        clock: Clock,
        report_idle: Callable[[WorkerIdle], None],
    ):
        super().__init__(f"run-{number}")
        self._cfg = cfg
        self._clock = clock
        self._report_idle = report_idle
        self._conn: HTTPConnection | None = None
        self._address: Address | None = None
        self._last_used_at = 0.0
        self._waker = Waker()
        self._abort_requests = Inbox()
        self._registered_socket: socket | None = None
        self._selector = DefaultSelector()
        self._selector.register(self._waker.reader, EVENT_READ)

    def abort(self, attempt: str) -> None:
        """Abort an attempt if the worker is still processing it; thread-safe."""
        self._abort_requests.post(attempt)
        self._waker.wake()

    def handle(self, message: RunCall) -> None:
        """Send a request and report its result."""
        try:
            response = self._run(message)
            not_run = states_not_run(response)
            if not_run:
                # Responses name no request: a second copy of this one could not be
                # told from the response to the next request.
                self._disconnect()
            finished = RunFinished(message.attempt, response, None, not_run)
        except RunError as exc:
            self._disconnect()
            finished = RunFinished(message.attempt, None, exc.failure)
        self._report_idle(WorkerIdle(self, finished))

    def close(self) -> None:
        """Close the connection and the worker's own descriptors."""
        self._disconnect()
        self._selector.close()
        self._waker.close()

    def _run(self, call):
        deadline = self._clock.now() + call.timeout_s
        self._connect(call)
        self._send(call)
        self._await_response(call.attempt, deadline)
        return self._read_response(call, deadline)

    def _connect(self, call):
        idle_s = self._clock.now() - self._last_used_at
        is_reusable = self._address == call.address and idle_s < MAX_IDLE_S
        if self._conn is not None and is_reusable and self._conn.is_connected:
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
        self._registered_socket = self._conn.sock
        self._selector.register(self._registered_socket, EVENT_READ)

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

    def _await_response(self, attempt, deadline):
        sock = self._conn.sock
        while (remaining_s := deadline - self._clock.now()) > 0:
            ready = {key.fileobj for key, _ in self._selector.select(remaining_s)}
            if self._waker.reader in ready and self._is_abort_requested(attempt):
                raise RunError(RunFailure.ABORTED)
            if sock in ready:
                sock.settimeout(max(remaining_s, MIN_TIMEOUT_S))
                return
        raise RunError(RunFailure.TIMED_OUT)

    def _is_abort_requested(self, attempt):
        self._waker.clear()
        aborted_attempts = iter(lambda: self._abort_requests.take(0), None)
        return attempt in set(aborted_attempts)

    def _read_response(self, call, deadline):
        try:
            response = self._conn.getresponse()
        except TimeoutError as exc:
            raise RunError(RunFailure.TIMED_OUT) from exc
        except OSError as exc:
            raise RunError(RunFailure.CONNECTION_LOST) from exc
        except (HTTPError, HTTPException) as exc:
            raise RunError(RunFailure.BROKEN_ANSWER) from exc
        body = self._read_body(response)
        self._last_used_at = self._clock.now()
        headers = tuple(end_to_end_headers(response.headers.items()))
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
        if self._registered_socket is not None:
            self._selector.unregister(self._registered_socket)
            self._registered_socket = None
        if self._conn is not None:
            self._conn.close()
            self._conn = None


class RunPool:
    """Pool of workers for requests to the backend server; grows on demand.

    It is owned by the node's task, which passes ``WorkerIdle`` messages to it.

    Parameters
    ----------
    report_idle : callable
        Posts ``WorkerIdle`` messages to the node's task; called by the workers.
    """

    def __init__(
        self, cfg: HttpSettings, clock: Clock, report_idle: Callable[[WorkerIdle], None]
    ):
        self._cfg = cfg
        self._clock = clock
        self._report_idle = report_idle
        self._idle_workers: list[RunWorker] = []
        self._busy_workers: dict[str, RunWorker] = {}
        self._worker_count = 0

    def run(self, call: RunCall) -> None:
        """Assign a request to an idle worker, or to a new one."""
        worker = (
            self._idle_workers.pop() if self._idle_workers else self._start_worker()
        )
        self._busy_workers[call.attempt] = worker
        worker.post(call)

    def abort(self, attempt: str) -> None:
        """Abort an attempt if a worker is still processing it."""
        worker = self._busy_workers.get(attempt)
        if worker is not None:
            worker.abort(attempt)

    def on_worker_idle(self, worker_idle: WorkerIdle) -> None:
        """Return a worker that has finished its request to the pool."""
        self._busy_workers.pop(worker_idle.finished.attempt, None)
        self._idle_workers.append(worker_idle.worker)

    def _start_worker(self):
        self._worker_count += 1
        worker = RunWorker(
            self._worker_count, self._cfg, self._clock, self._report_idle
        )
        worker.start()
        return worker
