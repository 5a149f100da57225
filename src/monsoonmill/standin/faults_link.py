"""One proxied connection: the client's socket and the target's."""

from __future__ import annotations

from selectors import EVENT_READ, EVENT_WRITE, BaseSelector
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_LINGER,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)
from struct import pack

from monsoonmill.chart import bind_methods
from monsoonmill.clock import Clock
from monsoonmill.model import Address
from monsoonmill.standin.faults_flow import Flow
from monsoonmill.standin.faults_modes import Direction, Fault
from monsoonmill.standin.timers import Timers

LINGER_RESET = pack("ii", 1, 0)
"""Socket option that makes a close send a reset."""


class Link:
    """A connection through the proxy; only the proxy's task uses it."""

    def __init__(
        self,
        client: socket,
        target: Address,
        fault: Fault,
        buffer_bytes: int,
        selector: BaseSelector,
        timers: Timers,
        clock: Clock,
    ):
        self.fault = fault
        self._client = _prepared(client)
        self._target: socket | None = None
        self._target_address = target
        self._selector = selector
        self._timers = timers
        self._clock = clock
        self.to_target = Flow(Direction.TO_TARGET, fault, buffer_bytes)
        self.to_client = Flow(Direction.TO_CLIENT, fault, buffer_bytes)
        self._interests: dict[socket, int] = {}
        self._chart = CHART.start(self)
        self.apply(fault)

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._chart.finished

    def apply(self, fault: Fault) -> None:
        """Give the connection another fault."""
        self.fault = self.to_target.fault = self.to_client.fault = fault
        if fault.resets:
            self.reset()
            return
        if fault.connects:
            self._chart.send("attach")
        self.advance()

    def reset(self) -> None:
        """End the connection with a reset to both sides."""
        self._chart.send("reset")

    def advance(self) -> None:
        """Send what is due and wait for what comes next."""
        if self.closed:
            return
        try:
            if self._chart.is_in("moving"):
                self._flush(self.to_target, self._target)
                self._flush(self.to_client, self._client)
        except OSError:
            self.reset()
            return
        if self.to_target.finished and self.to_client.finished:
            self._chart.send("ended")
        else:
            self._watch()

    def on_event(self, sock: socket, mask: int) -> None:
        """Handle readiness of one of the two sockets."""
        if self.closed:
            return
        if self._chart.is_in("connecting") and sock is self._target:
            error = self._target.getsockopt(SOL_SOCKET, SO_ERROR)
            self._chart.send("writable", error)
        elif mask & EVENT_READ:
            self._read(sock)
        self.advance()

    def _read(self, sock):
        flow = self.to_target if sock is self._client else self.to_client
        if not flow.wants_read:
            return
        try:
            flow.read(sock, self._clock.now())
        except BlockingIOError:
            return
        except OSError:
            self.reset()

    def _flush(self, flow, sink):
        due = flow.flush(sink, self._clock.now())
        if due is not None:
            self._timers.add(due, self)

    def _watch(self):
        """Register both sockets for just the events that are wanted."""
        client = EVENT_READ * self.to_target.wants_read
        client |= EVENT_WRITE * self.to_client.is_blocked
        self._register(self._client, client)
        if self._target is None:
            return
        if self._chart.is_in("connecting"):
            moves = self.fault.treatment(Direction.TO_TARGET).moves
            target = EVENT_WRITE * moves
        else:
            target = EVENT_READ * self.to_client.wants_read
            target |= EVENT_WRITE * self.to_target.is_blocked
        self._register(self._target, target)

    def _register(self, sock, events):
        known = self._interests.get(sock, 0)
        if events == known:
            return
        self._interests[sock] = events
        if not events:
            self._selector.unregister(sock)
        elif known:
            self._selector.modify(sock, events, self)
        else:
            self._selector.register(sock, events, self)

    # Guards and actions of the chart.

    def connect_target(self, arg: object) -> None:
        """Begin to connect to the target."""
        self._target = _prepared(socket(AF_INET))
        address = self._target_address
        self._target.connect_ex((address.host, address.port))

    def target_accepted(self, error: int) -> bool:
        """Return whether the connection to the target is open."""
        return error == 0

    def target_refused(self, error: int) -> bool:
        """Return whether the connection to the target did not come about."""
        return error != 0

    def reset_client(self, arg: object) -> None:
        """Make the closing of the sockets a reset."""
        for sock in filter(None, (self._client, self._target)):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)

    def close_sockets(self, arg: object) -> None:
        """Close both sockets."""
        for sock in filter(None, (self._client, self._target)):
            self._register(sock, 0)
            sock.close()


def _prepared(sock):
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    return sock


CHART = bind_methods("faults_link", Link)
