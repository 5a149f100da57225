"""One direction of a proxied connection."""

from collections import deque
from socket import SHUT_WR, socket

from monsoonmill.standin.faults_modes import Direction, Fault

READ_BYTES = 65536
END_OF_STREAM = b""


class Flow:
    """Bytes on the way from a source to a sink socket, subject to a fault.

    Attributes
    ----------
    is_blocked : bool
        Whether the sink's send buffer was full at the last send.
    is_finished : bool
        Whether the end of the stream was forwarded.
    sent_bytes : int
        Number of bytes sent to the sink.
    """

    def __init__(self, direction: Direction, fault: Fault, buffer_bytes: int):
        self.direction = direction
        self.fault = fault
        self.buffer_bytes = buffer_bytes
        self.is_blocked = False
        self.is_finished = False
        self.sent_bytes = 0
        self._source_ended = False
        self._pending: deque[tuple[float, bytes]] = deque()
        self._pending_bytes = 0
        self._last_due = 0.0

    @property
    def wants_read(self) -> bool:
        """Whether the source should be read."""
        has_room = self._pending_bytes < self.buffer_bytes
        transfers = self.fault.effect_on(self.direction).transfers
        return transfers and has_room and not self._source_ended

    def read(self, source: socket, now: float) -> None:
        """Read once from the source.

        Raises
        ------
        OSError
            The source was reset.
        """
        data = source.recv(READ_BYTES)
        effect = self.fault.effect_on(self.direction)
        self._source_ended = data == END_OF_STREAM
        if not effect.delivers:
            return
        self._last_due = max(self._last_due, now + effect.delay_s)
        self._pending.append((self._last_due, data))
        self._pending_bytes += len(data)

    def flush(self, sink: socket, now: float) -> float | None:
        """Send the bytes that are due; return when to flush again.

        None means that no timer is needed: nothing is pending, or the sink is full
        or the fault holds the bytes back.

        Raises
        ------
        OSError
            The sink was reset.
        """
        self.is_blocked = False
        while self._pending and self.fault.effect_on(self.direction).transfers:
            due, data = self._pending[0]
            if due > now:
                return due
            if data == END_OF_STREAM:
                self._pending.popleft()
                self.is_finished = True
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
        """Send some of the oldest bytes; return their number, 0 if the sink is full."""
        try:
            sent = sink.send(memoryview(data)[:allowed])
        except BlockingIOError:
            self.is_blocked = True
            return 0
        self.sent_bytes += sent
        self._pending_bytes -= sent
        self._pending.popleft()
        if sent < len(data):
            self._pending.appendleft((due, data[sent:]))
        return sent
