"""All streams of a node, behind one selector."""

from collections import defaultdict
from collections.abc import Iterator
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector
from socket import SO_ERROR, SOL_SOCKET, create_server

from attrs import define

from monsoonmill.codec import Codec
from monsoonmill.counters import Counters
from monsoonmill.decisions.signals import PeerDown, PeerUnreachable, PeerUp, Received
from monsoonmill.errors import ProtocolError, TruncatedFrameError
from monsoonmill.eventlog import get_logger
from monsoonmill.messages import Hello
from monsoonmill.model import Address
from monsoonmill.node.stream import PeerStream, StreamDown, StreamMessage, StreamUp
from monsoonmill.settings import Settings

log = get_logger("peers")

TICK_S = 0.25
MESSAGE_OVERHEAD_BYTES = 1 << 20
"""What a message may need beyond the largest body."""


@define
class ByteBudget:
    """Bytes that the node may still send to other regions at this moment."""

    rate: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add what has become free since the last time."""
        earned = self.tokens + self.rate * (now - self.updated_at)
        self.tokens = min(earned, self.rate)
        self.updated_at = now


class PeerSockets:
    """Owns the streams to other nodes; part of the node's task.

    Parameters
    ----------
    selector : selectors.BaseSelector
        Shared with the task that waits on it.
    """

    def __init__(
        self,
        cfg: Settings,
        hello: Hello,
        codec: Codec,
        selector: DefaultSelector,
        counters: Counters,
        now: float,
    ):
        self._cfg = cfg
        self._hello = hello
        self._codec = codec
        self._selector = selector
        self._counters = counters
        self._max_message_bytes = cfg.http.max_body_bytes + MESSAGE_OVERHEAD_BYTES
        self._streams: set[PeerStream] = set()
        self._by_node: dict[str, PeerStream] = {}
        self._addresses: dict[str, Address] = {}
        self._regions: dict[str, str] = {}
        rate = float(cfg.peers.region_bytes_per_s)
        self._budget = ByteBudget(rate, rate, now)
        self._next_tick = now + TICK_S
        self._dirty: set[PeerStream] = set()
        self.bytes_by_region: dict[str, int] = defaultdict(int)
        self._listener = create_server((cfg.node.host, cfg.node.peer_port), backlog=512)
        self._listener.setblocking(False)
        selector.register(self._listener, EVENT_READ, self)

    @property
    def port(self) -> int:
        """Port that other nodes connect to."""
        return self._listener.getsockname()[1]

    def learn(self, node: str, address: Address, region: str) -> None:
        """Remember where a node is reached."""
        self._addresses[node] = address
        self._regions[node] = region

    def connect(self, address: Address, now: float) -> None:
        """Open a stream to a node of which only the address is known."""
        if address != self._hello.address:
            self._open(address, now)

    def send(self, node: str, message: object, now: float) -> Iterator[object]:
        """Send a message, over a new stream if need be."""
        stream = self._by_node.get(node)
        if stream is None or not self._is_usable(stream, now):
            address = self._addresses.get(node)
            if address is None:
                yield PeerUnreachable(node, message)
                return
            stream = self._open(address, now)
            stream.node = node
            self._by_node[node] = stream
        stream.put(message, now)
        self._dirty.add(stream)

    def _is_usable(self, stream, now):
        if not stream.accepts_messages:
            return False
        # A stream that has gone quiet may be lost; a new one tells at once.
        quiet_ms = (now - stream.last_heard) * 1000
        return stream.is_connecting or quiet_ms < 2 * self._cfg.peers.heartbeat_ms

    def _open(self, address, now):
        stream = PeerStream.connect(
            address,
            self._hello,
            self._codec,
            self._cfg.peers,
            self._max_message_bytes,
            now,
        )
        self._add(stream)
        return stream

    def _add(self, stream):
        self._streams.add(stream)
        stream.mask = EVENT_READ | EVENT_WRITE
        self._selector.register(stream.sock, stream.mask, stream)

    # Driven by the node's task.
    def on_accept(self, now: float) -> None:
        """Take the connections that other nodes have opened."""
        while True:
            try:
                sock, (host, port) = self._listener.accept()
            except OSError:
                return
            stream = PeerStream.accept(
                sock,
                Address(host, port),
                self._hello,
                self._codec,
                self._cfg.peers,
                self._max_message_bytes,
                now,
            )
            self._add(stream)

    def on_ready(self, stream: PeerStream, mask: int, now: float) -> Iterator[object]:
        """Read and write what a stream is ready for."""
        if stream.is_connecting and mask & EVENT_WRITE:
            stream.on_connected(stream.sock.getsockopt(SOL_SOCKET, SO_ERROR))
        elif mask & EVENT_READ:
            stream.read(now)
        self._dirty.add(stream)
        yield from self._take_events(stream)

    def flush(self, now: float) -> Iterator[object]:
        """Write what waits on the streams that something was put on."""
        self._budget.refill(now)
        while self._dirty:
            stream = self._dirty.pop()
            if stream.is_closed:
                continue
            is_far = self._is_far(stream)
            may_send_part = not is_far or self._budget.tokens > 0
            if not stream.is_connecting:
                self._count(stream, stream.write(may_send_part), is_far)
            yield from self._take_events(stream)
            if not stream.is_closed:
                self._watch(stream, may_send_part)

    def _count(self, stream, written, is_far):
        self.bytes_by_region[self._regions.get(stream.node, "")] += written
        if is_far:
            self._budget.tokens -= written

    def _is_far(self, stream):
        region = self._regions.get(stream.node, self._cfg.node.region)
        return region != self._cfg.node.region

    def _watch(self, stream, may_send_part):
        mask = EVENT_READ
        if stream.wants_to_write(may_send_part):
            mask |= EVENT_WRITE
        if stream.mask != mask:
            stream.mask = mask
            self._selector.modify(stream.sock, mask, stream)

    def _take_events(self, stream):
        if stream.is_closed and stream in self._streams:
            self._drop(stream)
        if not stream.events:
            return
        events, stream.events = stream.events, []
        for event in events:
            yield from self._signals(event)

    def _drop(self, stream):
        self._streams.discard(stream)
        self._selector.unregister(stream.sock)
        if self._by_node.get(stream.node) is stream:
            del self._by_node[stream.node]

    def _signals(self, event):
        stream = event.stream
        if isinstance(event, StreamMessage):
            yield from self._message(stream, event.message)
        elif isinstance(event, StreamUp):
            yield from self._up(stream)
        elif isinstance(event, StreamDown):
            log.info(
                "stream_lost",
                node=stream.node,
                address=stream.address,
                cause=event.cause,
                was_open=event.was_open,
                has_another=stream.node in self._by_node,
                unsent=len(event.unsent),
            )
            for message in event.unsent:
                yield PeerUnreachable(stream.node, message)
            if event.was_open and stream.node and stream.has_carried:
                yield PeerDown(stream.node)

    def _message(self, stream, message):
        if isinstance(message, ProtocolError):
            is_cut = isinstance(message, TruncatedFrameError)
            self._counters.add("cut-frames" if is_cut else "bad-frames")
            log.warning("bad_frame", peer=stream.address, error=type(message).__name__)
        else:
            yield Received(stream.node, message)

    def _up(self, stream):
        hello = stream.peer_hello
        self._addresses[hello.node] = hello.address
        current = self._by_node.get(hello.node)
        if current is None or not current.accepts_messages:
            self._by_node[hello.node] = stream
        log.info("stream_open", node=hello.node, address=stream.address)
        yield PeerUp(hello.node, hello.incarnation, hello.address)

    def next_due(self) -> float:
        """Return when ``tick`` has something to do."""
        return self._next_tick

    def tick(self, now: float) -> Iterator[object]:
        """Send heartbeats, drop silent streams, go on with held-back parts."""
        if now < self._next_tick:
            return
        self._next_tick = now + TICK_S
        for stream in list(self._streams):
            stream.tick(now)
            yield from self._take_events(stream)
            if stream.wants_to_write(True):
                self._dirty.add(stream)

    @property
    def has_streams(self) -> bool:
        """Whether any stream is open."""
        return bool(self._streams)

    @property
    def has_unsent(self) -> bool:
        """Whether any stream has bytes to write."""
        return any(stream.wants_to_write(True) for stream in self._streams)

    def begin_close(self) -> None:
        """Take no more connections and leave the streams that are open."""
        self._selector.unregister(self._listener)
        self._listener.close()
        for stream in self._streams:
            stream.leave()
        self._dirty |= self._streams

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        for stream in self._streams:
            stream.sock.close()

    def status(self) -> dict:
        """Return the number of streams and the bytes sent to each region."""
        return {"streams": len(self._streams), "bytes": dict(self.bytes_by_region)}
