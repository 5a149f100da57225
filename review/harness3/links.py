"""Proxy whose open connections can go silent for good, while new ones work."""

from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY, create_connection, socket
from threading import Thread


class Link:
    """Passes on the bytes between a loopback port and another address."""

    def __init__(self, ip, to):
        self._to = to
        self._open = set()
        self._silent = set()
        self._listener = socket()
        self._listener.bind((ip, 0))
        self._listener.listen(256)
        self.port = self._listener.getsockname()[1]
        Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            try:
                other = create_connection(self._to)
            except OSError:
                sock.close()
                continue
            pair = (sock, other)
            for end in pair:
                end.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            self._open.add(pair)
            for source, sink in (pair, pair[::-1]):
                Thread(
                    target=self._pass, args=(pair, source, sink), daemon=True
                ).start()

    def _pass(self, pair, source, sink):
        try:
            while data := source.recv(1 << 16):
                if pair in self._silent:
                    return
                sink.sendall(data)
        except OSError:
            pass
        if pair in self._silent:
            return
        self._open.discard(pair)
        for end in pair:
            try:
                end.shutdown(SHUT_RDWR)
            except OSError:
                pass

    def silence(self):
        """Let the open connections go silent; return their number."""
        count = len(self._open)
        self._silent |= self._open
        self._open.clear()
        return count
