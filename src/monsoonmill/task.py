"""Tasks: threads that own their sockets and state and talk by messages."""

from abc import ABC, abstractmethod
from queue import Empty, SimpleQueue
from threading import Thread

from absl import logging
from attrs import frozen


@frozen
class Stop:
    """Asks a task to end after the messages before this one."""


class Inbox:
    """Queue of typed messages; the reader blocks in the kernel while it waits."""

    def __init__(self):
        self._queue = SimpleQueue()

    def post(self, message: object) -> None:
        """Append a message; any thread may call this."""
        self._queue.put(message)

    def take(self, timeout_s: float | None = None) -> object | None:
        """Return the next message, or None when the time is up."""
        try:
            return self._queue.get(timeout=timeout_s)
        except Empty:
            return None


class Task(ABC):
    """A thread with an inbox; nothing outside reads or writes its state."""

    def __init__(self, name: str):
        self.name = name
        self.inbox = Inbox()
        self._thread = Thread(target=self._main, name=name, daemon=True)

    def start(self) -> "Task":
        """Start the thread and return the task."""
        self._thread.start()
        return self

    def post(self, message: object) -> None:
        """Send the task a message."""
        self.inbox.post(message)

    def stop(self) -> None:
        """Ask the task to end."""
        self.post(Stop())

    def join(self, timeout_s: float | None = None) -> bool:
        """Wait for the task's end; return whether it ended."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _main(self):
        try:
            self.run()
        except Exception:
            logging.exception("task %s failed", self.name)
            raise

    @abstractmethod
    def run(self) -> None:
        """Run until a ``Stop`` message arrives."""


class MessageTask(Task):
    """A task that handles one message at a time and timers between them."""

    def run(self) -> None:
        """Take messages and call ``handle`` or, when none came, ``run_due_timers``."""
        while True:
            message = self.inbox.take(self.wait_s())
            if isinstance(message, Stop):
                self.close()
                return
            if message is None:
                self.run_due_timers()
            else:
                self.handle(message)

    def wait_s(self) -> float | None:
        """Return for how long to wait for a message; None waits for ever."""
        return None

    def run_due_timers(self) -> None:
        """Run what is due when no message came in time."""

    def close(self) -> None:
        """Release what the task owns."""

    @abstractmethod
    def handle(self, message: object) -> None:
        """Act on one message."""
