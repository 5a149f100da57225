"""One direction of a proxied connection."""

from collections import deque
from socket import SHUT_WR, socket

from monsoonmill.standin.faults_modes import Direction, Fault

READ_BYTES = 65536
END_OF_STREAM = b""


class Flow:
    """Bytes between two sockets, held back as the fault demands.

    Attributes
    ----------
    is_blocked : bool
        Whether the sink takes no more bytes at present.
    finished : bool
        Whether the end of the stream was passed on.
    moved_bytes : int
        Bytes that were sent on.
    """

    def __init__(self, direction: Direction, fault: Fault, buffer_bytes: int):
        self.direction = direction
        self.fault = fault
        self.buffer_bytes = buffer_bytes
        self.is_blocked = False
        self.finished = False
        self.moved_bytes = 0
        self._ended = False
        self._pending: deque[tuple[float, bytes]] = deque()
        self._pending_bytes = 0
        self._last_due = 0.0

    @property
    def wants_read(self) -> bool:
        """Whether the source should be read."""
        has_room = self._pending_bytes < self.buffer_bytes
        moves = self.fault.treatment(self.direction).moves
        return moves and has_room and not self._ended

    def read(self, source: socket, now: float) -> None:
        """Read once from the source.

        Raises
        ------
        OSError
            The source was reset.
        """
        data = source.recv(READ_BYTES)
        treatment = self.fault.treatment(self.direction)
        self._ended = data == END_OF_STREAM
        if not treatment.keeps:
            return
        self._last_due = max(self._last_due, now + treatment.delay_s)
        self._pending.append((self._last_due, data))
        self._pending_bytes += len(data)

    def flush(self, sink: socket, now: float) -> float | None:
        """Send what is due; return when to try again, None if not by time.

        Raises
        ------
        OSError
            The sink was reset.
        """
        self.is_blocked = False
        while self._pending and self.fault.treatment(self.direction).moves:
            due, data = self._pending[0]
            if due > now:
                return due
            if data == END_OF_STREAM:
                self._pending.popleft()
                self.finished = True
                sink.shutdown(SHUT_WR)
                return None
            bucket = self.fault.bucket(self.direction)
            allowed = bucket.allowance(len(data), now) if bucket else len(data)
            if not allowed:
                return now + bucket.wait_s(len(data))
            sent = self._send(sink, due, data, allowed)
            if not sent:
                return None
            if bucket:
                bucket.spend(sent)
        return None

    def _send(self, sink, due, data, allowed):
        """Send a part of the oldest bytes; return 0 if the sink is full."""
        try:
            sent = sink.send(memoryview(data)[:allowed])
        except BlockingIOError:
            self.is_blocked = True
            return 0
        self.moved_bytes += sent
        self._pending_bytes -= sent
        self._pending.popleft()
        if sent < len(data):
            self._pending.appendleft((due, data[sent:]))
        return sent
