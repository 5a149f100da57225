"""A caller's connection that stays open."""

from urllib3.connection import HTTPConnection

from tests.process_fleet import HOST

TIMEOUT_S = 10.0


class KeptConnection:
    """Makes one call after another, and fails if the connection was closed."""

    def __init__(self, host):
        self._conn = HTTPConnection(HOST, host.call_port, timeout=TIMEOUT_S)
        self._conn.connect()
        self._local = self._conn.sock.getsockname()

    def lookup(self, headers):
        """Make one call and return its whole response."""
        assert self._conn.sock.getsockname() == self._local
        self._conn.request("GET", "/donkeys/lookup/1", headers=headers)
        response = self._conn.getresponse()
        assert response.data
        return response

    def close(self):
        self._conn.close()
