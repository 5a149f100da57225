"""HTTP server of the node's ports, run by the node's task."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from itertools import count
from select import POLLRDHUP, poll
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from socket import SHUT_WR, socket

from monsoonmill.chart import bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.signals import Answer, CallerDisconnected
from monsoonmill.decisions.lifecycle.signals import DrainStarted
from monsoonmill.errors import HttpMessageTooLargeError, InvalidHttpMessageError
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.http1.buffer_budget import BufferBudget
from monsoonmill.http1.memory_budget import MemoryBudget, MemoryHolder
from monsoonmill.http1.messages import (
    DEFAULT_HELD_BYTES,
    ConnectionLimits,
    encode_response,
)
from monsoonmill.http1.parsing import HEADER_LINES, RequestReader
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.node.listening_port import ListeningPort
from monsoonmill.node.network import Channel, NetworkComponent

READ_BYTES = 1 << 16
PARSE_BYTES = 1 << 12
"""Received bytes are parsed in parts of this size until a request is complete, so that
few requests behind the pending one occupy the memory of parsed requests."""
READ_AHEAD_BYTES = 1 << 16
"""A connection is not read while its request is pending and it holds this much of the
next one, in bytes."""
MAX_UNSENT_BYTES = 1 << 16
"""A connection is not read or served while it has more unsent bytes than this."""
MIN_RECORDED_BYTES = 1 << 12
"""Connections that hold less memory are not recorded, which saves processor time for
each call; the number of connections limits them."""
SERVE_BATCH = 8
"""Maximum number of requests of a connection that are served before others are, since
a response such as the metrics takes a millisecond."""
REFUSAL_STATUSES = (429, 503)
REFUSAL_PAUSE_S = 0.25
"""Time after a refusal for which requests that were sent ahead of it wait. Refusals are
so fast that a caller who sends many requests ahead would crowd out others."""
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


class CallerConnection(Channel, MemoryHolder):
    """A connection from a caller, with its state chart.

    A caller that closes its end of the connection while its request is pending
    counts as disconnected.

    Attributes
    ----------
    mask : int
        Selector events that the socket is registered for; 0 while it is not.
    resumes_at : float
        Time until which requests wait that were sent ahead of a refusal.
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
        self.reader = RequestReader(
            limits.max_header_bytes, limits.max_body_bytes, limits.max_header_lines
        )
        self._send_buffer = bytearray()
        self._unparsed = b""
        self._request_bytes = 0
        self._recorded_bytes = 0
        self.resumes_at = 0.0
        self.mask = EVENT_READ
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
        self._req, self._allows_keep_alive, self._request_bytes = (
            self.reader.take_request()
        )
        self.call = self._server.next_call_name()

    def may_have_unread_input(self, arg):
        """Return whether the caller may have sent more than the last request.

        Closing a socket with unread input resets the connection, and the caller may
        lose the response.
        """
        if self._rejection is not None:
            return True
        return self._server.is_draining or self._has_input

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
        self._request_bytes = 0
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
        self._server.memory.forget(self)
        self.reader.release()
        self._unparsed = b""
        self._send_buffer.clear()
        self._req = None
        self._request_bytes = 0

    # Called by the server and the node's task.
    def on_ready(self, mask: int, now: float):
        """Read and write as the socket allows; yield signals."""
        self._now = now
        if mask & EVENT_WRITE:
            self._flush()
        # The selector may have reported a connection before it was paused.
        if mask & self.mask & EVENT_READ and not self.chart.finished:
            self._read(now)
        yield from self._serve(now)
        yield from self._take_signals()
        if self._server.memory.is_exceeded:
            yield from self._server.memory.relieve(now)

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
        if resp.status in REFUSAL_STATUSES and (self.reader.requests or self._unparsed):
            self.resumes_at = now + REFUSAL_PAUSE_S
            self._server.delay(self)
        self._flush()
        yield from self._serve(now)
        yield from self._take_signals()
        if self._server.memory.is_exceeded:
            yield from self._server.memory.relieve(now)

    def give_way(self, now: float):
        """Refuse the request that is being received, or close; yield signals.

        The request is refused only if no other one is pending or unanswered. A
        response of which a part is sent stays incomplete.
        """
        self._now = now
        size = self._held_bytes()
        is_receiving = self.awaits_or_receives and not self.reader.is_idle
        if is_receiving and self._rejection is None:
            self._server.report("memory-refused", size)
            retry_after = (("Retry-After", BODY_BUDGET_RETRY_S),)
            self.reject(BODY_BUDGET_STATUS, "out of memory\n", retry_after)
        else:
            self._server.report("memory-closed", size)
            self.abort()
        yield from self._take_signals()

    @property
    def awaits_or_receives(self) -> bool:
        """Whether no complete request is unanswered and all is written out."""
        has_requests = bool(self.reader.requests or self._unparsed)
        is_reading = self.chart.state == "reading"
        return is_reading and not has_requests and not self._send_buffer

    def _held_bytes(self):
        size = len(self._unparsed) + len(self._send_buffer) + self._request_bytes
        return size + self.reader.held_bytes

    def reject(self, status: int, detail: str, headers=()) -> None:
        """Send an error response to an invalid request and close the connection.

        The responses to earlier requests are sent first. Further input is discarded.
        """
        self._rejection = HttpResponse(status, headers, detail.encode())
        self.reader.stop()
        self._unparsed = b""
        self._server.budget.record(self, self._body_size())
        self._send_rejection()
        self._settle()

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
        return self.chart.state == "reading" and not self._has_input

    @property
    def _has_input(self):
        """Whether a request is being received or waits to be served."""
        reader = self.reader
        return not reader.is_idle or bool(reader.requests or self._unparsed)

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
        self._unparsed = data

    def _may_read(self):
        """Return whether more may be received, or is to be discarded."""
        state = self.chart.state
        if state in ("flushing", "lingering") or self._rejection is not None:
            return not self.chart.finished
        if self._unparsed or self.reader.requests or self.chart.finished:
            return False
        if state == "waiting":
            return self.reader.held_bytes < READ_AHEAD_BYTES
        return len(self._send_buffer) <= MAX_UNSENT_BYTES

    def _may_serve(self):
        """Return whether the next request may be served, if there is one."""
        is_due = self._now >= self.resumes_at or self._server.is_draining
        has_room = len(self._send_buffer) <= MAX_UNSENT_BYTES
        return is_due and has_room and self.chart.state == "reading"

    def _parse(self):
        """Parse what has been received, up to the next complete request."""
        reader = self.reader
        while self._unparsed and not reader.requests:
            part, self._unparsed = self._unparsed, b""
            # Bodies are not split; at most one read is parsed beyond their end.
            awaits_head = reader.is_idle or not reader.has_headers
            if awaits_head and len(part) > PARSE_BYTES:
                part, self._unparsed = part[:PARSE_BYTES], part[PARSE_BYTES:]
            self._feed(part)

    def _feed(self, data):
        try:
            self.reader.feed(data)
        except HttpMessageTooLargeError as exc:
            if exc.part == HEADER_LINES:
                self._server.report("header-lines", self._held_bytes())
            self.reject(413 if exc.part == "body" else 431, str(exc))
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
        if not self.reader.body and self.chart.state == "reading":
            if self.reader.header("expect").lower() == "100-continue":
                self._send_buffer += CONTINUE_RESPONSE
                self._flush()

    def _serve(self, now):
        # A response that is ready at once calls this again; the loop below goes on.
        if self._is_serving:
            return
        if self._unparsed or self.reader.requests:
            yield from self._serve_batch(now)
        if self._rejection is not None:
            self._send_rejection()
        self._settle()

    def _serve_batch(self, now):
        self._is_serving = True
        try:
            self._parse()
            for _ in range(SERVE_BATCH):
                if not (self.reader.requests and self._may_serve()):
                    break
                self.request_started_at = None
                self.chart.send("request_received")
                yield from self._server.serve(self, self.call, self._req, now)
                if self._unparsed:
                    self._parse()
                if not self.reader.is_idle and self.request_started_at is None:
                    # The next head has begun and must be complete in time, too.
                    self.request_started_at = now
        finally:
            self._is_serving = False

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

    def _settle(self):
        """Wait for the events that are of use now, and record what is held."""
        if self.chart.finished:
            return
        mask, size = EVENT_READ, self._request_bytes
        reader = self.reader
        has_requests = bool(self._unparsed or reader.requests)
        # Most connections have nothing but the pending request.
        if has_requests or self._send_buffer or not reader.is_idle:
            mask = EVENT_READ if self._may_read() else 0
            # One with more requests to serve goes on as soon as others have been.
            if self._send_buffer or (has_requests and self._may_serve()):
                mask |= EVENT_WRITE
            size = self._held_bytes()
        if mask != self.mask:
            self._server.set_events(self, mask)
        if size < MIN_RECORDED_BYTES:
            size = 0
        if size != self._recorded_bytes:
            self._recorded_bytes = size
            self._server.memory.record(self, size)


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

    Parameters
    ----------
    memory : MemoryBudget, optional
        Budget that the port shares with the other ones of the process.

    Attributes
    ----------
    is_draining : bool
        Whether each connection ends with its next response.
    """

    def __init__(
        self,
        address: Address,
        app: WebApp,
        limits: ConnectionLimits,
        memory: MemoryBudget | None = None,
        counters: Counters | None = None,
    ):
        self.limits = limits
        self.budget = BufferBudget(limits.max_buffered_bytes)
        self.memory = memory or MemoryBudget(DEFAULT_HELD_BYTES)
        self._counters = counters or Counters()
        self._paused: set[CallerConnection] = set()
        self._delayed: set[CallerConnection] = set()
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

    def report(self, reason: str, size: int) -> None:
        """Count and log that a connection was refused or closed to protect the process.

        Parameters
        ----------
        size : int
            Memory that it held in bytes.
        """
        self._counters.add(reason)
        request_log.write(
            reason, port=self._address.port, held=size, total=self.memory.total_bytes
        )

    def set_events(self, conn: CallerConnection, mask: int) -> None:
        """Change the selector events of a connection."""
        if not mask:
            self.selector.unregister(conn.sock)
        elif not conn.mask:
            self.selector.register(conn.sock, mask, conn)
        else:
            self.selector.modify(conn.sock, mask, conn)
        conn.mask = mask
        if mask & EVENT_READ:
            self._paused.discard(conn)
        else:
            self._paused.add(conn)

    def delay(self, conn: CallerConnection) -> None:
        """Serve a connection again at the first tick after its ``resumes_at``."""
        if conn not in self._delayed:
            self._delayed.add(conn)
            self.report("pipelines-delayed", 0)

    def _resume_delayed(self, now):
        due = [conn for conn in self._delayed if now >= conn.resumes_at]
        self._delayed.difference_update(due)
        for conn in due:
            yield from self._contain_errors(conn, conn.on_ready(0, now), now)

    def _find_disconnected(self):
        """Return the connections that are not read and whose callers have closed them.

        The selector does not report the end of a stream behind unread input.
        """
        if not self._paused:
            return ()
        conn_by_fd = {conn.sock.fileno(): conn for conn in self._paused}
        poller = poll()
        for fd in conn_by_fd:
            poller.register(fd, POLLRDHUP)
        return [conn_by_fd[fd] for fd, _ in poller.poll(0)]

    def _make_room(self):
        """Close a connection without a pending request; return whether there was one.

        Idle ones are closed first, and the one that was used the longest time ago.
        """
        conns = [conn for conn in self._conns if conn.chart.state != "waiting"]
        if not conns:
            return False
        conn = min(conns, key=lambda conn: (not conn.awaits_request, conn.last_used_at))
        self.report("connections-closed", 0)
        conn.abort()
        return True

    def add_connection(self, sock: socket, now: float):
        """Add an accepted connection and read what it has already received.

        At the maximum number of connections another one is closed, or this one if the
        requests of all others are pending.
        """
        is_full = len(self._conns) >= self.limits.max_connections
        if is_full and not self._make_room():
            self.report("connections-refused", 0)
            sock.close()
            return
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
        self._paused.discard(conn)
        self._delayed.discard(conn)
        self._pending.pop(conn.call, None)
        if conn.mask:
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
        signals = []
        for conn in self._find_disconnected():
            signals.extend(conn.on_error(now))
        signals.extend(self._resume_delayed(now))
        if now < self._next_sweep_at:
            return signals
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        # Other parts of the process may have closed descriptors.
        self._resume_accepting()
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
