"""Transport between nodes: the streams of a node, on one selector."""

from collections import defaultdict
from collections.abc import Iterator
from selectors import EVENT_READ, EVENT_WRITE, DefaultSelector
from socket import SO_ERROR, SOL_SOCKET

from attrs import define

from monsoonmill.codec import Codec
from monsoonmill.counters import Counters
from monsoonmill.decisions.signals import PeerDown, PeerUnreachable, PeerUp, Received
from monsoonmill.errors import ProtocolError, TruncatedFrameError
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.http1.memory_budget import CALM_FRACTION, MemoryBudget
from monsoonmill.messages import Hello, Reply
from monsoonmill.model import Address
from monsoonmill.node.listening_port import ListeningPort
from monsoonmill.node.peer_stream import PeerStream, StreamDown, StreamMessage, StreamUp
from monsoonmill.node.receive_buffer import ReceiveBuffer
from monsoonmill.node.traffic_ledger import TrafficLedger
from monsoonmill.settings import Settings

log = get_logger("peers")

TICK_INTERVAL_S = 0.25
READ_BYTES = 1 << 18
LISTEN_BACKLOG = 512
MIN_RECORDED_BYTES = 1 << 16
"""Streams that hold less are not recorded, which saves time for each message."""
MESSAGE_OVERHEAD_BYTES = 1 << 20
"""Maximum size of a message in excess of its body."""


@define
class ByteBudget:
    """Token bucket that limits the bytes sent to other regions.

    Attributes
    ----------
    rate : float
        Bytes per second; also the capacity of the bucket.
    tokens : float
        Bytes that may be sent now; negative after an overdraft.
    """

    rate: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last refill."""
        refilled = self.tokens + self.rate * (now - self.updated_at)
        self.tokens = min(refilled, self.rate)
        self.updated_at = now


class PeerTransport:
    """Owns the streams to other nodes; runs in the node's task.

    Parameters
    ----------
    selector : selectors.BaseSelector
        Selector on which the node's task waits.
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
        self._stream_by_node: dict[str, PeerStream] = {}
        self._address_by_node: dict[str, Address] = {}
        self._region_by_node: dict[str, str] = {}
        self._ledger = TrafficLedger(counters, cfg.node.region, cfg.node.data_centre)
        rate = float(cfg.peers.region_bytes_per_s)
        self._budget = ByteBudget(rate, rate, now)
        self._next_tick = now + TICK_INTERVAL_S
        self._receive_buffer = ReceiveBuffer(READ_BYTES)
        self._held = MemoryBudget(cfg.peers.max_held_bytes)
        self._flush_pending: set[PeerStream] = set()
        self.bytes_by_region: dict[str, int] = defaultdict(int)
        self._is_closing = False
        address = Address(cfg.node.host, cfg.node.peer_port)
        self._port = ListeningPort(address, LISTEN_BACKLOG, selector, self)
        self._port.open(now)

    @property
    def is_listening(self) -> bool:
        """Whether connections of other nodes are accepted."""
        return self._port.is_open

    def set_address(
        self, node: str, address: Address, region: str, data_centre: str = ""
    ) -> None:
        """Store the address and location of a node."""
        self._ledger.set_location(node, region, data_centre)
        self._address_by_node[node] = address
        self._region_by_node[node] = region

    def connect(self, address: Address, now: float) -> None:
        """Open a stream to a node whose name is not known yet."""
        if address != self._hello.address and not self._is_closing:
            self._open(address, now)

    def send(self, node: str, message: object, now: float) -> Iterator[object]:
        """Send a message to a node; open a stream if there is none."""
        stream = self._stream_by_node.get(node)
        if stream is None or not self._is_usable(stream, now):
            address = self._address_by_node.get(node)
            if address is None or not self._may_open_stream_for(message):
                yield PeerUnreachable(node, message)
                return
            stream = self._open(address, now)
            stream.node = node
            self._stream_by_node[node] = stream
        stream.put(message, now)
        if self._is_closing:
            stream.begin_close()
        self._flush_pending.add(stream)

    def _may_open_stream_for(self, message):
        """Return whether a message is worth a new stream.

        While the streams are being closed, nodes still await the replies to what they
        sent before they received the goodbye; nothing else may delay the end.
        """
        return not self._is_closing or isinstance(message, Reply)

    def _is_usable(self, stream, now):
        if not stream.accepts_messages:
            return False
        # A stream that has received nothing for two heartbeat intervals may be lost.
        # A connection attempt reveals that sooner than the receive time-out.
        silent_ms = (now - stream.last_received) * 1000
        return stream.is_connecting or silent_ms < 2 * self._cfg.peers.heartbeat_ms

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
        stream.ledger = self._ledger
        stream.mask = EVENT_READ | EVENT_WRITE
        self._selector.register(stream.sock, stream.mask, stream)

    # Called by the node's task.
    def on_accept(self, now: float) -> None:
        """Accept the pending connections of other nodes."""
        while True:
            try:
                sock, (host, port) = self._port.accept()
            except OSError:
                return
            if not self._make_room():
                self._report_limit("streams-refused", host)
                sock.close()
                continue
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

    def _make_room(self):
        """Return whether one more stream may be accepted.

        At the limit, the oldest stream whose peer has not identified itself is closed.
        """
        accepted = [stream for stream in self._streams if not stream.is_initiator]
        if len(accepted) < self._cfg.peers.max_streams:
            return True
        unknown = [stream for stream in accepted if not stream.node]
        if not unknown:
            return False
        oldest = min(unknown, key=lambda stream: stream.last_used)
        self._report_limit("streams-closed", oldest.address)
        oldest.close_over_limit("too many streams")
        # A stream without a node raises no signals.
        for _ in self._process_events(oldest):
            pass
        return True

    def _report_limit(self, reason, peer):
        self._counters.add(reason)
        held = self._held.total_bytes
        request_log.write(reason, peer=peer, streams=len(self._streams), held=held)

    def _limit_held(self, stream):
        """Record what a stream holds; close the one that holds the most if needed.

        It is left alone if it holds one long message and the others are calm, since a
        single message may exceed the limit.
        """
        size = stream.held_bytes
        if size < MIN_RECORDED_BYTES:
            size = 0
        if size == stream.recorded_bytes:
            return
        stream.recorded_bytes = size
        self._held.record(stream, size)
        while self._held.is_exceeded:
            largest, others = self._held.find_largest()
            is_calm = others <= CALM_FRACTION * self._held.max_bytes
            if is_calm and largest.transfer_count == 1:
                return
            self._report_limit("peer-memory-closed", largest.address)
            self._held.forget(largest)
            largest.close_over_limit("holds too much memory")
            yield from self._process_events(largest)

    def on_ready(self, stream: PeerStream, mask: int, now: float) -> Iterator[object]:
        """Handle the readiness of a stream; yield signals for the core."""
        if stream.is_connecting and mask & EVENT_WRITE:
            stream.on_connected(stream.sock.getsockopt(SOL_SOCKET, SO_ERROR))
        elif mask & EVENT_READ:
            stream.read(self._receive_buffer, now)
            if not stream.is_closed:
                yield from self._limit_held(stream)
        self._flush_pending.add(stream)
        yield from self._process_events(stream)

    def flush(self, now: float) -> Iterator[object]:
        """Write to the streams that may have data to send; yield signals."""
        self._budget.refill(now)
        while self._flush_pending:
            stream = self._flush_pending.pop()
            if stream.is_closed:
                continue
            is_in_other_region = self._is_in_other_region(stream)
            may_send_part = not is_in_other_region or self._budget.tokens > 0
            if not stream.is_connecting:
                self._count_sent_bytes(
                    stream, stream.write(may_send_part), is_in_other_region
                )
            yield from self._process_events(stream)
            if not stream.is_closed:
                yield from self._limit_held(stream)
            if not stream.is_closed:
                self._update_interest(stream, may_send_part)

    def _count_sent_bytes(self, stream, written, is_in_other_region):
        self.bytes_by_region[self._region_by_node.get(stream.node, "")] += written
        if is_in_other_region:
            self._budget.tokens -= written

    def _is_in_other_region(self, stream):
        region = self._region_by_node.get(stream.node, self._cfg.node.region)
        return region != self._cfg.node.region

    def _update_interest(self, stream, may_send_part):
        mask = EVENT_READ
        if stream.wants_to_write(may_send_part):
            mask |= EVENT_WRITE
        if stream.mask != mask:
            stream.mask = mask
            self._selector.modify(stream.sock, mask, stream)

    def _process_events(self, stream):
        if stream.is_closed and stream in self._streams:
            self._remove(stream)
        if not stream.events:
            return
        events, stream.events = stream.events, []
        for event in events:
            if type(event) is not StreamMessage:
                yield from self._handle_event(event)
            elif isinstance(event.message, ProtocolError):
                self._report_bad_frame(stream, event.message)
            else:
                yield Received(stream.node, event.message)

    def _remove(self, stream):
        self._streams.discard(stream)
        self._held.forget(stream)
        self._selector.unregister(stream.sock)
        if self._stream_by_node.get(stream.node) is stream:
            del self._stream_by_node[stream.node]

    def _handle_event(self, event):
        stream = event.stream
        if isinstance(event, StreamUp):
            yield from self._on_up(stream)
        elif isinstance(event, StreamDown):
            log.info(
                "stream_lost",
                node=stream.node,
                address=stream.address,
                cause=event.cause,
                was_open=event.was_open,
                has_another=stream.node in self._stream_by_node,
                unsent=len(event.unsent),
            )
            for message in event.unsent:
                yield PeerUnreachable(stream.node, message)
            if event.was_open and stream.node and stream.has_carried_messages:
                yield PeerDown(stream.node)

    def _report_bad_frame(self, stream, error):
        is_truncated = isinstance(error, TruncatedFrameError)
        self._counters.add("cut-frames" if is_truncated else "bad-frames")
        log.warning("bad_frame", peer=stream.address, error=type(error).__name__)

    def _on_up(self, stream):
        hello = stream.peer_hello
        self._address_by_node[hello.node] = hello.address
        known_stream = self._stream_by_node.get(hello.node)
        if known_stream is None or not known_stream.accepts_messages:
            self._stream_by_node[hello.node] = stream
        log.info("stream_open", node=hello.node, address=stream.address)
        yield PeerUp(hello.node, hello.incarnation, hello.address)

    def next_due(self) -> float:
        """Return the time at which ``tick`` is due."""
        return self._next_tick

    def tick(self, now: float) -> Iterator[object]:
        """Run the timers of the streams and resume writes that the budget held back."""
        if now < self._next_tick:
            return
        self._next_tick = now + TICK_INTERVAL_S
        self._port.resume()
        self._port.tick(now)
        for stream in list(self._streams):
            stream.tick(now)
            yield from self._process_events(stream)
            if stream.wants_to_write(True):
                self._flush_pending.add(stream)

    @property
    def has_streams(self) -> bool:
        """Whether any stream is open."""
        return bool(self._streams)

    @property
    def stream_count(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    @property
    def has_unsent(self) -> bool:
        """Whether any stream has data to write."""
        return any(stream.wants_to_write(True) for stream in self._streams)

    def begin_close(self) -> Iterator[object]:
        """Stop accepting connections and start to close all streams; yield signals."""
        self._is_closing = True
        self._port.close()
        for stream in list(self._streams):
            stream.begin_close()
            # The next socket may get the descriptor of a stream that closed at once.
            yield from self._process_events(stream)
        self._flush_pending |= self._streams

    def close(self) -> None:
        """Close all sockets immediately."""
        self._port.close()
        for stream in self._streams:
            stream.sock.close()

    def status(self) -> dict:
        """Return the number of streams and the bytes sent to each region."""
        return {"streams": len(self._streams), "bytes": dict(self.bytes_by_region)}
