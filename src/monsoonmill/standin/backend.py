"""The stand-in backend server: starts and stops its tasks."""

from threading import Event

from monsoonmill.model import Address
from monsoonmill.standin.backend_announcer import Announcer
from monsoonmill.standin.backend_http import BackendHandler
from monsoonmill.standin.backend_messages import Drain, Listening
from monsoonmill.standin.backend_nested import NestedCallerPool
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.backend_task import BackendTask
from monsoonmill.standin.http_front_end import HttpFrontEnd
from monsoonmill.task import Inbox

JOIN_TIMEOUT_S = 5.0
"""Longest wait for a task to end after it was asked to stop."""

EXTRA_THREADS = 8
"""HTTP threads beyond those of running and queued requests.

They serve reports and reject requests while all slots and the queue are full.
"""


class BackendServer:
    """A backend server that runs in this process.

    Attributes
    ----------
    port : int or None
        Port that it listens on; None before the start.
    """

    def __init__(self, settings: BackendSettings):
        self.settings = settings
        self.port: int | None = None
        self._drained = Event()
        self._announcer_inbox = Inbox()
        self._announcer: Announcer | None = None
        self._nested_callers = NestedCallerPool.from_settings(settings)
        self._task = BackendTask(
            settings, self._announcer_inbox.post, self._drained.set
        )
        self._handler = BackendHandler(
            settings, self._task.post, self._nested_callers.post
        )
        threads = settings.work.slots + settings.work.queue_length + EXTRA_THREADS
        bind_addr = (settings.backend.host, settings.backend.port)
        self._front_end = HttpFrontEnd(bind_addr, threads, self._handler)

    def start(self) -> int:
        """Start to listen, serve and announce; return the port."""
        self.port = self._front_end.listen()
        backend = self.settings.backend
        address = Address(backend.host, self.port)
        self._handler.name = backend.name or str(address)
        self._task.start()
        self._nested_callers.start()
        self._task.post(Listening())
        self._front_end.start()
        if backend.node is not None:
            self._announcer = Announcer(self.settings, address, self._task.post)
            self._announcer.inbox = self._announcer_inbox
            self._announcer.start()
        return self.port

    def drain(self) -> None:
        """Start a graceful shutdown; ``wait`` returns when it has finished."""
        self._task.post(Drain())

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the drain has finished; return whether it has."""
        return self._drained.wait(timeout_s)

    def stop(self) -> None:
        """Stop all tasks and close all sockets."""
        if self._announcer is not None:
            self._announcer.stop()
            self._announcer.join(JOIN_TIMEOUT_S)
        self._front_end.stop()
        self._nested_callers.stop()
        self._task.stop()
        self._task.join(JOIN_TIMEOUT_S)
