"""Streams between two nodes: real sockets, a clock of the test's own."""

from selectors import DefaultSelector
from socket import create_connection

import pytest

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.counters import Counters
from monsoonmill.decisions.signals import PeerDown, PeerUp, Received
from monsoonmill.load.launcher import free_port
from monsoonmill.messages import PEER_MESSAGES, Cancel, Hello, Ping
from monsoonmill.model import Address
from monsoonmill.node.peers import PeerSockets
from monsoonmill.settings import Settings

HOST = "127.0.0.1"
STEP_S = 0.05
SETTLE_STEPS = 20


class Side:
    """One node's sockets, and the signals that they have given."""

    def __init__(self, name, now):
        port = free_port()
        node = {"host": HOST, "peer_port": port, "name": name}
        self.name = name
        self.address = Address(HOST, port)
        self.cfg = Settings.from_dict({"node": node})
        self.selector = DefaultSelector()
        self.signals = []
        hello = Hello(name, 1, self.address)
        self.peers = PeerSockets(
            self.cfg,
            hello,
            MsgpackCodec(PEER_MESSAGES),
            self.selector,
            Counters(),
            now,
        )

    def step(self, now):
        for key, mask in self.selector.select(0):
            if key.data is self.peers:
                self.peers.on_accept(now)
            else:
                self.signals.extend(self.peers.on_ready(key.data, mask, now))
        self.signals.extend(self.peers.tick(now))
        self.signals.extend(self.peers.flush(now))

    def send(self, other, now):
        self.signals.extend(self.peers.send(other.name, Cancel("attempt"), now))

    def count(self, cls):
        return sum(isinstance(one, cls) for one in self.signals)


class Pair:
    """Two nodes whose time the test moves on."""

    def __init__(self):
        self.now = 1000.0
        self.sides = [Side("one", self.now), Side("other", self.now)]

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            # What one has written the other reads within the step.
            for side in (*self.sides, *self.sides):
                side.step(self.now)

    def settle(self):
        for _ in range(SETTLE_STEPS):
            for side in self.sides:
                side.step(self.now)


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    for side in pair.sides:
        side.peers.close()


def meet_at_the_same_moment(pair):
    one, other = pair.sides
    one.peers.connect(other.address, pair.now)
    other.peers.connect(one.address, pair.now)
    pair.settle()
    assert one.count(PeerUp) == other.count(PeerUp) == 2


def test_second_stream_of_nodes_that_met_at_the_same_moment_harms_no_call(pair):
    one, other = pair.sides
    meet_at_the_same_moment(pair)
    for _ in range(20):
        one.send(other, pair.now)
        pair.advance(0.5)
    assert one.count(PeerDown) == other.count(PeerDown) == 0
    assert other.count(Received) == 20


def test_end_of_a_stream_that_carried_nothing_harms_no_call(pair):
    one, other = pair.sides
    meet_at_the_same_moment(pair)
    one.send(other, pair.now)
    pair.settle()
    used = one.peers._by_node["other"]
    for stream in set(one.peers._streams) - {used}:
        stream.sock.shutdown(2)
    pair.advance(0.2)
    assert len(one.peers._streams) == 1
    assert one.count(PeerDown) == other.count(PeerDown) == 0


def test_end_of_a_stream_in_use_is_told(pair):
    one, other = pair.sides
    meet_at_the_same_moment(pair)
    one.send(other, pair.now)
    pair.settle()
    one.peers._by_node["other"].sock.shutdown(2)
    pair.advance(0.2)
    assert one.count(PeerDown) == other.count(PeerDown) == 1


def test_stream_whose_other_end_has_gone_silent_is_given_up(pair):
    one, other = pair.sides
    meet_at_the_same_moment(pair)
    one.send(other, pair.now)
    pair.settle()
    limit_s = one.cfg.peers.silent_ms / 1000
    while pair.now < 1000 + limit_s + 0.5:
        pair.now += STEP_S
        one.step(pair.now)
    assert one.count(PeerDown) == 1
    assert not one.peers.has_streams


@pytest.mark.parametrize("first", [Ping(1), Cancel("attempt")])
def test_stream_whose_first_message_was_lost_is_given_up(pair, first):
    one, _ = pair.sides
    address = (one.address.host, one.address.port)
    with create_connection(address, timeout=1.0) as sock:
        pair.settle()
        sock.sendall(MsgpackCodec(PEER_MESSAGES).encode(first))
        pair.settle()
        assert not one.peers.has_streams
    assert one.count(Received) == 0
