"""A persistent HTTP connection of a caller."""

from urllib3.connection import HTTPConnection

from tests.process_fleet import HOST

TIMEOUT_S = 10.0


class PersistentConnection:
    """Sends one call after another; asserts that the connection was not replaced."""

    def __init__(self, host):
        self._connection = HTTPConnection(HOST, host.call_port, timeout=TIMEOUT_S)
        self._connection.connect()
        self._local_address = self._connection.sock.getsockname()

    def lookup(self, headers):
        """Send a lookup and return its complete response."""
        assert self._connection.sock.getsockname() == self._local_address
        self._connection.request("GET", "/donkeys/lookup/1", headers=headers)
        response = self._connection.getresponse()
        assert response.data
        return response

    def close(self):
        self._connection.close()
