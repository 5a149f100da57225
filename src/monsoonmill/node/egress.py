"""Requests to the local backend server; each worker task owns one connection."""

from collections.abc import Callable
from re import compile as compile_pattern
from selectors import EVENT_READ, DefaultSelector
from socket import IPPROTO_TCP, TCP_NODELAY, create_connection, socket

from attrs import frozen

from monsoonmill.clock import Clock
from monsoonmill.decisions.calls.signals import RunCall, RunFailure, RunFinished
from monsoonmill.errors import MonsoonError, ProtocolError
from monsoonmill.http1.messages import encode_request
from monsoonmill.http1.parsing import ResponseReader
from monsoonmill.model import Address, HttpResponse
from monsoonmill.node.headers import OUTCOME, end_to_end_headers, forwarded_headers
from monsoonmill.node.waker import Waker
from monsoonmill.reasons import Outcome
from monsoonmill.settings import HttpSettings
from monsoonmill.task import Inbox, MessageTask

SERVER_ERROR = 500
CONNECT_TIMEOUT_S = 1.0
MIN_TIMEOUT_S = 0.001
READ_BYTES = 1 << 16
CONTROL_CHARACTERS = compile_pattern("[\0-\x08\x0a-\x1f\x7f]")
"""Characters that could end a line of a request's head; a tab cannot."""
MAX_IDLE_S = 10.0
"""A connection that has been idle for longer is replaced before its next use."""


def _percent_encode(match):
    return f"%{ord(match[0]):02X}"


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
        self._sock: socket | None = None
        self._reader: ResponseReader | None = None
        self._address: Address | None = None
        self._last_used_at = 0.0
        self._waker = Waker()
        self._abort_requests = Inbox()
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
        return self._receive_response(call, deadline)

    def _connect(self, call):
        idle_s = self._clock.now() - self._last_used_at
        is_reusable = self._address == call.address and idle_s < MAX_IDLE_S
        if self._sock is not None and is_reusable and not self._has_input():
            return
        self._disconnect()
        self._address = call.address
        address = (call.address.host, call.address.port)
        timeout_s = min(CONNECT_TIMEOUT_S, call.timeout_s)
        try:
            self._sock = create_connection(address, timeout_s)
        except OSError as exc:
            raise RunError(RunFailure.NOT_SENT) from exc
        self._sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        cfg = self._cfg
        self._reader = ResponseReader(cfg.max_header_bytes, cfg.max_body_bytes)
        self._selector.register(self._sock, EVENT_READ)

    def _has_input(self):
        """Return whether the idle connection has unexpected bytes or was closed."""
        return self._sock in {key.fileobj for key, _ in self._selector.select(0)}

    def _send(self, call):
        data = self._encode(call)
        self._reader.expect_response(call.request.method)
        self._sock.settimeout(call.timeout_s)
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise RunError(RunFailure.CONNECTION_LOST) from exc

    def _encode(self, call):
        req = call.request
        headers = {
            "Host": f"{call.address.host}:{call.address.port}",
            "Accept-Encoding": "identity",
            **dict(forwarded_headers(req.headers)),
            "Monsoon-Context": call.context,
            "Monsoon-Timeout-Ms": str(max(int(call.timeout_s * 1000), 1)),
        }
        lines = (
            (name, CONTROL_CHARACTERS.sub(" ", value))
            for name, value in headers.items()
        )
        path = CONTROL_CHARACTERS.sub(_percent_encode, req.path)
        return encode_request(req.method, path, lines, req.body)

    def _receive_response(self, call, deadline):
        while not self._reader.responses:
            self._await_input(call.attempt, deadline)
            self._read()
        resp, keeps_alive = self._reader.responses.popleft()
        self._last_used_at = self._clock.now()
        if not keeps_alive or not self._reader.is_idle or self._reader.responses:
            self._disconnect()
        headers = tuple(end_to_end_headers(resp.headers))
        return HttpResponse(resp.status, headers, resp.body)

    def _await_input(self, attempt, deadline):
        while (remaining_s := deadline - self._clock.now()) > 0:
            ready = {key.fileobj for key, _ in self._selector.select(remaining_s)}
            if self._waker.reader in ready and self._is_abort_requested(attempt):
                raise RunError(RunFailure.ABORTED)
            if self._sock in ready:
                self._sock.settimeout(max(remaining_s, MIN_TIMEOUT_S))
                return
        raise RunError(RunFailure.TIMED_OUT)

    def _is_abort_requested(self, attempt):
        self._waker.clear()
        aborted_attempts = iter(lambda: self._abort_requests.take(0), None)
        return attempt in set(aborted_attempts)

    def _read(self):
        try:
            data = self._sock.recv(READ_BYTES)
        except OSError as exc:
            raise RunError(self._loss()) from exc
        if not data:
            if not self._reader.feed_eof():
                raise RunError(self._loss())
            return
        try:
            self._reader.feed(data)
        except ProtocolError as exc:
            # A response that was complete before the invalid bytes is not affected.
            if not self._reader.responses:
                raise RunError(RunFailure.BROKEN_ANSWER) from exc
            self._reader.is_idle = False

    def _loss(self):
        """Return the failure if the connection ends before the response does."""
        is_unused = self._reader.is_idle
        return RunFailure.CONNECTION_LOST if is_unused else RunFailure.BROKEN_ANSWER

    def _disconnect(self):
        if self._sock is not None:
            self._selector.unregister(self._sock)
            self._sock.close()
            self._sock = None
            self._reader.release()


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
