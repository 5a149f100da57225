"""Connections to the own backend server, in the node's task."""

from abc import ABC, abstractmethod
from enum import Enum, unique
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from socket import IPPROTO_TCP, SO_ERROR, SOL_SOCKET, TCP_NODELAY, socket

from monsoonmill.chart import bind_methods
from monsoonmill.decisions.calls.signals import (
    AbortRun,
    RunCall,
    RunFailure,
    RunFinished,
)
from monsoonmill.errors import ProtocolError
from monsoonmill.eventlog import get_logger
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.parsing import ResponseReader
from monsoonmill.model import Address, HttpResponse
from monsoonmill.node.network import Channel, NetworkComponent

READ_BYTES = 1 << 16
CONNECT_S = 1.0
"""Longest time to open a connection to a process on the same host."""
SWEEP_S = 1.0
"""Idle connections are looked for this often."""
KEEP_ALIVE_SLACK_S = 1.0
"""An idle connection is given up this long before the other end may close it."""

log = get_logger("backend")


@unique
class Verdict(Enum):
    """What a response on a connection is to the request that waits there."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    STRAY = "stray"
    BROKEN = "broken"


class BackendProtocol(ABC):
    """How requests to a backend server, and its responses, are written."""

    @abstractmethod
    def encode(self, call: RunCall) -> bytes:
        """Return the bytes of a request."""

    @abstractmethod
    def judge(self, call: RunCall, resp: HttpResponse) -> Verdict:
        """Return what a response is to a request."""

    @abstractmethod
    def keep_alive_s(self, resp: HttpResponse) -> float | None:
        """Return how long the other end keeps the connection; None if unsaid."""


class BackendConnection(Channel):
    """One connection to the backend server; owner of its chart.

    Attributes
    ----------
    call : RunCall or None
        Request that waits for its response.
    """

    def __init__(self, sock: socket, call: RunCall, pool: "BackendPool", now: float):
        self.sock = sock
        self.address = call.address
        self.call: RunCall | None = call
        self.began_at = now
        self.usable_until = now
        self.out: list[RunFinished] = []
        self._pool = pool
        limits = pool.limits
        self._reader = ResponseReader(limits.max_header_bytes, limits.max_body_bytes)
        self._unsent = bytearray()
        self._mask = EVENT_READ | EVENT_WRITE
        self._may_be_reused = True
        self.chart = BACKEND_CHART.start(self)

    # Guards and actions.
    def may_be_reused(self, arg):
        """Return whether the connection is as good as new."""
        is_clean = self._reader.is_idle and not self._reader.responses
        return self._may_be_reused and is_clean and not self._unsent

    def is_spent(self, arg):
        """Return whether the connection ends with the present response."""
        return not self.may_be_reused(arg)

    def send_request(self, arg):
        """Put the request on the wire."""
        self._unsent += self._pool.protocol.encode(self.call)

    def report_answer(self, finished: RunFinished):
        """Report the response."""
        self._report(finished)

    def report_not_sent(self, arg):
        """Report that no connection came about."""
        self._fail(RunFailure.NOT_SENT)

    def report_lost(self, arg):
        """Report that the connection broke; the request may have run."""
        self._fail(RunFailure.CONNECTION_LOST)

    def report_broken(self, arg):
        """Report that the response is not whole, or is none."""
        self._fail(RunFailure.BROKEN_ANSWER)

    def report_aborted(self, arg):
        """Report that the request was given up."""
        self._fail(RunFailure.ABORTED)

    def close_socket(self, arg):
        """Close the socket and leave the pool's books."""
        self._pool.forget(self)

    def _fail(self, failure):
        self._report(RunFinished(self.call.attempt, None, failure))

    def _report(self, finished):
        self.out.append(finished)
        self._pool.release(self)
        self.call = None

    # Driven by the task.
    def on_ready(self, mask: int, now: float):
        """Read and write what the socket is ready for."""
        if self.chart.state == "connecting":
            error = self.sock.getsockopt(SOL_SOCKET, SO_ERROR)
            self.chart.send("lost" if error else "connected")
        if mask & EVENT_WRITE and not self.chart.finished:
            self.write()
        if mask & EVENT_READ and not self.chart.finished:
            self._read(now)
        return self.take_out()

    def use(self, call: RunCall, now: float) -> None:
        """Send a further request."""
        self.call = call
        self.began_at = now
        self.chart.send("use")
        self.write()

    def take_out(self) -> list[RunFinished]:
        """Return what was reported since the last time."""
        out, self.out = self.out, []
        return out

    def write(self) -> None:
        """Write what the kernel takes."""
        while self._unsent:
            try:
                sent = self.sock.send(self._unsent)
            except BlockingIOError:
                break
            except OSError:
                self.chart.send("lost")
                return
            del self._unsent[:sent]
        mask = EVENT_READ | (EVENT_WRITE if self._unsent else 0)
        if mask != self._mask:
            self._mask = mask
            self._pool.selector.modify(self.sock, mask, self)

    def _read(self, now):
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.chart.send("lost")
            return
        try:
            if data:
                self._reader.feed(data)
            elif not self._reader.finish():
                was_begun = not self._reader.is_idle
                self.chart.send("broken" if was_begun else "lost")
                return
        except ProtocolError as exc:
            log.info("bad_response", error=str(exc))
            self._reader.responses.clear()
            self.chart.send("broken")
            return
        self._take_responses(now)

    def _take_responses(self, now):
        while self._reader.responses and not self.chart.finished:
            resp, keeps_open = self._reader.responses.popleft()
            if self.call is None:
                self.chart.send("broken")
                return
            self._take(resp, keeps_open, now)

    def _take(self, resp, keeps_open, now):
        protocol = self._pool.protocol
        verdict = protocol.judge(self.call, resp)
        if verdict is Verdict.STRAY:
            log.info("stray_response", attempt=self.call.attempt, status=resp.status)
            self._may_be_reused = False
            if not keeps_open:
                self.chart.send("lost")
            return
        if verdict is Verdict.BROKEN:
            self.chart.send("broken")
            return
        self._may_be_reused = self._may_be_reused and keeps_open
        limits = self._pool.limits
        kept_s = protocol.keep_alive_s(resp)
        kept_s = limits.idle_s if kept_s is None else min(kept_s, limits.idle_s)
        self.usable_until = now + kept_s - KEEP_ALIVE_SLACK_S
        is_not_run = verdict is Verdict.NOT_RUN
        finished = RunFinished(self.call.attempt, resp, None, is_not_run)
        self.chart.send("answered", finished)


BACKEND_CHART = bind_methods("backend_connection", BackendConnection)


class BackendPool(NetworkComponent):
    """Connections to the backend server; each carries one request at a time."""

    def __init__(self, protocol: BackendProtocol, limits: ConnectionLimits):
        self.protocol = protocol
        self.limits = limits
        self.selector: BaseSelector | None = None
        self._idle: list[BackendConnection] = []
        self._busy: dict[str, BackendConnection] = {}
        self._sweep_at = 0.0

    def signal_handlers(self):
        """Return the handlers of the signals that concern the backend server."""
        return {RunCall: self.on_run, AbortRun: self.on_abort}

    def open(self, selector: BaseSelector, now: float) -> None:
        """Remember the task's selector."""
        self.selector = selector
        self._sweep_at = now + SWEEP_S

    def on_run(self, call: RunCall, now: float):
        """Send a request over an idle connection, or over a new one."""
        conn = self._take_idle(call.address, now)
        if conn is None:
            conn = self._connect(call, now)
            self._busy[call.attempt] = conn
        else:
            self._busy[call.attempt] = conn
            conn.use(call, now)
        return conn.take_out()

    def _take_idle(self, address: Address, now):
        while self._idle:
            conn = self._idle.pop()
            if conn.address == address and now < conn.usable_until:
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
        """Close the connection of a request that nobody waits for."""
        conn = self._busy.get(signal.attempt)
        if conn is None:
            return ()
        conn.chart.send("abort")
        return conn.take_out()

    def release(self, conn: BackendConnection) -> None:
        """Note that a connection's request has ended."""
        self._busy.pop(conn.call.attempt, None)
        self._idle.append(conn)

    def forget(self, conn: BackendConnection) -> None:
        """Close a connection's socket."""
        if conn in self._idle:
            self._idle.remove(conn)
        self.selector.unregister(conn.sock)
        conn.sock.close()

    @property
    def in_progress(self) -> int:
        """Number of requests without a response."""
        return len(self._busy)

    def next_due(self):
        """Return when to look for idle connections."""
        return self._sweep_at

    def tick(self, now):
        """Give up idle connections, and those that can't be opened."""
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_S
        for conn in [one for one in self._idle if now >= one.usable_until]:
            conn.chart.send("expire")
        for conn in list(self._busy.values()):
            is_connecting = conn.chart.state == "connecting"
            if is_connecting and now - conn.began_at > CONNECT_S:
                conn.chart.send("lost")
                yield from conn.take_out()

    def close(self) -> None:
        """Close all connections."""
        for conn in [*self._idle, *self._busy.values()]:
            conn.sock.close()
