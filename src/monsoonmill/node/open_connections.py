"""Limit on the open connections of a port whose requests threads read."""

from abc import ABC, abstractmethod
from threading import Lock

CLOSED = "connections-closed"
"""Counter of connections that were closed to make room for new ones."""
REFUSED = "connections-refused"
"""Counter of new connections that were closed, since all others have a request."""


class LimitedConnection(ABC):
    """A connection that counts towards the limit of its port.

    Attributes
    ----------
    used_at : float
        Monotonic time at which it was accepted, or has sent its last response.
    is_in_thread : bool
        Whether a thread reads from it, or is to.
    has_request : bool
        Whether a complete request of it is being answered.
    """

    used_at: float
    is_in_thread: bool
    has_request: bool

    @abstractmethod
    def end_input(self) -> None:
        """Have it closed once what has arrived complete is answered."""


class OpenConnections:
    """The open connections of a port; the lock orders its threads' changes."""

    def __init__(self, max_connections: int, counters):
        self._max_connections = max_connections
        self._counters = counters
        self._conns: set[LimitedConnection] = set()
        self._lock = Lock()

    def __len__(self) -> int:
        return len(self._conns)

    def add(self, conn: LimitedConnection) -> bool:
        """Add a new connection, if need be in place of another one.

        An idle connection gives way before one whose request is incomplete, and the
        one that was used the longest time ago first.

        Returns
        -------
        bool
            Whether there was room; False if all others have a request.
        """
        with self._lock:
            if len(self._conns) >= self._max_connections and not self._make_room():
                self._counters.add(REFUSED)
                return False
            self._conns.add(conn)
            return True

    def _make_room(self):
        conns = [conn for conn in self._conns if not conn.has_request]
        if not conns:
            return False
        conn = min(conns, key=lambda conn: (conn.is_in_thread, conn.used_at))
        self._conns.discard(conn)
        self._counters.add(CLOSED)
        conn.end_input()
        return True

    def discard(self, conn: LimitedConnection) -> None:
        """Remove a connection that is closed."""
        with self._lock:
            self._conns.discard(conn)
