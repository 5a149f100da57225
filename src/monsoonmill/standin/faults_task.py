"""Task of the fault-injecting proxy, which owns all its sockets."""

import os
from selectors import EVENT_READ, DefaultSelector
from socket import SO_REUSEADDR, SOL_SOCKET, socket

from monsoonmill.clock import SystemClock
from monsoonmill.eventlog import get_logger
from monsoonmill.standin.faults_link import Link
from monsoonmill.standin.faults_messages import (
    FaultApplied,
    PairStatus,
    ProxyStatus,
    Scope,
    SetFault,
    StatusRequest,
)
from monsoonmill.standin.faults_modes import Direction, Fault, PassThrough
from monsoonmill.standin.faults_settings import FaultsSettings, PairSettings
from monsoonmill.standin.listening import ListenError
from monsoonmill.standin.timers import Timers
from monsoonmill.task import Stop, Task

log = get_logger(__name__)

LISTEN_BACKLOG = 1024


class Pair:
    """A listening socket, the fault for new connections and its open links."""

    def __init__(self, settings: PairSettings, host: str):
        self.settings = settings
        self.fault: Fault = PassThrough()
        self.links: set[Link] = set()
        self.closed_bytes = dict.fromkeys(Direction, 0)
        self.listener = _listen(host, settings.listen_port)
        self.port = self.listener.getsockname()[1]

    def remove_closed_links(self) -> None:
        """Remove the closed links and add their bytes to the totals."""
        for link in [link for link in self.links if link.closed]:
            self.links.remove(link)
            for direction in Direction:
                self.closed_bytes[direction] += _sent_bytes(link, direction)

    def set_fault(self, fault: Fault, scope: Scope) -> None:
        """Set the fault of new connections, existing ones or both."""
        if scope is not Scope.EXISTING:
            self.fault = fault
        if scope is not Scope.NEW:
            for link in self.links:
                link.set_fault(fault)

    def status(self) -> PairStatus:
        """Return the pair's state."""
        self.remove_closed_links()
        totals = {
            direction: self.closed_bytes[direction]
            + sum(_sent_bytes(link, direction) for link in self.links)
            for direction in Direction
        }
        return PairStatus(
            name=self.settings.name,
            port=self.port,
            target=str(self.settings.target),
            mode=self.fault.mode,
            connections=len(self.links),
            to_target_bytes=totals[Direction.TO_TARGET],
            to_client_bytes=totals[Direction.TO_CLIENT],
        )


def _sent_bytes(link, direction):
    to_target = direction is Direction.TO_TARGET
    return (link.to_target if to_target else link.to_client).sent_bytes


def _listen(host, port):
    listener = socket()
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.setblocking(False)
    try:
        listener.bind((host, port))
    except OSError as exc:
        listener.close()
        raise ListenError((host, port), exc) from exc
    listener.listen(LISTEN_BACKLOG)
    return listener


class ProxyTask(Task):
    """Forwards the bytes of all connections; blocks in a selector while it waits.

    Attributes
    ----------
    ports : dict
        Listening port of each pair by the pair's name.
    """

    def __init__(self, settings: FaultsSettings):
        super().__init__("faults")
        proxy = settings.proxy
        self._buffer_bytes = proxy.buffer_bytes
        self._clock = SystemClock()
        self._timers = Timers()
        self._selector = DefaultSelector()
        self._pairs = [Pair(pair, proxy.host) for pair in proxy.pairs]
        self.ports = {pair.settings.name: pair.port for pair in self._pairs}
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._selector.register(self._wake_fd, EVENT_READ, None)
        for pair in self._pairs:
            self._selector.register(pair.listener, EVENT_READ, pair)

    def post(self, message: object) -> None:
        """Send the task a message and wake it."""
        self.inbox.post(message)
        os.eventfd_write(self._wake_fd, 1)

    def run(self) -> None:
        """Forward bytes until a ``Stop`` message arrives."""
        while True:
            for key, mask in self._selector.select(self._wait_s()):
                if key.data is None:
                    os.eventfd_read(self._wake_fd)
                    if not self._handle_messages():
                        self._close()
                        return
                elif isinstance(key.data, Pair):
                    self._accept(key.data)
                else:
                    key.data.on_event(key.fileobj, mask)
            for link in self._timers.expired(self._clock.now()):
                link.advance()

    def _wait_s(self):
        due = self._timers.next_due()
        return None if due is None else max(0.0, due - self._clock.now())

    def _accept(self, pair):
        try:
            client, _ = pair.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        pair.remove_closed_links()
        link = Link(
            client=client,
            target=pair.settings.target,
            fault=pair.fault,
            buffer_bytes=self._buffer_bytes,
            selector=self._selector,
            timers=self._timers,
            clock=self._clock,
        )
        if not link.closed:
            pair.links.add(link)

    def _handle_messages(self):
        """Handle the messages in the inbox; return False after ``Stop``."""
        while (message := self.inbox.take(0)) is not None:
            if isinstance(message, Stop):
                return False
            if isinstance(message, SetFault):
                self._set_fault(message)
            elif isinstance(message, StatusRequest):
                pairs = tuple(pair.status() for pair in self._pairs)
                message.reply.post(ProxyStatus(pairs))
        return True

    def _set_fault(self, message):
        matching = [
            pair for pair in self._pairs if message.pair in ("", pair.settings.name)
        ]
        for pair in matching:
            pair.set_fault(message.fault, message.scope)
        log.info("fault", mode=message.fault.mode, pairs=len(matching))
        message.reply.post(FaultApplied(len(matching)))

    def _close(self):
        for pair in self._pairs:
            pair.listener.close()
            for link in pair.links:
                link.reset()
        self._selector.close()
