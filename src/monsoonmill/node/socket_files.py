"""Buffered file objects for sockets, which replace cheroot's slower ones."""

from io import BufferedReader
from socket import SocketIO, socket
from time import monotonic

from cheroot.makefile import StreamWriter

BUFFER_BYTES = 8192
NEVER = float("inf")


class DeadlineSocketIO(SocketIO):
    """Reads from a socket until a deadline.

    The first read after the deadline was set is not limited: it is made when bytes have
    come, and a change of the socket's time-out takes system calls.

    Attributes
    ----------
    deadline : float
        Monotonic time at which reads time out, however many bytes came before.
    """

    def __init__(self, sock: socket):
        super().__init__(sock, "rb")
        self.deadline = NEVER
        self.is_first = False
        self._socket = sock

    def readinto(self, buffer) -> int | None:
        """Read into a buffer; raise TimeoutError at the deadline."""
        if self.is_first or self.deadline == NEVER:
            self.is_first = False
            return self._socket.recv_into(buffer)
        timeout_s = self._socket.gettimeout()
        left_s = self.deadline - monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(left_s if timeout_s is None else min(timeout_s, left_s))
        try:
            count = self._socket.recv_into(buffer)
        finally:
            self._socket.settimeout(timeout_s)
        return count


class SocketReader(BufferedReader):
    """Reads from a socket with CPython's buffered reader, which is written in C."""

    def __init__(self, sock: socket):
        super().__init__(DeadlineSocketIO(sock), BUFFER_BYTES)
        self._sock = sock

    def set_deadline(self, deadline: float) -> None:
        """Set the monotonic time at which reads time out; infinity for none."""
        raw = self.raw
        raw.deadline = deadline
        raw.is_first = True

    def has_data(self) -> bool:
        """Return whether data of another request has arrived."""
        timeout = self._sock.gettimeout()
        self._sock.setblocking(False)
        try:
            return bool(self.peek(1))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout)


def open_socket_file(sock: socket, mode: str, buffer_bytes: int):
    """Return a file object that reads from or writes to a socket."""
    if "r" in mode:
        return SocketReader(sock)
    return StreamWriter(sock, mode, buffer_bytes)
