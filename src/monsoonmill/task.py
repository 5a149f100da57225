"""Tasks: threads that own their sockets and state and communicate by messages."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Thread

from absl import logging
from attrs import frozen


@frozen
class Stop:
    """Tells a task to stop once it has handled all earlier messages."""


@frozen
class TaskFailed:
    """Tells that a task ended with an exception.

    Attributes
    ----------
    task : str
        Name of the task.
    """

    task: str
    error: str


class Inbox:
    """Thread-safe queue of messages; its reader blocks without polling."""

    def __init__(self):
        self._queue = SimpleQueue()

    def post(self, message: object) -> None:
        """Append a message; any thread may call this."""
        self._queue.put(message)

    def take(self, timeout_s: float | None = None) -> object | None:
        """Return the next message, or None on timeout."""
        try:
            return self._queue.get(timeout=timeout_s)
        except Empty:
            return None


class Task(ABC):
    """A thread with an inbox; other threads do not access its state.

    Attributes
    ----------
    has_failed : bool
        Whether the task ended with an exception.
    """

    def __init__(self, name: str):
        self.name = name
        self.has_failed = False
        self._report: Callable[[TaskFailed], None] | None = None
        self.inbox = Inbox()
        self._thread = Thread(target=self._main, name=name, daemon=True)

    def watch(self, report: Callable[[TaskFailed], None]) -> None:
        """Set what is called, in the task's thread, if the task fails."""
        self._report = report

    def start(self) -> "Task":
        """Start the thread and return the task."""
        self._thread.start()
        return self

    def post(self, message: object) -> None:
        """Send the task a message."""
        self.inbox.post(message)

    def stop(self) -> None:
        """Tell the task to stop."""
        self.post(Stop())

    def join(self, timeout_s: float | None = None) -> bool:
        """Wait until the task ends; return False on timeout."""
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _main(self):
        try:
            self.run()
        except Exception as exc:
            self.has_failed = True
            logging.exception("task %s failed", self.name)
            if self._report is not None:
                self._report(TaskFailed(self.name, repr(exc)))
            raise

    @abstractmethod
    def run(self) -> None:
        """Run until a ``Stop`` message arrives."""


class MessageTask(Task):
    """A task that handles messages one at a time, and its timers."""

    def run(self) -> None:
        """Call ``handle`` for each message, and ``run_due_timers`` on timeout."""
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
        """Return the time to wait for a message; None to wait indefinitely."""
        return None

    def run_due_timers(self) -> None:
        """Run due timers; called if no message arrives within ``wait_s``."""

    def close(self) -> None:
        """Release the task's resources."""

    @abstractmethod
    def handle(self, message: object) -> None:
        """Handle one message."""
