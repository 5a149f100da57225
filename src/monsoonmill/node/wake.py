"""A way to wake a task that waits on sockets."""

from socket import socketpair


class Wake:
    """A pair of sockets: one end is waited on, the other end wakes."""

    def __init__(self):
        self.reader, self._writer = socketpair()
        self.reader.setblocking(False)
        self._writer.setblocking(False)

    def set(self) -> None:
        """Wake the task; any thread may call this."""
        try:
            self._writer.send(b"\0")
        except OSError:
            # The buffer is full, so the task is about to wake anyway.
            pass

    def clear(self) -> None:
        """Forget earlier wakes."""
        try:
            self.reader.recv(4096)
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Close both ends."""
        self.reader.close()
        self._writer.close()
