"""HTTP server of the node's ports, run by the node's task."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from itertools import count
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from socket import SHUT_WR, socket

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.calls.signals import Answer, CallerDisconnected
from monsoonmill.decisions.lifecycle.signals import DrainStarted
from monsoonmill.errors import HttpMessageTooLargeError, InvalidHttpMessageError
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.http1.buffer_budget import BufferBudget
from monsoonmill.http1.messages import ConnectionLimits, encode_response
from monsoonmill.http1.parsing import RequestReader
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.node.listening_port import ListeningPort
from monsoonmill.node.network import Channel, NetworkComponent

READ_BYTES = 1 << 16
LISTEN_BACKLOG = 1024
ACCEPT_BATCH = 64
"""Maximum number of connections accepted before open ones are served again."""
SWEEP_INTERVAL_S = 1.0
"""Interval at which idle and slow connections are checked."""
LINGER_S = 1.0
"""Time for which a caller may go on sending after its connection's last response."""
BODY_BUDGET_STATUS = 503
BODY_BUDGET_RETRY_S = "1"
"""Value of Retry-After for a request whose body there is no memory for."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = get_logger("http")


class WebApp(ABC):
    """Application that handles the requests of one port."""

    @abstractmethod
    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Return a response, or a signal that an ``Answer`` will follow.

        Parameters
        ----------
        name : str
            Name of the request, unique in this process; the answer has it as its
            ``call``.
        """

    @abstractmethod
    def render(self, answer: Answer) -> HttpResponse:
        """Return the response for an answer."""

    def request_signals(self, req: HttpRequest, now: float) -> Iterable[object]:
        """Yield the signals that a request raises besides its response."""
        return ()


class CallerConnection(Channel):
    """A connection from a caller, with its state chart.

    A caller that closes its end of the connection while its request is pending
    counts as disconnected.
    """

    def __init__(self, sock: socket, server: "WebServer", now: float):
        self.sock = sock
        self.last_used_at = now
        self.request_started_at: float | None = None
        self.lingers_until = float("inf")
        self.call = ""
        self.signals: list[object] = []
        self._server = server
        limits = server.limits
        self.reader = RequestReader(limits.max_header_bytes, limits.max_body_bytes)
        self._send_buffer = bytearray()
        self._mask = EVENT_READ
        self._req: HttpRequest | None = None
        self._rejection: HttpResponse | None = None
        self._allows_keep_alive = True
        self._is_serving = False
        self._now = now
        self.chart = CALLER_CHART.start(self)

    # Guards and actions.
    def keeps_alive(self, resp):
        """Return whether the connection stays open after the response."""
        return self._allows_keep_alive and not self._server.is_draining

    def is_last_response(self, resp):
        """Return whether the connection is closed after the response."""
        return not self.keeps_alive(resp)

    def take_request(self, arg):
        """Take the next complete request and give it a name."""
        self._req, self._allows_keep_alive = self.reader.requests.popleft()
        self.call = self._server.next_call_name()

    def may_have_unread_input(self, arg):
        """Return whether the caller may have sent more than the last request.

        Closing a socket with unread input resets the connection, and the caller may
        lose the response.
        """
        if self._rejection is not None:
            return True
        return self._server.is_draining or not self.reader.is_idle

    def has_read_all_input(self, arg):
        """Return whether the caller sends nothing after the last request."""
        return not self.may_have_unread_input(arg)

    def end_output(self, arg):
        """Send the end of the stream; discard input until the caller sends its end."""
        self.lingers_until = self._now + LINGER_S
        self._release_buffers()
        try:
            self.sock.shutdown(SHUT_WR)
        except OSError:
            self.lingers_until = self._now

    def write_response(self, resp: HttpResponse):
        """Append the encoded response to the send buffer."""
        keeps_alive = self.keeps_alive(resp)
        self._send_buffer += encode_response(resp, self._req.method, keeps_alive)
        self.call = ""
        self._req = None
        self._server.budget.forget(self)
        self.last_used_at = self._now

    def report_disconnect(self, arg):
        """Report that the caller disconnected before its request was answered."""
        self.signals.append(CallerDisconnected(self.call))

    def close_socket(self, arg):
        """Close the socket, leave the server and drop what is buffered."""
        self._server.close_connection(self)
        self._release_buffers()

    def _release_buffers(self):
        self._server.budget.forget(self)
        self.reader.release()
        self._send_buffer.clear()
        self._req = None

    # Called by the server and the node's task.
    def on_ready(self, mask: int, now: float):
        """Read and write as the socket allows; yield signals."""
        self._now = now
        if mask & EVENT_WRITE:
            self._flush()
        if mask & EVENT_READ and not self.chart.finished:
            self._read(now)
            yield from self._serve(now)
        yield from self._take_signals()

    def begin_close(self, now: float):
        """Serve what has arrived, and close the connection if nothing is pending."""
        yield from self.on_ready(EVENT_READ, now)
        if self.is_idle:
            self.chart.send("close_requested")

    def on_error(self, now: float):
        """Close the connection without a response."""
        self.abort()
        return self._take_signals()

    def respond(self, resp: HttpResponse, now: float):
        """Send the response to the pending request and serve the requests after it."""
        self._now = now
        self.chart.send("response_ready", resp)
        self._flush()
        yield from self._serve(now)
        yield from self._take_signals()

    def reject(self, status: int, detail: str, headers=()) -> None:
        """Send an error response to an invalid request and close the connection.

        The responses to earlier requests are sent first. Further input is discarded.
        """
        self._rejection = HttpResponse(status, headers, detail.encode())
        self.reader.stop()
        self._server.budget.record(self, self._body_size())
        self._send_rejection()

    def _send_rejection(self):
        """Send the error response unless earlier requests are pending."""
        if self.chart.state != "reading" or self.reader.requests:
            return
        self._send_buffer += encode_response(self._rejection, "GET", False)
        self.chart.send("request_rejected")
        self._flush()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.chart.send("disconnected")

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending or being received, and all is written out."""
        return self.awaits_request and not self._send_buffer

    @property
    def awaits_request(self) -> bool:
        """Whether no request is pending or being received."""
        return self.chart.state == "reading" and self.reader.is_idle

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer is not written out yet."""
        return bool(self._send_buffer)

    def _take_signals(self):
        signals, self.signals = self.signals, []
        return signals

    def _read(self, now):
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.chart.send("disconnected")
            return
        if not data:
            self.chart.send("disconnected")
            return
        is_ending = self.chart.state in ("flushing", "lingering")
        if is_ending or self._rejection is not None:
            return
        if self.request_started_at is None:
            self.request_started_at = now
        self._feed(data)

    def _feed(self, data):
        try:
            self.reader.feed(data)
        except HttpMessageTooLargeError as exc:
            self.reject(431 if exc.part == "headers" else 413, str(exc))
        except InvalidHttpMessageError as exc:
            log.info("bad_request", error=str(exc))
            self.reject(400, "malformed request")
        else:
            self._count_body()
            if self.reader.has_headers and not self.reader.is_idle:
                self._send_continue()

    def _count_body(self):
        """Refuse the request if the bodies of all requests exceed their budget.

        A request that is still being received has not run.
        """
        largest = self._server.budget.record(self, self._body_size())
        if largest is not None and not self.reader.is_idle:
            log.warning("body_budget_exceeded", total=self._server.budget.total_bytes)
            retry_after = (("Retry-After", BODY_BUDGET_RETRY_S),)
            self.reject(BODY_BUDGET_STATUS, "out of memory for bodies\n", retry_after)

    def _body_size(self):
        size = len(self.reader.body)
        size += sum(len(req.body) for req, _ in self.reader.requests)
        return size if self._req is None else size + len(self._req.body)

    def _send_continue(self):
        if self.reader.header("expect").lower() == "100-continue":
            if not self.reader.body and self.chart.state == "reading":
                self._send_buffer += CONTINUE_RESPONSE
                self._flush()

    def _serve(self, now):
        # A response that is ready at once calls this again; the loop below goes on.
        if self._is_serving:
            return
        self._is_serving = True
        try:
            while self.chart.state == "reading" and self.reader.requests:
                self.request_started_at = None
                self.chart.send("request_received")
                yield from self._server.serve(self, self.call, self._req, now)
        finally:
            self._is_serving = False
        if self._rejection is not None:
            self._send_rejection()

    def _flush(self):
        while self._send_buffer:
            try:
                sent = self.sock.send(self._send_buffer)
            except BlockingIOError:
                break
            except OSError:
                self.chart.send("disconnected")
                return
            del self._send_buffer[:sent]
            self.last_used_at = self._now
        else:
            self.chart.send("flushed")
        self._update_events()

    def _update_events(self):
        if self.chart.finished:
            return
        mask = EVENT_READ | (EVENT_WRITE if self._send_buffer else 0)
        if mask != self._mask:
            self._mask = mask
            self._server.selector.modify(self.sock, mask, self)


CALLER_CHART = bind_methods("caller_connection", CallerConnection)


class Listener(Channel):
    """Accepts the connections of a server's port."""

    def __init__(self, server: "WebServer"):
        self._server = server

    def on_error(self, now: float):
        """Do nothing, since the port stays open."""
        return ()

    def on_ready(self, mask: int, now: float):
        """Accept a batch of connections; the selector reports any that remain."""
        yield from self.accept(ACCEPT_BATCH, now)

    def accept(self, limit: int, now: float):
        """Accept up to ``limit`` connections and read what they have received."""
        for _ in range(limit):
            try:
                sock, _ = self._server.port.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                request_log.write("accept_failed", error=str(exc))
                return
            yield from self._server.add_connection(sock, now)


class WebServer(NetworkComponent):
    """HTTP server on one port.

    Attributes
    ----------
    is_draining : bool
        Whether each connection ends with its next response.
    """

    def __init__(self, address: Address, app: WebApp, limits: ConnectionLimits):
        self.limits = limits
        self.budget = BufferBudget(limits.max_buffered_bytes)
        self.is_draining = False
        self.selector: BaseSelector | None = None
        self.port: ListeningPort | None = None
        self._address = address
        self._app = app
        self._name_counter = count(1)
        self._listener = Listener(self)
        self._conns: set[CallerConnection] = set()
        self._pending: dict[str, CallerConnection] = {}
        self._next_sweep_at = 0.0

    def signal_handlers(self):
        """Return the handlers of the signals that concern callers."""
        return {Answer: self.on_answer, DrainStarted: self.on_drain_started}

    def open(self, selector: BaseSelector, now: float) -> None:
        """Listen on the port, as soon as it is free."""
        self.selector = selector
        self.port = ListeningPort(
            self._address, LISTEN_BACKLOG, selector, self._listener
        )
        self.port.open(now)
        self._next_sweep_at = now + SWEEP_INTERVAL_S

    @property
    def is_listening(self) -> bool:
        """Whether the port is open."""
        return self.port is not None and self.port.is_open

    def next_call_name(self) -> str:
        """Return a unique name for a request."""
        return f"{self._address.port}/{next(self._name_counter)}"

    def add_connection(self, sock: socket, now: float):
        """Add an accepted connection and read what it has already received."""
        sock.setblocking(False)
        conn = CallerConnection(sock, self, now)
        self._conns.add(conn)
        self.selector.register(sock, EVENT_READ, conn)
        yield from self._contain_errors(conn, conn.on_ready(EVENT_READ, now), now)

    def serve(self, conn: CallerConnection, name: str, req: HttpRequest, now: float):
        """Respond to a request immediately, or yield the signal that it causes."""
        yield from self._app.request_signals(req, now)
        result = self._app.handle(name, req)
        if isinstance(result, HttpResponse):
            yield from conn.respond(result, now)
            return
        self._pending[name] = conn
        yield result

    def on_answer(self, answer: Answer, now: float):
        """Send an answer over the connection of its request."""
        conn = self._pending.pop(answer.call, None)
        if conn is not None and conn.call == answer.call:
            yield from conn.respond(self._app.render(answer), now)

    def close_connection(self, conn: CallerConnection) -> None:
        """Close a connection's socket and drop its pending request."""
        self._conns.discard(conn)
        self._pending.pop(conn.call, None)
        self.selector.unregister(conn.sock)
        conn.sock.close()
        self._resume_accepting()

    def _resume_accepting(self):
        if self.port is not None:
            self.port.resume()

    @property
    def in_progress(self) -> int:
        """Number of requests whose answer is pending or not written out yet."""
        return len(self._pending) + sum(conn.has_unsent for conn in self._conns)

    @property
    def connection_count(self) -> int:
        """Number of open connections from callers."""
        return len(self._conns)

    def on_drain_started(self, signal: DrainStarted, now: float):
        """End each connection with its next response.

        Idle connections stay open, since a request may be on its way.
        """
        self.is_draining = True
        return ()

    def begin_close(self, now: float):
        """Accept and serve what has arrived; close the port and idle connections."""
        self.is_draining = True
        if self.is_listening:
            # The kernel resets connections that are not accepted when the port closes;
            # its queue holds one more than the backlog.
            yield from self._listener.accept(LISTEN_BACKLOG + 1, now)
        self._close_port()
        for conn in list(self._conns):
            yield from self._contain_errors(conn, conn.begin_close(now), now)

    def _contain_errors(self, conn, signals, now):
        """Yield the signals of a connection; an unexpected error ends only this one."""
        try:
            yield from signals
        except Exception as exc:
            log.warning("connection_failed", error=type(exc).__name__)
            log.traceback()
            yield from conn.on_error(now)

    def next_due(self):
        """Return the time of the next sweep or attempt to open the port."""
        return min(self._next_sweep_at, self.port.next_due())

    def tick(self, now):
        """Close idle and stalled connections; reject requests with overdue headers.

        A request that has arrived on an idle connection is served.
        """
        self.port.tick(now)
        if now < self._next_sweep_at:
            return ()
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        # Other parts of the process may have closed descriptors.
        self._resume_accepting()
        signals = []
        for conn in list(self._conns):
            if now >= conn.lingers_until:
                conn.chart.send("linger_timeout")
                continue
            is_unused = now - conn.last_used_at > self.limits.idle_s
            if is_unused and conn.is_idle:
                signals.extend(conn.begin_close(now))
            elif is_unused and conn.awaits_request:
                conn.abort()
            elif self._are_headers_overdue(conn, now):
                conn.reject(408, "the headers came too slowly")
        return signals

    def _are_headers_overdue(self, conn, now):
        awaits_headers = not conn.reader.is_idle and not conn.reader.has_headers
        if conn.chart.state != "reading":
            return False
        request_started_at = conn.request_started_at
        return (
            awaits_headers
            and request_started_at is not None
            and now - request_started_at > self.limits.header_s
        )

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self._close_port()
        for conn in list(self._conns):
            conn.abort()

    def _close_port(self):
        if self.port is not None:
            self.port.close()
