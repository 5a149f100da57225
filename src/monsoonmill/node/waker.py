"""Wake-up of a task that waits on sockets."""

from socket import socketpair


class Waker:
    """A socket pair; the task selects on one end, a wake-up writes to the other."""

    def __init__(self):
        self.reader, self._writer = socketpair()
        self.reader.setblocking(False)
        self._writer.setblocking(False)

    def wake(self) -> None:
        """Wake the task; thread-safe."""
        try:
            self._writer.send(b"\0")
        except OSError:
            # The buffer is full, so a wake-up is pending already.
            pass

    def clear(self) -> None:
        """Discard pending wake-ups."""
        try:
            self.reader.recv(4096)
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Close both ends."""
        self.reader.close()
        self._writer.close()
