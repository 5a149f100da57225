"""Inbox of one request that also notices when the client has gone."""

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

    The reader blocks in the kernel on the messages and on the client's
    socket at once.
    """

    def __init__(self, client: socket):
        self._client = client
        self._messages = deque()
        self._lock = Lock()
        self._event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._open = True

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self) -> None:
        """Drop the messages that still arrive."""
        with self._lock:
            if self._open:
                self._open = False
                os.close(self._event)

    def post(self, message: object) -> None:
        """Append a message; any thread may call this."""
        with self._lock:
            if self._open:
                self._messages.append(message)
                os.eventfd_write(self._event, 1)

    def take(self, timeout_s: float | None = None) -> object | None:
        """Return a message, ``ClientDisconnected``, or None when the time is up."""
        end = None if timeout_s is None else monotonic() + timeout_s
        poller = poll()
        poller.register(self._event, POLLIN)
        poller.register(self._client, POLLRDHUP)
        while True:
            if self._messages:
                return self._messages.popleft()
            left_s = None if end is None else end - monotonic()
            if left_s is not None and left_s <= 0:
                return None
            events = dict(poller.poll(None if left_s is None else ceil(left_s * 1000)))
            if self._event in events:
                os.eventfd_read(self._event)
            elif events.get(self._client.fileno(), 0) & (POLLRDHUP | POLLHUP | POLLERR):
                return ClientDisconnected()
