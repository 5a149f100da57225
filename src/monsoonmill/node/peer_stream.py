"""A stream to another node: its socket, buffers and state chart."""

from os import strerror
from socket import IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket

from monsoonmill.chart import bind_methods
from monsoonmill.codec import Codec
from monsoonmill.errors import MissingHelloError, ProtocolError
from monsoonmill.messages import (
    Cancel,
    Forward,
    Goodbye,
    Hello,
    Part,
    Ping,
    Pong,
    Reply,
)
from monsoonmill.model import Address
from monsoonmill.node.reassembly import MessageReassembler
from monsoonmill.node.receive_buffer import ReceiveBuffer
from monsoonmill.node.send_queue import SendQueue
from monsoonmill.node.traffic_ledger import TrafficLedger
from monsoonmill.settings import PeerSettings
from monsoonmill.value_classes import frozen

RECENT_USE_S = 0.3
"""A stream used within this time is pinged at each heartbeat interval."""
IDLE_PING_HEARTBEATS = 3
"""Heartbeat intervals between pings of other streams; fewer if the answer could
otherwise arrive after the receive time-out."""
PONG_HEARTBEATS = 1.5
"""Time allowed for the answer to a ping, in heartbeat intervals."""
WRITE_BUFFER_BYTES = 1 << 16
TCP_NOTSENT_LOWAT = 25
"""Linux socket option: the socket is writable only while the kernel holds fewer
unsent bytes than this."""
NOTSENT_LOWAT_BYTES = 1 << 15


@frozen
class StreamUp:
    """The handshake of a stream is complete, so that the peer is known."""

    stream: "PeerStream"


@frozen
class StreamDown:
    """A stream was lost.

    Attributes
    ----------
    unsent : tuple of object
        Messages of which no byte was sent.
    was_open : bool
        Whether a connection had been established.
    cause : str
        Reason for the log.
    """

    stream: "PeerStream"
    unsent: tuple[object, ...]
    was_open: bool
    cause: str


@frozen
class StreamMessage:
    """A message, or a protocol error, received on a stream."""

    stream: "PeerStream"
    message: object


class PeerStream:
    """A stream to another node, driven by the chart ``peer_stream``.

    Events for the owner of the stream are collected in ``events``.

    Attributes
    ----------
    node : str
        Name of the peer; empty until it is known.
    mask : int
        Selector events that the owner has registered the socket for.
    recorded_bytes : int
        What the owner has recorded of ``held_bytes``.
    ledger : TrafficLedger or None
        Counts the messages that are sent; set by the owner.
    has_carried_messages : bool
        Whether any message of the owner was sent or received. If two nodes connect
        to each other simultaneously, there is a second stream that carries none.
    """

    def __init__(
        self,
        sock: socket,
        address: Address,
        hello: Hello,
        codec: Codec,
        cfg: PeerSettings,
        max_message_bytes: int,
        now: float,
    ):
        self.sock = sock
        self.address = address
        self.node = ""
        self.peer_hello: Hello | None = None
        self.events: list[object] = []
        self.last_used = now
        self.last_received = now
        self.is_initiator = False
        self.has_carried_messages = False
        self._is_leaving = False
        self.mask = 0
        self.recorded_bytes = 0
        self.ledger: TrafficLedger | None = None
        self._hello = hello
        self._cfg = cfg
        self._codec = codec
        self._send_queue = SendQueue(codec, cfg.chunk_bytes)
        self._reader = codec.reader(cfg.max_frame_bytes)
        self._reassembler = MessageReassembler(codec, max_message_bytes)
        self._open_attempts: dict[str, float] = {}
        self._write_buffer = bytearray()
        self._pinged_at = now
        self._ping_sequence = 0
        self._close_cause = "closed by the peer"
        self.chart = PEER_STREAM_CHART.start(self)
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_LOWAT_BYTES)

    @classmethod
    def accept(cls, sock, address, hello, codec, cfg, max_message_bytes, now):
        """Return the stream of a connection that a peer has opened."""
        stream = cls(sock, address, hello, codec, cfg, max_message_bytes, now)
        stream.chart.send("connected")
        return stream

    @classmethod
    def connect(cls, address, hello, codec, cfg, max_message_bytes, now):
        """Return a stream whose connection is being established."""
        sock = socket(type=SOCK_STREAM)
        stream = cls(sock, address, hello, codec, cfg, max_message_bytes, now)
        stream.is_initiator = True
        sock.connect_ex((address.host, address.port))
        return stream

    # Actions of the chart.
    def send_hello(self, arg):
        """Identify the local node to the peer."""
        self._write_buffer += self._codec.encode(self._hello)

    def report_up(self, hello: Hello):
        """Report to the owner that the peer has identified itself."""
        self.node = hello.node
        self.peer_hello = hello
        self.events.append(StreamUp(self))

    def is_leaving(self, arg):
        """Return whether the stream is to be closed."""
        return self._is_leaving

    def is_staying(self, arg):
        """Return whether the stream is not to be closed."""
        return not self._is_leaving

    def is_unused(self, arg):
        """Return whether no message waits for the connection."""
        return not self._send_queue

    def begin_leaving(self, hello: Hello):
        """Report that the peer has identified itself, and close the stream."""
        self.report_up(hello)
        self.send_goodbye(None)

    def send_goodbye(self, arg):
        """Enqueue the goodbye behind all messages, whose parts it must not overtake.

        The peer closes the stream when it receives the goodbye.
        """
        self._record_sent(Goodbye(), self._send_queue.put_last(Goodbye()))

    def report_unreachable(self, arg):
        """Report that no connection could be established."""
        self._report_down(was_open=False)

    def report_broken(self, arg):
        """Report that messages may have been lost."""
        self._report_down(was_open=True)

    def _report_down(self, was_open):
        unsent = tuple(
            message
            for message in self._send_queue.unsent_messages()
            if not _is_control(message)
        )
        self.events.append(StreamDown(self, unsent, was_open, self._close_cause))

    def close_socket(self, arg):
        """Close the socket."""
        self.sock.close()

    # Interface for the owner.
    @property
    def is_closed(self) -> bool:
        """Whether the stream is closed."""
        return self.chart.finished

    @property
    def accepts_messages(self) -> bool:
        """Whether messages may be sent on the stream."""
        return self.chart.state in ("connecting", "handshaking", "open")

    @property
    def is_connecting(self) -> bool:
        """Whether the connection is being established."""
        return self.chart.state == "connecting"

    def put(self, message: object, now: float) -> None:
        """Enqueue a message."""
        self._enqueue(message)
        self._track_attempt(message, now)
        self.has_carried_messages = True
        self.last_used = now

    def _enqueue(self, message):
        self._record_sent(message, self._send_queue.put(message))

    def _record_sent(self, message, size):
        if self.ledger is not None:
            self.ledger.record(self.node, message, size)

    def _track_attempt(self, message, now):
        """Record the attempts in progress, in either direction, with their deadlines.

        If there are two streams to a node, a reply may come over the other one.
        """
        cls = type(message)
        if cls is Forward:
            self._open_attempts[message.attempt] = now + message.timeout_ms / 1000
        elif cls is Reply or cls is Cancel:
            self._open_attempts.pop(message.attempt, None)

    def _forget_overdue_attempts(self, now):
        overdue = [name for name, due in self._open_attempts.items() if due <= now]
        for name in overdue:
            del self._open_attempts[name]

    @property
    def held_bytes(self) -> int:
        """Memory of incomplete and unsent messages."""
        received = self._reassembler.held_bytes + self._reader.unread_bytes
        return received + self._send_queue.held_bytes

    @property
    def transfer_count(self) -> int:
        """Number of long messages that are not received or sent completely."""
        return self._reassembler.transfer_count + self._send_queue.transfer_count

    def close_over_limit(self, cause: str) -> None:
        """Close the stream, since the process would exceed a limit."""
        self._fail(cause)

    def wants_to_write(self, may_send_part: bool) -> bool:
        """Return whether there are bytes to write."""
        return (
            self.is_connecting
            or bool(self._write_buffer)
            or self._send_queue.has_frame(may_send_part)
        )

    def begin_close(self) -> None:
        """Start to close the stream; it closes when the peer confirms.

        A stream that is still being opened sends its messages first.
        """
        self._is_leaving = True
        self.chart.send("close_requested")

    def on_connected(self, error: int) -> None:
        """Handle the result of connecting.

        Parameters
        ----------
        error : int
            Error number of the socket; 0 for success.
        """
        if error:
            self._fail(strerror(error))
        else:
            self.chart.send("connected")

    def _fail(self, cause):
        self._close_cause = cause
        self.chart.send("connection_failed")

    def write(self, may_send_part: bool) -> int:
        """Write as much as the kernel accepts; return the number of bytes."""
        written = 0
        while self._fill_write_buffer(may_send_part):
            try:
                sent = self.sock.send(self._write_buffer)
            except BlockingIOError:
                break
            except OSError as exc:
                self._fail(str(exc))
                break
            written += sent
            del self._write_buffer[:sent]
        if not self._write_buffer and not self._send_queue:
            self.chart.send("flushed")
        return written

    def _fill_write_buffer(self, may_send_part):
        while len(self._write_buffer) < WRITE_BUFFER_BYTES:
            frame = self._send_queue.next_frame(may_send_part)
            if frame is None:
                break
            self._write_buffer += frame
        return bool(self._write_buffer)

    def read(self, buffer: ReceiveBuffer, now: float) -> None:
        """Read from the socket; messages are added to ``events``.

        Parameters
        ----------
        buffer : ReceiveBuffer
            Memory for the read.
        """
        try:
            data = buffer.receive(self.sock)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(str(exc))
            return
        self.last_received = now
        try:
            self._feed(data, now)
        except ProtocolError as exc:
            self.events.append(StreamMessage(self, exc))
            self._fail(str(exc))

    def _feed(self, data, now):
        for message in self._reader.feed(data):
            self._handle_message(message, now)
        if not data:
            self._reader.finish()
            self.chart.send("connection_failed")

    def _handle_message(self, message, now):
        cls = type(message)
        if cls is Hello:
            self.chart.send("hello_received", message)
        elif not self.node:
            # Messages cannot be attributed to a node before its hello. Without this
            # error, heartbeats would be answered while all other messages are lost.
            raise MissingHelloError(cls.__name__)
        elif cls is Ping:
            self._enqueue(Pong(message.sequence))
        elif cls is Goodbye:
            self.chart.send("goodbye_received")
        elif cls is Part:
            assembled = self._reassembler.add(message)
            if assembled is not None:
                self._handle_message(assembled, now)
        elif cls is not Pong:
            self.last_used = now
            self._track_attempt(message, now)
            self.has_carried_messages = True
            self.events.append(StreamMessage(self, message))

    def tick(self, now: float) -> None:
        """Send a ping if one is due, or close a silent or idle stream."""
        self._forget_overdue_attempts(now)
        silent_s = now - self.last_received
        timeout_ms = self._cfg.silent_ms
        if self.is_connecting:
            timeout_ms = self._cfg.connect_timeout_ms
        if silent_s * 1000 > timeout_ms:
            is_opening = self.chart.state in ("connecting", "handshaking")
            self._close_cause = (
                f"nothing received for {silent_s:.1f} s in state {self.chart.state}"
            )
            self.chart.send("connection_failed" if is_opening else "receive_timed_out")
        elif self._is_idle(now):
            self.chart.send("close_requested")
        elif self._needs_ping(now):
            self._ping(now)

    def _needs_ping(self, now):
        """Return whether a ping is due; any received bytes count as a sign of life."""
        heartbeat_ms = self._cfg.heartbeat_ms
        last_activity = max(self._pinged_at, self.last_received)
        ping_interval_ms = heartbeat_ms
        if now - self.last_used >= RECENT_USE_S:
            max_interval_ms = self._cfg.silent_ms - PONG_HEARTBEATS * heartbeat_ms
            ping_interval_ms = max(
                min(IDLE_PING_HEARTBEATS * heartbeat_ms, max_interval_ms),
                heartbeat_ms,
            )
        return (now - last_activity) * 1000 >= ping_interval_ms

    def _is_idle(self, now):
        # The loss of a stream ends the attempts on it; without a stream they would
        # wait for their deadline.
        is_in_use = bool(self._send_queue) or bool(self._open_attempts)
        idle_s = now - self.last_used
        return self.is_initiator and idle_s > self._cfg.idle_s and not is_in_use

    def _ping(self, now):
        self._pinged_at = now
        if self.chart.state in ("open", "leaving"):
            self._ping_sequence += 1
            self._enqueue(Ping(self._ping_sequence))


def _is_control(message):
    return isinstance(message, Ping | Pong | Goodbye)


PEER_STREAM_CHART = bind_methods("peer_stream", PeerStream)
