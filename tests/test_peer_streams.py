"""Streams between two nodes, over real sockets with simulated time."""

from selectors import DefaultSelector
from socket import create_connection

import pytest

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.signals import (
    PeerDown,
    PeerUnreachable,
    PeerUp,
    Received,
)
from monsoonmill.load.launcher import free_port
from monsoonmill.messages import (
    PEER_MESSAGES,
    Cancel,
    Forward,
    Hello,
    Load,
    Ping,
    Reply,
)
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.node.peer_transport import PeerTransport
from monsoonmill.reasons import Importance, Outcome, Reason
from monsoonmill.settings import Settings
from tests.test_http_engine import no_free_descriptors

HOST = "127.0.0.1"
UNREACHABLE = Address("192.0.2.1", 9)
STEP_S = 0.05
SETTLE_STEPS = 20


class TransportNode:
    """The transport of one node, and the signals that it has yielded."""

    def __init__(self, name, now):
        port = free_port()
        node_settings = {"host": HOST, "peer_port": port, "name": name}
        self.name = name
        self.address = Address(HOST, port)
        self.cfg = Settings.from_dict({"node": node_settings})
        self.selector = DefaultSelector()
        self.signals = []
        hello = Hello(name, 1, self.address)
        self.transport = PeerTransport(
            self.cfg,
            hello,
            MsgpackCodec(PEER_MESSAGES),
            self.selector,
            Counters(),
            now,
        )

    def step(self, now):
        for key, mask in self.selector.select(0):
            if key.data is self.transport:
                self.transport.on_accept(now)
            else:
                self.signals.extend(self.transport.on_ready(key.data, mask, now))
        self.signals.extend(self.transport.tick(now))
        self.signals.extend(self.transport.flush(now))

    def send(self, receiver, now):
        self.signals.extend(self.transport.send(receiver.name, Cancel("attempt"), now))

    def count_signals(self, cls):
        return sum(isinstance(signal, cls) for signal in self.signals)


class NodePair:
    """Two nodes with simulated time."""

    def __init__(self):
        self.now = 1000.0
        self.nodes = [
            TransportNode("node-a", self.now),
            TransportNode("node-b", self.now),
        ]

    def advance(self, seconds):
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += STEP_S
            # Two rounds, so that data written by one node is read within the step.
            for node in (*self.nodes, *self.nodes):
                node.step(self.now)

    def settle(self):
        for _ in range(SETTLE_STEPS):
            for node in self.nodes:
                node.step(self.now)


@pytest.fixture
def pair():
    pair = NodePair()
    yield pair
    for node in pair.nodes:
        node.transport.close()


def connect_simultaneously(pair):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    node_b.transport.connect(node_a.address, pair.now)
    pair.settle()
    assert node_a.count_signals(PeerUp) == node_b.count_signals(PeerUp) == 2


def test_idle_second_stream_after_simultaneous_connects_reports_no_loss(pair):
    node_a, node_b = pair.nodes
    connect_simultaneously(pair)
    for _ in range(20):
        node_a.send(node_b, pair.now)
        pair.advance(0.5)
    assert node_a.count_signals(PeerDown) == node_b.count_signals(PeerDown) == 0
    assert node_b.count_signals(Received) == 20


def test_loss_of_a_stream_that_carried_no_message_is_not_reported(pair):
    node_a, node_b = pair.nodes
    connect_simultaneously(pair)
    node_a.send(node_b, pair.now)
    pair.settle()
    active_stream = node_a.transport._stream_by_node["node-b"]
    for stream in set(node_a.transport._streams) - {active_stream}:
        stream.sock.shutdown(2)
    pair.advance(0.2)
    assert len(node_a.transport._streams) == 1
    assert node_a.count_signals(PeerDown) == node_b.count_signals(PeerDown) == 0


def test_loss_of_a_stream_in_use_is_reported_once(pair):
    node_a, node_b = pair.nodes
    connect_simultaneously(pair)
    node_a.send(node_b, pair.now)
    pair.settle()
    node_a.transport._stream_by_node["node-b"].sock.shutdown(2)
    pair.advance(0.2)
    assert node_a.count_signals(PeerDown) == node_b.count_signals(PeerDown) == 1


def make_forward(timeout_ms=9000):
    request = HttpRequest("GET", "/")
    return Forward(
        "a1", "s", "r", request, "o", Importance.NORMAL, False, timeout_ms, 0, 0, 0
    )


@pytest.mark.parametrize("replies", [True, False])
def test_idle_stream_closes_only_without_an_attempt_in_progress(pair, replies):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    pair.settle()
    idle_s = node_a.cfg.peers.idle_s
    forward = make_forward(timeout_ms=2 * idle_s * 1000)
    node_a.signals.extend(node_a.transport.send("node-b", forward, pair.now))
    pair.settle()
    if replies:
        reply = Reply("a1", Outcome.NOT_RUN, Reason.SHED, None, 0, 0, Load())
        node_b.signals.extend(node_b.transport.send("node-a", reply, pair.now))
        pair.settle()
    pair.advance(idle_s + 2)
    assert bool(node_a.transport._streams) is not replies
    assert node_a.count_signals(PeerDown) == node_b.count_signals(PeerDown) == 0


def test_attempt_whose_reply_came_another_way_does_not_keep_a_stream_open(pair):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    pair.settle()
    forward = make_forward()
    node_a.signals.extend(node_a.transport.send("node-b", forward, pair.now))
    pair.settle()
    pair.advance(forward.timeout_ms / 1000 + 1)
    for node in pair.nodes:
        for stream in node.transport._streams:
            assert not stream._open_attempts


def test_stream_from_a_silent_peer_is_closed_after_the_time_out(pair):
    node_a, node_b = pair.nodes
    connect_simultaneously(pair)
    node_a.send(node_b, pair.now)
    pair.settle()
    timeout_s = node_a.cfg.peers.silent_ms / 1000
    while pair.now < 1000 + timeout_s + 0.5:
        pair.now += STEP_S
        node_a.step(pair.now)
    assert node_a.count_signals(PeerDown) == 1
    assert not node_a.transport.has_streams


@pytest.mark.parametrize("first_message", [Ping(1), Cancel("attempt")])
def test_stream_is_closed_if_its_hello_was_lost(pair, first_message):
    node_a, _ = pair.nodes
    address = (node_a.address.host, node_a.address.port)
    with create_connection(address, timeout=1.0) as sock:
        pair.settle()
        sock.sendall(MsgpackCodec(PEER_MESSAGES).encode(first_message))
        pair.settle()
        assert not node_a.transport.has_streams
    assert node_a.count_signals(Received) == 0


def close_streams(node):
    node.signals.extend(node.transport.begin_close())


# A node that closed its streams went on opening new ones, and never had none.
def test_closing_transport_opens_streams_for_replies_only(pair):
    node_a, node_b = pair.nodes
    connect_simultaneously(pair)
    close_streams(node_a)
    node_a.send(node_b, pair.now)
    assert node_a.count_signals(PeerUnreachable) == 1
    node_a.transport.connect(node_b.address, pair.now)
    reply = Reply("attempt", Outcome.NOT_RUN, Reason.DRAINING, None, 0, 0, Load())
    node_a.signals.extend(node_a.transport.send(node_b.name, reply, pair.now))
    pair.advance(0.5)
    assert not node_a.transport.has_streams
    received = [s.message for s in node_b.signals if isinstance(s, Received)]
    assert [message.attempt for message in received] == ["attempt"]


def test_stream_that_is_being_opened_is_closed_with_the_transport(pair):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    node_b.transport.connect(node_a.address, pair.now)
    close_streams(node_a)
    pair.advance(0.5)
    assert not node_a.transport.has_streams


LONG_BODY = bytes(4_000_000)


def send_long_reply(sender, receiver, now):
    resp = HttpResponse(200, (), LONG_BODY)
    reply = Reply("attempt", Outcome.DONE, None, resp, 0, 0, Load())
    sender.signals.extend(sender.transport.send(receiver.name, reply, now))


# The goodbye overtook the parts of long messages, and the peer closed the stream.
@pytest.mark.parametrize("is_closing", [False, True])
def test_goodbye_does_not_overtake_a_long_reply(pair, is_closing):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    pair.settle()
    if is_closing:
        close_streams(node_a)
        pair.settle()
    send_long_reply(node_a, node_b, pair.now)
    if not is_closing:
        close_streams(node_a)
    pair.advance(1.0)
    assert node_b.count_signals(Received) == 1
    assert not node_a.transport.has_streams


def test_long_message_that_crosses_a_goodbye_arrives(pair):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    pair.settle()
    close_streams(node_a)
    node_a.signals.extend(node_a.transport.flush(pair.now))
    send_long_reply(node_b, node_a, pair.now)
    pair.advance(1.0)
    assert node_a.count_signals(Received) == 1


def test_long_reply_arrives_if_both_nodes_close_the_stream(pair):
    node_a, node_b = pair.nodes
    node_a.transport.connect(node_b.address, pair.now)
    pair.settle()
    send_long_reply(node_a, node_b, pair.now)
    for node in pair.nodes:
        close_streams(node)
    pair.advance(1.0)
    assert node_b.count_signals(Received) == 1
    assert not node_a.transport.has_streams
    assert not node_b.transport.has_streams


# The selector kept the descriptor, and the next connection of a caller failed with it.
def test_stream_that_closes_at_once_leaves_the_selector(pair):
    node_a, _ = pair.nodes
    node_a.transport.connect(UNREACHABLE, pair.now)
    (stream,) = node_a.transport._streams
    descriptor = stream.sock.fileno()
    close_streams(node_a)
    assert descriptor not in node_a.selector.get_map()
    assert not node_a.transport.has_streams


def test_peer_port_without_free_descriptors_does_not_keep_the_task_awake(pair):
    node_a, node_b = pair.nodes
    with create_connection((node_a.address.host, node_a.address.port)):
        with no_free_descriptors():
            node_a.step(pair.now)
            assert not node_a.selector.select(0.1)
        pair.advance(0.5)
        assert node_a.transport.stream_count == 1
