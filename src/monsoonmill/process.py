"""The start and the end of a program's process.

Programs import this module before all others, so it imports little itself.
"""

import os
import sys
from collections import deque
from contextlib import contextmanager
from select import select
from signal import SIGHUP, SIGINT, SIGTERM, set_wakeup_fd, signal
from threading import get_native_id

STOP_SIGNALS = frozenset((SIGTERM, SIGINT))
HANDLED_SIGNALS = (*STOP_SIGNALS, SIGHUP)
READ_BYTES = 4096
STANDARD_DESCRIPTORS = (0, 1, 2)
MESSAGE_POSTED = 0
"""Byte in the pipe for a message; the others are the numbers of signals."""


class ProcessInbox:
    """Inbox of the main thread: signals, and messages of tasks.

    The interpreter writes the number of each signal to a pipe, at any moment and in any
    thread. Handlers in Python would run only between two steps of the main thread, and
    could wait for a lock that the interrupted step holds.
    """

    def __init__(self):
        self._messages = deque()
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(self._writer, False)

    @classmethod
    def install(cls) -> "ProcessInbox":
        """Return an inbox that receives the signals of this process."""
        inbox = cls()
        set_wakeup_fd(inbox._writer, warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal(number, _ignore)
        return inbox

    @contextmanager
    def ending_at_once(self):
        """End the process at a stop signal, while there is nothing to drain yet.

        On a busy host the imports of a start can take longer than the grace period.
        """
        for number in STOP_SIGNALS:
            signal(number, _end_before_start)
        if self.has_stop_signal():
            _end_before_start(SIGTERM, None)
        try:
            yield
        finally:
            for number in STOP_SIGNALS:
                signal(number, _ignore)

    def post(self, message: object) -> None:
        """Append a message and wake the main thread; any thread may call this."""
        self._messages.append(message)
        try:
            os.write(self._writer, bytes((MESSAGE_POSTED,)))
        except BlockingIOError:
            # The pipe is full, so a wake-up is pending already.
            pass

    def take(self, timeout_s: float | None = None) -> object | None:
        """Return the next signal number or message, or None on timeout."""
        while not self._messages:
            select((self._reader,), (), (), timeout_s)
            self._receive()
            if timeout_s is not None:
                break
        return self._messages.popleft() if self._messages else None

    def wait(self, timeout_s: float) -> None:
        """Wait until another signal or message arrives, or for the timeout."""
        select((self._reader,), (), (), timeout_s)

    def has_stop_signal(self) -> bool:
        """Return whether a signal to stop was received and not taken yet."""
        self._receive()
        return any(message in STOP_SIGNALS for message in self._messages)

    def _receive(self):
        """Append the signals in the pipe; equal ones count once."""
        try:
            numbers = os.read(self._reader, READ_BYTES)
        except BlockingIOError:
            return
        self._messages.extend(sorted(set(numbers) - {MESSAGE_POSTED}))


def _ignore(number, frame):
    """Leave a signal to the inbox; one without a handler would end the process."""


def _end_before_start(number, frame):
    """Log that the process was told to stop during its start, and end it."""
    try:
        os.write(1, b'{"event": "ended_before_start", "level": "info"}\n')
    except OSError:
        # Nobody reads the output any more.
        pass
    exit_process(0)


def replace_closed_streams() -> None:
    """Open the null device in place of each standard stream that is closed.

    Otherwise a socket would get its descriptor, and log lines would be written into it.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor, which is this one, is taken.
            os.open(os.devnull, os.O_RDWR)
    if sys.stdout is None:
        sys.stdout = open(1, "w", closefd=False)
    if sys.stderr is None:
        sys.stderr = open(2, "w", closefd=False)


def exit_process(status: int) -> None:
    """End the process without finalizing the interpreter.

    Finalization takes tenths of a second, in which threads are stopped wherever they
    are. It resets the signal handlers, and aborts the process if a stopped thread holds
    the lock of standard output.
    """
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except (OSError, ValueError):
            # Nobody reads the output any more.
            pass
    os._exit(status)


def run_delay_s() -> float | None:
    """Return how long the calling thread has waited for a processor since its start.

    Where a process is late, the log tells with it a busy host from a wait of its own.

    Returns
    -------
    float or None
        Seconds, as the kernel counts them (``schedstat``); None where it doesn't.
    """
    try:
        with open(f"/proc/self/task/{get_native_id()}/schedstat", "rb") as file:
            return round(int(file.read().split()[1]) / 1e9, 3)
    except (OSError, IndexError, ValueError):
        return None
