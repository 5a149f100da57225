"""Inbox of one HTTP request that also detects the client's disconnection."""

import os
from collections import deque
from math import ceil
from select import POLLERR, POLLHUP, POLLIN, POLLRDHUP, poll
from socket import socket
from threading import Lock
from time import monotonic

from attrs import frozen


@frozen
class ClientDisconnected:
    """The client closed its connection."""


class RequestInbox:
    """Messages for the thread that serves one request.

    The thread blocks in ``poll`` on the messages and on the client's socket at
    the same time.
    """

    def __init__(self, client: socket):
        self._client = client
        self._messages = deque()
        self._lock = Lock()
        self._event_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_open = True

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self) -> None:
        """Discard the messages that arrive from now on."""
        with self._lock:
            if self._is_open:
                self._is_open = False
                os.close(self._event_fd)

    def post(self, message: object) -> None:
        """Append a message; thread-safe."""
        with self._lock:
            if self._is_open:
                self._messages.append(message)
                os.eventfd_write(self._event_fd, 1)

    def take(self, timeout_s: float | None = None) -> object | None:
        """Return a message, ``ClientDisconnected``, or None after the time-out."""
        deadline = None if timeout_s is None else monotonic() + timeout_s
        poller = poll()
        poller.register(self._event_fd, POLLIN)
        poller.register(self._client, POLLRDHUP)
        while True:
            if self._messages:
                return self._messages.popleft()
            remaining_s = None if deadline is None else deadline - monotonic()
            if remaining_s is not None and remaining_s <= 0:
                return None
            events = dict(
                poller.poll(None if remaining_s is None else ceil(remaining_s * 1000))
            )
            if self._event_fd in events:
                os.eventfd_read(self._event_fd)
            elif events.get(self._client.fileno(), 0) & (POLLRDHUP | POLLHUP | POLLERR):
                return ClientDisconnected()
