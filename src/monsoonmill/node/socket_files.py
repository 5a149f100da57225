"""Buffered files on a connection's socket, in place of cheroot's slower ones."""

from io import BufferedReader
from socket import SocketIO, socket

from cheroot.makefile import StreamWriter

BUFFER_BYTES = 8192


class SocketReader(BufferedReader):
    """Reads a connection with the interpreter's compiled buffer."""

    def __init__(self, sock: socket):
        super().__init__(SocketIO(sock, "rb"), BUFFER_BYTES)
        self._sock = sock

    def has_data(self) -> bool:
        """Return whether another request is here already."""
        timeout = self._sock.gettimeout()
        self._sock.setblocking(False)
        try:
            return bool(self.peek(1))
        except OSError:
            return False
        finally:
            self._sock.settimeout(timeout)


def open_socket_file(sock: socket, mode: str, buffer_bytes: int):
    """Return the file for reading or writing a connection."""
    if "r" in mode:
        return SocketReader(sock)
    return StreamWriter(sock, mode, buffer_bytes)
