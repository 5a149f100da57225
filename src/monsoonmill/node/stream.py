"""One stream to another node: its socket, its buffers and its chart."""

from os import strerror
from socket import IPPROTO_TCP, SOCK_STREAM, TCP_NODELAY, socket

from attrs import frozen

from monsoonmill.chart import bind_methods
from monsoonmill.codec import Codec
from monsoonmill.errors import NoHelloError, ProtocolError
from monsoonmill.messages import Goodbye, Hello, Part, Ping, Pong
from monsoonmill.model import Address
from monsoonmill.node.reassembly import MessageReassembler
from monsoonmill.node.send_queue import SendQueue
from monsoonmill.settings import PeerSettings

READ_BYTES = 1 << 18
IN_USE_S = 0.3
"""A stream that was written to within this time is probed at each heartbeat."""
IDLE_BEATS = 3
"""Other streams are probed once in so many heartbeats, if that leaves time for an
answer before they count as silent."""
ANSWER_BEATS = 1.5
"""Heartbeats that a probe's answer is given."""
OUT_BUFFER_BYTES = 1 << 16
TCP_NOTSENT_LOWAT = 25
"""Linux socket option: unsent bytes in the kernel above which no more go in."""
NOTSENT_BYTES = 1 << 15


@frozen
class StreamUp:
    """The other end of a stream has told who it is."""

    stream: "PeerStream"


@frozen
class StreamDown:
    """A stream broke; ``unsent`` lists messages of which no byte left.

    Attributes
    ----------
    cause : str
        What was noticed, for the log.
    """

    stream: "PeerStream"
    unsent: tuple[object, ...]
    was_open: bool
    cause: str


@frozen
class StreamMessage:
    """A message that came over a stream."""

    stream: "PeerStream"
    message: object


class PeerStream:
    """A stream to another node; owner of its peer stream chart.

    Events for the owner of the stream gather in ``events``.

    Attributes
    ----------
    node : str
        Name of the other node; empty until it is known.
    mask : int
        What the owner's selector waits for.
    has_carried : bool
        Whether any message for or from the owner has passed. Two nodes that meet
        at the same moment have a second stream that none passes over.
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
        self.last_heard = now
        self.is_initiator = False
        self.has_carried = False
        self.mask = 0
        self._hello = hello
        self._cfg = cfg
        self._codec = codec
        self._send_queue = SendQueue(codec, cfg.chunk_bytes)
        self._reader = codec.reader(cfg.max_frame_bytes)
        self._reassembler = MessageReassembler(codec, max_message_bytes)
        self._out = bytearray()
        self._pinged_at = now
        self._pings = 0
        self._cause = "closed by the other end"
        self.chart = STREAM_CHART.start(self)
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        sock.setsockopt(IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_BYTES)

    @classmethod
    def accept(cls, sock, address, hello, codec, cfg, max_message_bytes, now):
        """Return the stream of a connection that another node opened."""
        stream = cls(sock, address, hello, codec, cfg, max_message_bytes, now)
        stream.chart.send("connected")
        return stream

    @classmethod
    def connect(cls, address, hello, codec, cfg, max_message_bytes, now):
        """Return a stream whose connection is being opened."""
        sock = socket(type=SOCK_STREAM)
        stream = cls(sock, address, hello, codec, cfg, max_message_bytes, now)
        stream.is_initiator = True
        sock.connect_ex((address.host, address.port))
        return stream

    # Actions of the chart.
    def send_hello(self, arg):
        """Tell the other end who this node is."""
        self._out += self._codec.encode(self._hello)

    def report_up(self, hello: Hello):
        """Tell the owner who the other end is."""
        self.node = hello.node
        self.peer_hello = hello
        self.events.append(StreamUp(self))

    def send_goodbye(self, arg):
        """Send nothing more after what waits already."""
        self._send_queue.put(Goodbye())

    def report_unreachable(self, arg):
        """Tell the owner that no connection came about."""
        self._report_down(was_open=False)

    def report_broken(self, arg):
        """Tell the owner that messages may have been lost."""
        self._report_down(was_open=True)

    def _report_down(self, was_open):
        unsent = tuple(
            one for one in self._send_queue.unsent_messages() if not _is_control(one)
        )
        self.events.append(StreamDown(self, unsent, was_open, self._cause))

    def close_socket(self, arg):
        """Close the socket."""
        self.sock.close()

    # Use by the owner.
    @property
    def is_closed(self) -> bool:
        """Whether the stream is at its end."""
        return self.chart.finished

    @property
    def accepts_messages(self) -> bool:
        """Whether messages may be put on the stream."""
        return self.chart.state in ("connecting", "greeting", "open")

    @property
    def is_connecting(self) -> bool:
        """Whether the connection is still being opened."""
        return self.chart.state == "connecting"

    def put(self, message: object, now: float) -> None:
        """Append a message to what goes out."""
        self._send_queue.put(message)
        self.has_carried = True
        self.last_used = now

    def wants_to_write(self, may_send_part: bool) -> bool:
        """Return whether there are bytes to write."""
        return (
            self.is_connecting
            or bool(self._out)
            or self._send_queue.has_frame(may_send_part)
        )

    def leave(self) -> None:
        """Send nothing more; the stream closes when the other end agrees."""
        self.chart.send("idle")

    def on_connected(self, error: int) -> None:
        """Take the end of the opening of the connection."""
        if error:
            self._break(strerror(error))
        else:
            self.chart.send("connected")

    def _break(self, cause):
        self._cause = cause
        self.chart.send("broken")

    def write(self, may_send_part: bool) -> int:
        """Write what the kernel takes; return the number of bytes."""
        written = 0
        while self._fill(may_send_part):
            try:
                count = self.sock.send(self._out)
            except BlockingIOError:
                break
            except OSError as exc:
                self._break(str(exc))
                break
            written += count
            del self._out[:count]
        else:
            self.chart.send("flushed")
        return written

    def _fill(self, may_send_part):
        while len(self._out) < OUT_BUFFER_BYTES:
            frame = self._send_queue.next_frame(may_send_part)
            if frame is None:
                break
            self._out += frame
        return bool(self._out)

    def read(self, now: float) -> None:
        """Read what the kernel has; messages gather in ``events``."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._break(str(exc))
            return
        self.last_heard = now
        try:
            self._take_all(data, now)
        except ProtocolError as exc:
            self.events.append(StreamMessage(self, exc))
            self._break(str(exc))

    def _take_all(self, data, now):
        for message in self._reader.feed(data):
            self._take(message, now)
        if not data:
            self._reader.finish()
            self.chart.send("broken")

    def _take(self, message, now):
        cls = type(message)
        if cls is Hello:
            self.chart.send("hello", message)
        elif not self.node:
            # Without the name nobody could be given what comes: heartbeats would
            # be answered while all else is lost.
            raise NoHelloError(cls.__name__)
        elif cls is Ping:
            self._send_queue.put(Pong(message.sequence))
        elif cls is Goodbye:
            self.chart.send("goodbye")
        elif cls is Part:
            whole = self._reassembler.add(message)
            if whole is not None:
                self._take(whole, now)
        elif cls is not Pong:
            self.last_used = now
            self.has_carried = True
            self.events.append(StreamMessage(self, message))

    def tick(self, now: float) -> None:
        """Send a heartbeat, or notice silence or idleness."""
        silent_s = now - self.last_heard
        limit_ms = self._cfg.silent_ms
        if self.is_connecting:
            limit_ms = self._cfg.connect_timeout_ms
        if silent_s * 1000 > limit_ms:
            is_opening = self.chart.state in ("connecting", "greeting")
            self._cause = f"silent for {silent_s:.1f} s, {self.chart.state}"
            self.chart.send("broken" if is_opening else "silent")
        elif self._is_idle(now):
            self.chart.send("idle")
        elif self._needs_ping(now):
            self._ping(now)

    def _needs_ping(self, now):
        """Return whether the other end has been quiet; what it sends will do."""
        beat_ms = self._cfg.heartbeat_ms
        since = max(self._pinged_at, self.last_heard)
        quiet_ms = beat_ms
        if now - self.last_used >= IN_USE_S:
            latest_ms = self._cfg.silent_ms - ANSWER_BEATS * beat_ms
            quiet_ms = max(min(IDLE_BEATS * beat_ms, latest_ms), beat_ms)
        return (now - since) * 1000 >= quiet_ms

    def _is_idle(self, now):
        idle_s = now - self.last_used
        return self.is_initiator and idle_s > self._cfg.idle_s and not self._send_queue

    def _ping(self, now):
        self._pinged_at = now
        if self.chart.state in ("open", "leaving"):
            self._pings += 1
            self._send_queue.put(Ping(self._pings))


def _is_control(message):
    return isinstance(message, Ping | Pong | Goodbye)


STREAM_CHART = bind_methods("peer_stream", PeerStream)
