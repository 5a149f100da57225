"""Buffered file objects for sockets, which replace cheroot's slower ones."""

from io import BufferedReader
from socket import SocketIO, socket

from cheroot.makefile import StreamWriter

BUFFER_BYTES = 8192


class SocketReader(BufferedReader):
    """Reads from a socket with CPython's buffered reader, which is written in C."""

    def __init__(self, sock: socket):
        super().__init__(SocketIO(sock, "rb"), BUFFER_BYTES)
        self._sock = sock

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
