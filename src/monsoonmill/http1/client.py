"""Connections to the local backend server, in the node's task."""

from abc import ABC, abstractmethod
from enum import Enum, unique
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from socket import (
    IPPROTO_TCP,
    MSG_PEEK,
    SO_ERROR,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.calls.signals import (
    AbortRun,
    RunCall,
    RunFailure,
    RunFinished,
)
from monsoonmill.errors import ProtocolError
from monsoonmill.eventlog import get_logger
from monsoonmill.http1.buffer_budget import BufferBudget
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.parsing import ResponseReader
from monsoonmill.model import Address, HttpResponse
from monsoonmill.node.network import Channel, NetworkComponent

READ_BYTES = 1 << 16
CONNECT_TIMEOUT_S = 1.0
"""Time limit for connecting; the backend server runs on the same host."""
SWEEP_INTERVAL_S = 1.0
"""Interval at which idle connections and connection attempts are checked."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Idle connections are closed this long before the backend server may close them."""

log = get_logger("backend")


@unique
class ResponseKind(Enum):
    """How a response relates to the pending request of its connection.

    ``NOT_RUN_WITHOUT_ID`` is a refusal that names no request. A second copy of it could
    not be told from a refusal of the next request, so its connection is closed.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    NOT_RUN_WITHOUT_ID = "not-run-without-id"
    UNMATCHED = "stray"
    INVALID = "invalid"


class BackendProtocol(ABC):
    """Encodes requests for a backend server and classifies its responses."""

    @abstractmethod
    def encode(self, call: RunCall) -> bytes:
        """Return the bytes of a request."""

    @abstractmethod
    def classify(self, call: RunCall, resp: HttpResponse) -> ResponseKind:
        """Return how a response relates to the pending request."""

    @abstractmethod
    def keep_alive_s(self, resp: HttpResponse) -> float | None:
        """Return the keep-alive time-out that a response announces, if any."""


class BackendConnection(Channel):
    """A connection to the backend server, with its state chart.

    Attributes
    ----------
    call : RunCall or None
        The pending request.
    """

    def __init__(self, sock: socket, call: RunCall, pool: "BackendPool", now: float):
        self.sock = sock
        self.address = call.address
        self.call: RunCall | None = call
        self.started_at = now
        self.expires_at = now
        self.results: list[RunFinished] = []
        self._pool = pool
        limits = pool.limits
        self._reader = ResponseReader(
            limits.max_header_bytes, limits.max_body_bytes, limits.max_header_lines
        )
        self._send_buffer = bytearray()
        self._mask = EVENT_READ | EVENT_WRITE
        self._allows_reuse = True
        self._checked_headers: list | None = None
        self.chart = BACKEND_CHART.start(self)

    # Guards and actions.
    def is_reusable(self, arg):
        """Return whether the connection can carry a further request."""
        has_no_input = self._reader.is_idle and not self._reader.responses
        return self._allows_reuse and has_no_input and not self._send_buffer

    def has_unsent_request(self, arg):
        """Return whether the backend server answered before it read the whole request.

        It reads the rest later, so that a further request must not be sent before.
        """
        has_no_input = self._reader.is_idle and not self._reader.responses
        return self._allows_reuse and has_no_input and bool(self._send_buffer)

    def is_not_reusable(self, arg):
        """Return whether the connection must be closed after its response."""
        return not self.is_reusable(arg) and not self.has_unsent_request(arg)

    def send_request(self, arg):
        """Append the encoded request to the send buffer."""
        self._reader.expect_response(self.call.request.method)
        self._send_buffer += self._pool.protocol.encode(self.call)

    def report_response(self, finished: RunFinished):
        """Report the response."""
        self._report(finished)

    def report_not_sent(self, arg):
        """Report that the connection could not be established."""
        self._fail(RunFailure.NOT_SENT)

    def report_connection_lost(self, arg):
        """Report that the connection was lost; the request may have run."""
        self._fail(RunFailure.CONNECTION_LOST)

    def report_invalid_response(self, arg):
        """Report that the response is truncated or invalid."""
        self._fail(RunFailure.BROKEN_ANSWER)

    def report_aborted(self, arg):
        """Report that the request was aborted."""
        self._fail(RunFailure.ABORTED)

    def join_idle(self, arg):
        """Make the connection available for further requests."""
        self._pool.add_idle(self)

    def close_socket(self, arg):
        """Close the socket, leave the pool and drop what is buffered."""
        self._pool.close_connection(self)
        self._reader.release()
        self._send_buffer.clear()

    def _fail(self, failure):
        self._report(RunFinished(self.call.attempt, None, failure))

    def _report(self, finished):
        self.results.append(finished)
        self._pool.release(self)
        self.call = None

    # Called by the pool and the node's task.
    def on_ready(self, mask: int, now: float):
        """Read and write as the socket allows; return the results."""
        if self.chart.state == "connecting":
            error = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
            self.chart.send("connection_lost" if error else "connected")
        if mask & EVENT_WRITE and not self.chart.finished:
            self.flush()
        if mask & EVENT_READ and not self.chart.finished:
            self._read(now)
        return [*self.take_results(), *self._pool.take_evicted_results()]

    def on_error(self, now: float):
        """Close the connection; its request may have run."""
        self.close_broken()
        return self.take_results()

    def close_broken(self) -> None:
        """Close the connection, since its response cannot be used."""
        self._reader.responses.clear()
        self.chart.send("invalid_response")
        # A connection that is still being established has no response.
        self.chart.send("connection_lost")

    def send_next(self, call: RunCall, now: float) -> None:
        """Send a further request over the idle connection."""
        self.call = call
        self.started_at = now
        self.chart.send("reuse")
        self.flush()

    def has_input(self) -> bool:
        """Return whether the idle connection has ended or has unexpected bytes.

        The selector may not have reported it yet. A request that is sent on a
        connection that has ended may have run, as far as the node can tell.
        """
        try:
            self.sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def take_results(self) -> list[RunFinished]:
        """Remove and return the accumulated results."""
        results, self.results = self.results, []
        return results

    def flush(self) -> None:
        """Write as much of the send buffer as the socket accepts."""
        while self._send_buffer:
            try:
                sent = self.sock.send(self._send_buffer)
            except BlockingIOError:
                break
            except OSError:
                self.chart.send("connection_lost")
                return
            del self._send_buffer[:sent]
        else:
            self.chart.send("request_sent")
        self._update_events()

    def _update_events(self):
        if self.chart.finished:
            return
        mask = EVENT_READ | (EVENT_WRITE if self._send_buffer else 0)
        if mask != self._mask:
            self._mask = mask
            self._pool.selector.modify(self.sock, mask, self)

    def _read(self, now):
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.chart.send("connection_lost")
            return
        if data and self.call is None:
            log.info("unexpected_bytes", size=len(data))
            self.chart.send("invalid_response")
            return
        try:
            if data:
                self._reader.feed(data)
                self._pool.count_buffered(self, self._reader.held_bytes)
            elif not self._reader.feed_eof():
                is_truncated = not self._reader.is_idle
                self.chart.send(
                    "invalid_response" if is_truncated else "connection_lost"
                )
                return
        except ProtocolError as exc:
            log.info("bad_response", error=str(exc))
            # A response that was complete before the invalid bytes is not affected.
            self._allows_reuse = False
            self._process_responses(now)
            self.close_broken()
            return
        self._process_responses(now)
        if not self.chart.finished:
            self._check_incomplete_head()

    def _process_responses(self, now):
        while self._reader.responses and not self.chart.finished:
            resp, keeps_alive = self._reader.responses.popleft()
            if self.call is None:
                self.chart.send("invalid_response")
                return
            self._process_response(resp, keeps_alive, now)

    def _check_incomplete_head(self):
        """Close the connection if the response being received can't be an answer.

        Its body is not awaited, since it may be long or have no end.
        """
        if self._checked_headers is self._reader.headers:
            return
        head = self._reader.incomplete_head()
        if head is None:
            return
        self._checked_headers = self._reader.headers
        kind = self._pool.protocol.classify(self.call, head)
        is_last = not self._reader.has_length()
        if kind is ResponseKind.INVALID or (kind is ResponseKind.UNMATCHED and is_last):
            log.info("unusable_response", attempt=self.call.attempt, status=head.status)
            self.close_broken()

    def _process_response(self, resp, keeps_alive, now):
        protocol = self._pool.protocol
        kind = protocol.classify(self.call, resp)
        if kind is ResponseKind.UNMATCHED:
            log.info(
                "unmatched_response", attempt=self.call.attempt, status=resp.status
            )
            self._allows_reuse = False
            if not keeps_alive:
                self.chart.send("connection_lost")
            return
        if kind is ResponseKind.INVALID:
            self.chart.send("invalid_response")
            return
        has_id = kind is not ResponseKind.NOT_RUN_WITHOUT_ID
        self._allows_reuse = self._allows_reuse and keeps_alive and has_id
        limits = self._pool.limits
        idle_s = protocol.keep_alive_s(resp)
        idle_s = limits.idle_s if idle_s is None else min(idle_s, limits.idle_s)
        self.expires_at = now + idle_s - KEEP_ALIVE_MARGIN_S
        is_not_run = kind is ResponseKind.NOT_RUN or not has_id
        finished = RunFinished(self.call.attempt, resp, None, is_not_run)
        self.chart.send("response_received", finished)


BACKEND_CHART = bind_methods("backend_connection", BackendConnection)


class BackendPool(NetworkComponent):
    """Pool of connections to the backend server, with one request on each at a time."""

    def __init__(self, protocol: BackendProtocol, limits: ConnectionLimits):
        self.protocol = protocol
        self.limits = limits
        self.selector: BaseSelector | None = None
        self._idle: list[BackendConnection] = []
        self._sending: set[BackendConnection] = set()
        self._budget = BufferBudget(limits.max_buffered_bytes)
        self._evicted_results: list[RunFinished] = []
        self._busy: dict[str, BackendConnection] = {}
        self._next_sweep_at = 0.0

    def signal_handlers(self):
        """Return the handlers of the signals that concern the backend server."""
        return {RunCall: self.on_run, AbortRun: self.on_abort}

    def open(self, selector: BaseSelector, now: float) -> None:
        """Store the task's selector; connections are opened on demand."""
        self.selector = selector
        self._next_sweep_at = now + SWEEP_INTERVAL_S

    def on_run(self, call: RunCall, now: float):
        """Send a request over an idle connection, or else over a new one."""
        conn = self._pop_idle(call.address, now)
        if conn is None:
            conn = self._connect(call, now)
            self._busy[call.attempt] = conn
        else:
            self._busy[call.attempt] = conn
            conn.send_next(call, now)
        return conn.take_results()

    def _pop_idle(self, address: Address, now):
        while self._idle:
            conn = self._idle.pop()
            is_current = conn.address == address and now < conn.expires_at
            if is_current and not conn.has_input():
                return conn
            conn.chart.send("expire")
        return None

    def _connect(self, call, now):
        sock = socket()
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        conn = BackendConnection(sock, call, self, now)
        self.selector.register(sock, EVENT_READ | EVENT_WRITE, conn)
        sock.connect_ex((call.address.host, call.address.port))
        return conn

    def on_abort(self, signal: AbortRun, now: float):
        """Abort a request by closing its connection."""
        conn = self._busy.get(signal.attempt)
        if conn is None:
            return ()
        conn.chart.send("abort")
        return conn.take_results()

    def release(self, conn: BackendConnection) -> None:
        """Remove a connection whose request has ended from the busy ones."""
        self._busy.pop(conn.call.attempt, None)
        self._budget.forget(conn)
        self._sending.add(conn)

    def add_idle(self, conn: BackendConnection) -> None:
        """Make a connection available for further requests."""
        self._sending.discard(conn)
        self._idle.append(conn)

    def count_buffered(self, conn: BackendConnection, size: int) -> None:
        """Record the size of a response; close the largest one if needed."""
        largest = self._budget.record(conn, size)
        if largest is not None:
            log.warning("body_budget_exceeded", total=self._budget.total_bytes)
            largest.close_broken()
            if largest is not conn:
                self._evicted_results.extend(largest.take_results())

    def take_evicted_results(self) -> list[RunFinished]:
        """Remove and return the results of connections closed for their bodies."""
        results, self._evicted_results = self._evicted_results, []
        return results

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the response bodies that are being received."""
        return self._budget.total_bytes

    def close_connection(self, conn: BackendConnection) -> None:
        """Close a connection's socket and remove it from the idle ones."""
        if conn in self._idle:
            self._idle.remove(conn)
        self._sending.discard(conn)
        self._budget.forget(conn)
        self.selector.unregister(conn.sock)
        conn.sock.close()

    @property
    def in_progress(self) -> int:
        """Number of pending requests."""
        return len(self._busy)

    def next_due(self):
        """Return the time of the next sweep."""
        return self._next_sweep_at

    def tick(self, now):
        """Close expired idle connections and time out connection attempts."""
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        for conn in [*self._idle, *self._sending]:
            if now >= conn.expires_at:
                conn.chart.send("expire")
        for conn in list(self._busy.values()):
            is_connecting = conn.chart.state == "connecting"
            if is_connecting and now - conn.started_at > CONNECT_TIMEOUT_S:
                conn.chart.send("connection_lost")
                yield from conn.take_results()

    def close(self) -> None:
        """Close all connections."""
        for conn in [*self._idle, *self._sending, *self._busy.values()]:
            conn.sock.close()
