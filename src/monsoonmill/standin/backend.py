"""The stand-in backend server, put together from its tasks."""

from threading import Event

from monsoonmill.model import Address
from monsoonmill.standin.backend_announcer import Announcer
from monsoonmill.standin.backend_http import BackendHandler
from monsoonmill.standin.backend_messages import Drain, Listening
from monsoonmill.standin.backend_nested import NestedCrew
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.backend_task import BackendTask
from monsoonmill.standin.http_front_end import HttpFrontEnd
from monsoonmill.task import Inbox

END_LIMIT_S = 5.0
"""Longest wait for a task's end once it was asked to stop."""

SPARE_THREADS = 8
"""Threads beyond slots and queue, for reports and refusals."""


class BackendServer:
    """A backend server within this process.

    Attributes
    ----------
    port : int or None
        Port that it listens on, once started.
    """

    def __init__(self, settings: BackendSettings):
        self.settings = settings
        self.port: int | None = None
        self._ended = Event()
        self._announcements = Inbox()
        self._announcer: Announcer | None = None
        self._crew = NestedCrew.from_settings(settings)
        self._task = BackendTask(settings, self._announcements.post, self._ended.set)
        self._handler = BackendHandler(settings, self._task.post, self._crew.post)
        threads = settings.work.slots + settings.work.queue_length + SPARE_THREADS
        bind_addr = (settings.backend.host, settings.backend.port)
        self._front = HttpFrontEnd(bind_addr, threads, self._handler)

    def start(self) -> int:
        """Listen, announce and serve; return the port."""
        self.port = self._front.listen()
        backend = self.settings.backend
        address = Address(backend.host, self.port)
        self._handler.name = backend.name or str(address)
        self._task.start()
        self._crew.start()
        self._task.post(Listening())
        self._front.start()
        if backend.node is not None:
            self._announcer = Announcer(self.settings, address, self._task.post)
            self._announcer.inbox = self._announcements
            self._announcer.start()
        return self.port

    def drain(self) -> None:
        """Finish what is in progress; ``wait`` returns when it is done."""
        self._task.post(Drain())

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the end of the drain; return whether it has ended."""
        return self._ended.wait(timeout_s)

    def stop(self) -> None:
        """End all tasks and close all sockets."""
        if self._announcer is not None:
            self._announcer.stop()
            self._announcer.join(END_LIMIT_S)
        self._front.stop()
        self._crew.stop()
        self._task.stop()
        self._task.join(END_LIMIT_S)
