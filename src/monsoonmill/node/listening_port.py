"""Listening sockets of the node's task."""

from errno import EMFILE, ENFILE
from selectors import EVENT_READ, BaseSelector
from socket import IPPROTO_TCP, TCP_NODELAY, create_server, socket

from monsoonmill.chart import bind_methods
from monsoonmill.eventlog import get_logger
from monsoonmill.model import Address

RETRY_INTERVAL_S = 0.2
NEVER = float("inf")
OUT_OF_DESCRIPTORS = (EMFILE, ENFILE)
"""Errors of an accept that fails until the process closes other descriptors."""

log = get_logger("port")


class ListeningPort:
    """Owner of a listening socket, with its state chart.

    A port that can't be opened, since another process still has it, for example, is
    tried again until it is open or closed for good.

    Parameters
    ----------
    backlog : int
        Maximum number of connections that wait to be accepted.
    data : object
        Registered with the selector for the socket.
    """

    def __init__(
        self, address: Address, backlog: int, selector: BaseSelector, data: object
    ):
        self._address = address
        self._backlog = backlog
        self._selector = selector
        self._data = data
        self._sock: socket | None = None
        self._retry_at = NEVER
        self.chart = PORT_CHART.start(self)

    # Actions.
    def report_blocked(self, exc: OSError):
        """Log once that the port can't be opened yet."""
        log.warning("port_blocked", address=self._address, error=str(exc))

    def report_opened(self, sock: socket):
        """Log that a port that was blocked is open."""
        log.info("port_opened", address=self._address)

    def take_socket(self, sock: socket):
        """Store the listening socket."""
        self._sock = sock
        self._retry_at = NEVER

    def close_socket(self, arg):
        """Close the listening socket."""
        self._sock.close()

    def register(self, arg):
        """Wait for connections."""
        self._selector.register(self._sock, EVENT_READ, self._data)

    def unregister(self, arg):
        """Stop waiting for connections."""
        self._selector.unregister(self._sock)

    def report_paused(self, exc: OSError):
        """Log that no connection can be accepted.

        The selector would report the port as ready all the time.
        """
        log.warning("port_paused", address=self._address, error=str(exc))

    # Called by the owner.
    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self.chart.is_in("open")

    def open(self, now: float) -> None:
        """Try to open the port, and set the time of the next attempt if that fails."""
        self._retry_at = now + RETRY_INTERVAL_S
        try:
            sock = self._bind()
        except OSError as exc:
            self.chart.send("bind_failed", exc)
        else:
            self.chart.send("bound", sock)

    def _bind(self):
        address = (self._address.host, self._address.port)
        sock = create_server(address, backlog=self._backlog)
        sock.setblocking(False)
        # Accepted connections inherit the option.
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        return sock

    def next_due(self) -> float:
        """Return the time at which ``tick`` is due."""
        return self._retry_at

    def tick(self, now: float) -> None:
        """Try again to open the port if that is due."""
        if now >= self._retry_at:
            self.open(now)

    def accept(self) -> tuple[socket, tuple[str, int]]:
        """Return the next connection and its address; raise OSError without one.

        Without free descriptors the port pauses until ``resume`` is called.
        """
        try:
            return self._sock.accept()
        except OSError as exc:
            if exc.errno in OUT_OF_DESCRIPTORS:
                self.chart.send("descriptors_spent", exc)
            raise

    def resume(self) -> None:
        """Wait for connections again, since descriptors may have become free."""
        self.chart.send("resume_requested")

    def close(self) -> None:
        """Close the port for good."""
        self._retry_at = NEVER
        self.chart.send("close_requested")


PORT_CHART = bind_methods("listening_port", ListeningPort)
