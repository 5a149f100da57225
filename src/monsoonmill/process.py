"""The start and the end of a program's process.

Programs import this module before all others, so it imports little itself.
"""

import os
import sys
from collections import deque
from select import select
from signal import SIGHUP, SIGINT, SIGTERM, set_wakeup_fd, signal

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
