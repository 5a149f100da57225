"""Buffer for the reads of a task's sockets."""

from socket import socket


class ReceiveBuffer:
    """Memory that a task uses again for each read.

    Reading into new memory of this size would cost a system call to map it, one to
    shrink it and one to unmap it, and a page fault, for each read.

    Parameters
    ----------
    size : int
        Maximum number of bytes of a read.
    """

    def __init__(self, size: int):
        self._memory = memoryview(bytearray(size))

    def receive(self, sock: socket) -> bytes:
        """Return what a socket has received; empty at the end of the stream.

        Raises
        ------
        OSError
            The socket has nothing to read, or its connection is broken.
        """
        return bytes(self._memory[: sock.recv_into(self._memory)])
