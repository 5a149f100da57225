"""Callers' connections: requests in, answers out, in the node's task."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from itertools import count
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from socket import IPPROTO_TCP, TCP_NODELAY, create_server, socket

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.calls.signals import Answer, CallerDisconnected
from monsoonmill.errors import (
    HttpMessageTooLargeError,
    InvalidHttpMessageError,
    SettingsError,
)
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.http1.messages import ConnectionLimits, encode_response
from monsoonmill.http1.parsing import RequestReader
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.node.network import Channel, NetworkComponent

READ_BYTES = 1 << 16
ACCEPT_QUEUE = 1024
"""Connections that the kernel holds until they are accepted."""
ACCEPT_BATCH = 64
"""Connections taken in at once; open ones are served before more come."""
SWEEP_S = 1.0
"""Idle connections are looked for this often."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = get_logger("http")


class WebApp(ABC):
    """Says what the requests of one port mean."""

    @abstractmethod
    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Return a response, or a signal whose ``Answer`` comes later.

        Parameters
        ----------
        name : str
            Names the request in this process; the answer's ``call``.
        """

    @abstractmethod
    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer."""

    def request_signals(self, req: HttpRequest, now: float) -> Iterable[object]:
        """Yield signals that a request brings besides its response."""
        return ()


class CallerConnection(Channel):
    """One connection of a caller; owner of its chart.

    A caller that closes its end while it waits has left.
    """

    def __init__(self, sock: socket, server: "WebServer", now: float):
        self.sock = sock
        self.used_at = now
        self.began_at: float | None = None
        self.call = ""
        self.out: list[object] = []
        self._server = server
        limits = server.limits
        self.reader = RequestReader(limits.max_header_bytes, limits.max_body_bytes)
        self._unsent = bytearray()
        self._mask = EVENT_READ
        self._req: HttpRequest | None = None
        self._stays_open = True
        self._now = now
        self.chart = CONNECTION_CHART.start(self)

    # Guards and actions.
    def keeps_open(self, resp):
        """Return whether further requests may come."""
        return self._stays_open and not self._server.is_leaving

    def closes(self, resp):
        """Return whether the present answer is the connection's last."""
        return not self.keeps_open(resp)

    def hand_in(self, arg):
        """Hand the next request to the port's application."""
        self._req, self._stays_open = self.reader.requests.popleft()
        self.call = self._server.next_name()

    def write_answer(self, resp: HttpResponse):
        """Put the response on the wire."""
        keeps_open = self.keeps_open(resp)
        self._unsent += encode_response(resp, self._req.method, keeps_open)
        self.call = ""
        self.used_at = self._now

    def abandon(self, arg):
        """Tell that nobody waits for the answer any more."""
        self.out.append(CallerDisconnected(self.call))

    def close_socket(self, arg):
        """Close the socket and leave the server's books."""
        self._server.forget(self)

    # Driven by the task.
    def on_ready(self, mask: int, now: float):
        """Read and write what the socket is ready for."""
        self._now = now
        if mask & EVENT_WRITE:
            self._write()
        if mask & EVENT_READ and not self.chart.finished:
            self._read(now)
            yield from self._serve(now)
        yield from self._take_out()

    def respond(self, resp: HttpResponse, now: float):
        """Send the response of the present request, and go on with the next."""
        self._now = now
        self.chart.send("answered", resp)
        self._write()
        yield from self._serve(now)
        yield from self._take_out()

    def refuse(self, status: int, detail: str) -> None:
        """Answer bytes that are no request, and close.

        While another request waits, nothing may be written before its answer,
        so that the connection is given up at once.
        """
        if self.chart.state != "reading":
            self.give_up()
            return
        self._unsent += encode_response(
            HttpResponse(status, (), detail.encode()), "GET", False
        )
        self.chart.send("refused")
        self._write()

    def give_up(self) -> None:
        """Close the connection."""
        self.chart.send("gone")

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return self.chart.state == "reading" and self.reader.is_idle

    def _take_out(self):
        out, self.out = self.out, []
        return out

    def _read(self, now):
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.chart.send("gone")
            return
        if not data:
            self.chart.send("gone")
            return
        if self.began_at is None:
            self.began_at = now
        self._feed(data)

    def _feed(self, data):
        try:
            self.reader.feed(data)
        except HttpMessageTooLargeError as exc:
            self.refuse(431 if exc.part == "headers" else 413, str(exc))
        except InvalidHttpMessageError as exc:
            log.info("bad_request", error=str(exc))
            self.refuse(400, "malformed request")
        else:
            if self.reader.has_head and not self.reader.is_idle:
                self._invite_body()

    def _invite_body(self):
        if self.reader.header("expect").lower() == "100-continue":
            if not self.reader.body and self.chart.state == "reading":
                self._unsent += CONTINUE
                self._write()

    def _serve(self, now):
        while self.chart.state == "reading" and self.reader.requests:
            self.began_at = None
            self.chart.send("request")
            yield from self._server.serve(self, self.call, self._req, now)

    def _write(self):
        while self._unsent:
            try:
                sent = self.sock.send(self._unsent)
            except BlockingIOError:
                break
            except OSError:
                self.chart.send("gone")
                return
            del self._unsent[:sent]
        else:
            self.chart.send("flushed")
        self._watch()

    def _watch(self):
        if self.chart.finished:
            return
        mask = EVENT_READ | (EVENT_WRITE if self._unsent else 0)
        if mask != self._mask:
            self._mask = mask
            self._server.selector.modify(self.sock, mask, self)


CONNECTION_CHART = bind_methods("caller_connection", CallerConnection)


class Listener(Channel):
    """A port that callers connect to."""

    def __init__(self, sock: socket, server: "WebServer"):
        self.sock = sock
        self._server = server

    def on_ready(self, mask: int, now: float):
        """Take the connections that wait; the selector tells of further ones."""
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                request_log.write("accept_failed", error=str(exc))
                return
            yield from self._server.add(sock, now)


class WebServer(NetworkComponent):
    """All connections of one port.

    Attributes
    ----------
    is_leaving : bool
        Whether connections are closed after their present answers.
    """

    def __init__(self, address: Address, app: WebApp, limits: ConnectionLimits):
        self.limits = limits
        self.is_leaving = False
        self.selector: BaseSelector | None = None
        self._address = address
        self._app = app
        self._numbers = count(1)
        self._listener: Listener | None = None
        self._conns: set[CallerConnection] = set()
        self._waiting: dict[str, CallerConnection] = {}
        self._sweep_at = 0.0

    def signal_handlers(self):
        """Return the handlers of the signals that concern callers."""
        return {Answer: self.on_answer}

    def open(self, selector: BaseSelector, now: float) -> None:
        """Listen on the port.

        Raises
        ------
        SettingsError
            The port can't be opened.
        """
        self.selector = selector
        address = (self._address.host, self._address.port)
        try:
            sock = create_server(address, backlog=ACCEPT_QUEUE)
        except OSError as exc:
            raise SettingsError("settings", str(self._address), str(exc)) from exc
        sock.setblocking(False)
        # Connections inherit it.
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._listener = Listener(sock, self)
        selector.register(sock, EVENT_READ, self._listener)
        self._sweep_at = now + SWEEP_S

    def next_name(self) -> str:
        """Return a new name for a request."""
        return f"{self._address.port}/{next(self._numbers)}"

    def add(self, sock: socket, now: float):
        """Take a new connection, and what it has sent already."""
        sock.setblocking(False)
        conn = CallerConnection(sock, self, now)
        self._conns.add(conn)
        self.selector.register(sock, EVENT_READ, conn)
        yield from conn.on_ready(EVENT_READ, now)

    def serve(self, conn: CallerConnection, name: str, req: HttpRequest, now: float):
        """Answer a request at once, or yield the signal that it means."""
        yield from self._app.request_signals(req, now)
        result = self._app.handle(name, req)
        if isinstance(result, HttpResponse):
            yield from conn.respond(result, now)
            return
        self._waiting[name] = conn
        yield result

    def on_answer(self, answer: Answer, now: float):
        """Send an answer to the connection that waits for it."""
        conn = self._waiting.pop(answer.call, None)
        if conn is not None and conn.call == answer.call:
            yield from conn.respond(self._app.render(answer), now)

    def forget(self, conn: CallerConnection) -> None:
        """Close a connection's socket."""
        self._conns.discard(conn)
        self._waiting.pop(conn.call, None)
        self.selector.unregister(conn.sock)
        conn.sock.close()

    @property
    def in_progress(self) -> int:
        """Number of requests without an answer."""
        return len(self._waiting)

    def leave(self) -> None:
        """Close idle connections, and the others after their answers."""
        self.is_leaving = True
        for conn in list(self._conns):
            if conn.is_idle:
                conn.give_up()

    def next_due(self):
        """Return when to look for idle connections."""
        return self._sweep_at

    def tick(self, now):
        """Close the connections that have been idle or slow for too long."""
        if now < self._sweep_at:
            return ()
        self._sweep_at = now + SWEEP_S
        for conn in list(self._conns):
            if conn.is_idle and now - conn.used_at > self.limits.idle_s:
                conn.give_up()
            elif self._is_slow(conn, now):
                conn.refuse(408, "the headers came too slowly")
        return ()

    def _is_slow(self, conn, now):
        is_head_open = not conn.reader.is_idle and not conn.reader.has_head
        if conn.chart.state != "reading":
            return False
        began_at = conn.began_at
        return (
            is_head_open
            and began_at is not None
            and now - began_at > self.limits.header_s
        )

    def close(self) -> None:
        """Close the port and all connections."""
        if self._listener is not None:
            self.selector.unregister(self._listener.sock)
            self._listener.sock.close()
            self._listener = None
        for conn in list(self._conns):
            conn.give_up()
