"""Replies between nodes that break off, cut at every byte."""

from socket import SO_LINGER, SOL_SOCKET, create_connection, create_server
from struct import pack

import pytest
from attrs import evolve
from xxhash import xxh3_64_intdigest

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.decisions.calls.call import verify_response
from monsoonmill.messages import PEER_MESSAGES, Hello, Load, Reply
from monsoonmill.model import Address, HttpResponse
from monsoonmill.node.peer_stream import PeerStream, StreamDown, StreamMessage
from monsoonmill.node.receive_buffer import ReceiveBuffer
from monsoonmill.node.send_queue import SendQueue
from monsoonmill.reasons import Outcome, Reason
from monsoonmill.settings import Settings

HOST = "127.0.0.1"
BODY = bytes(range(200))
CHUNK_BYTES = 64
CODEC = MsgpackCodec(PEER_MESSAGES)
REPLY = Reply(
    "attempt",
    Outcome.DONE,
    None,
    HttpResponse(200, (("X-A", "1"),), BODY),
    xxh3_64_intdigest(BODY),
    3,
    Load(),
)


def encode_frames(chunk_bytes):
    queue = SendQueue(CODEC, chunk_bytes)
    queue.put(REPLY)
    frames = iter(lambda: queue.next_frame(True), None)
    return CODEC.encode(Hello("peer", 1, Address(HOST, 1))) + b"".join(frames)


WHOLE = encode_frames(1 << 16)
IN_PARTS = encode_frames(CHUNK_BYTES)


def receive(listener, data, resets=False):
    """Return the events of a stream that receives bytes and the end of the stream."""
    peer = create_connection(listener.getsockname())
    sock, _ = listener.accept()
    settings = Settings.from_dict({})
    hello = Hello("node", 1, Address(HOST, 2))
    address = Address(*sock.getpeername())
    stream = PeerStream.accept(
        sock, address, hello, CODEC, settings.peers, 1 << 20, 0.0
    )
    peer.sendall(data)
    if resets:
        peer.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    peer.close()
    sock.settimeout(3.0)
    buffer = ReceiveBuffer(1 << 16)
    while not stream.is_closed:
        stream.read(buffer, 0.0)
    return stream.events


def replies(events):
    messages = [event.message for event in events if isinstance(event, StreamMessage)]
    return [message for message in messages if isinstance(message, Reply)]


@pytest.fixture(scope="module")
def listener():
    with create_server((HOST, 0)) as listener:
        yield listener


@pytest.mark.parametrize("data", [WHOLE, IN_PARTS], ids=["whole", "parts"])
def test_complete_reply_is_received(listener, data):
    assert replies(receive(listener, data)) == [REPLY]


@pytest.mark.parametrize("data", [WHOLE, IN_PARTS], ids=["whole", "parts"])
@pytest.mark.parametrize("resets", [False, True], ids=["fin", "rst"])
def test_reply_that_breaks_off_is_not_received(listener, data, resets):
    for size in range(len(data)):
        events = receive(listener, data[:size], resets)
        assert not replies(events)
        assert any(isinstance(event, StreamDown) for event in events)


@pytest.mark.parametrize("size", range(len(BODY)))
def test_reply_with_a_cut_body_is_a_broken_answer(size):
    reply = evolve(REPLY, response=evolve(REPLY.response, body=BODY[:size]))
    verified = verify_response(reply)
    assert verified.response is None
    assert verified.reason is Reason.BROKEN_ANSWER
    assert verified.outcome is Outcome.UNKNOWN


# A node that does not check the status itself passed it on to the caller.
@pytest.mark.parametrize("status", [-1, 0, 99, 600, 999])
def test_reply_with_a_status_that_http_does_not_have_is_a_broken_answer(status):
    reply = evolve(REPLY, response=evolve(REPLY.response, status=status))
    verified = verify_response(reply)
    assert verified.response is None
    assert verified.reason is Reason.BROKEN_ANSWER
    assert verified.outcome is Outcome.UNKNOWN
