"""One proxied connection: a socket to the client and one to the target."""

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
"""``SO_LINGER`` value (on, 0 seconds) with which a close sends a reset."""


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
        self._client = _configure_socket(client)
        self._target: socket | None = None
        self._target_address = target
        self._selector = selector
        self._timers = timers
        self._clock = clock
        self.to_target = Flow(Direction.TO_TARGET, fault, buffer_bytes)
        self.to_client = Flow(Direction.TO_CLIENT, fault, buffer_bytes)
        self._registered_events: dict[socket, int] = {}
        self._chart = CHART.start(self)
        self.set_fault(fault)

    @property
    def closed(self) -> bool:
        """Whether both sockets are closed."""
        return self._chart.finished

    def set_fault(self, fault: Fault) -> None:
        """Replace the connection's fault."""
        self.fault = self.to_target.fault = self.to_client.fault = fault
        if fault.resets:
            self.reset()
            return
        if fault.connects:
            self._chart.send("connect_requested")
        self.advance()

    def reset(self) -> None:
        """Close the connection with a reset to both sides."""
        self._chart.send("reset_requested")

    def advance(self) -> None:
        """Send the bytes that are due and register for the next events."""
        if self.closed:
            return
        try:
            if self._chart.is_in("forwarding"):
                self._flush(self.to_target, self._target)
                self._flush(self.to_client, self._client)
        except OSError:
            self.reset()
            return
        if self.to_target.is_finished and self.to_client.is_finished:
            self._chart.send("streams_ended")
        else:
            self._update_registrations()

    def on_event(self, sock: socket, mask: int) -> None:
        """Handle an event of the selector for one of the two sockets."""
        if self.closed:
            return
        if self._chart.is_in("connecting") and sock is self._target:
            error = self._target.getsockopt(SOL_SOCKET, SO_ERROR)
            self._chart.send("target_writable", error)
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

    def _update_registrations(self):
        """Register both sockets for the events that can be handled now."""
        client_events = EVENT_READ * self.to_target.wants_read
        client_events |= EVENT_WRITE * self.to_client.is_blocked
        self._set_events(self._client, client_events)
        if self._target is None:
            return
        if self._chart.is_in("connecting"):
            transfers = self.fault.effect_on(Direction.TO_TARGET).transfers
            target_events = EVENT_WRITE * transfers
        else:
            target_events = EVENT_READ * self.to_client.wants_read
            target_events |= EVENT_WRITE * self.to_target.is_blocked
        self._set_events(self._target, target_events)

    def _set_events(self, sock, events):
        current = self._registered_events.get(sock, 0)
        if events == current:
            return
        self._registered_events[sock] = events
        if not events:
            self._selector.unregister(sock)
        elif current:
            self._selector.modify(sock, events, self)
        else:
            self._selector.register(sock, events, self)

    # Guards and actions of the chart.

    def start_connecting(self, arg: object) -> None:
        """Start to connect to the target."""
        self._target = _configure_socket(socket(AF_INET))
        address = self._target_address
        self._target.connect_ex((address.host, address.port))

    def is_connected(self, error: int) -> bool:
        """Return whether the connection to the target was established."""
        return error == 0

    def has_connect_error(self, error: int) -> bool:
        """Return whether the connection to the target failed."""
        return error != 0

    def reset_on_close(self, arg: object) -> None:
        """Let the closing of both sockets send a reset."""
        for sock in filter(None, (self._client, self._target)):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)

    def close_sockets(self, arg: object) -> None:
        """Unregister and close both sockets."""
        for sock in filter(None, (self._client, self._target)):
            self._set_events(sock, 0)
            sock.close()


def _configure_socket(sock):
    sock.setblocking(False)
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    return sock


CHART = bind_methods("faults_link", Link)
