"""Fuzz tests: arbitrary frames, settings and notes raise only typed errors."""

import os

from attrs import fields
from hypothesis import given, reject, settings
from hypothesis import strategies as st
from msgpack import packb

from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.errors import (
    MalformedMessageError,
    NoteError,
    ProtocolError,
    SettingsError,
)
from monsoonmill.messages import PEER_MESSAGES, Load, Part, Ping, Reply
from monsoonmill.model import HttpResponse
from monsoonmill.node.reassembly import MessageReassembler
from monsoonmill.node.send_queue import SendQueue
from monsoonmill.notes import parse_note
from monsoonmill.reasons import Outcome
from monsoonmill.settings import Settings

EXAMPLES = int(os.environ.get("MONSOON_FUZZ_EXAMPLES", "150"))
CHUNK_BYTES = 1024
MAX_MESSAGE_BYTES = 1 << 20
CODEC = MsgpackCodec(PEER_MESSAGES)
fuzz = settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20)
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
NAMES = [cls.__name__ for cls in PEER_MESSAGES]
FIELDS = sorted({field.name for cls in PEER_MESSAGES for field in fields(cls)})


def decode_stream(data):
    """Return the messages that a new reader decodes, and the error that ends them."""
    results = []
    try:
        results.extend(CODEC.reader().feed(data))
    except ProtocolError as exc:
        results.append(exc)
    return results


@fuzz
@given(st.binary(max_size=200))
def test_fuzz_decode_arbitrary_bytes(data):
    decode_stream(data)


@fuzz
@given(
    st.sampled_from(NAMES),
    st.dictionaries(st.sampled_from(FIELDS), values, max_size=12) | values,
)
def test_fuzz_decode_arbitrary_fields(name, content):
    decode_stream(packb([name, content]))


@fuzz
@given(st.data(), st.sampled_from(PEER_MESSAGES))
def test_fuzz_message_round_trip(data, cls):
    message = data.draw(st.from_type(cls))
    try:
        frame = CODEC.encode(message)
    except (OverflowError, UnicodeEncodeError):
        # Nodes do not send integers beyond 64 bits or lone surrogates.
        reject()
    (decoded,) = CODEC.reader().feed(frame)
    assert repr(decoded) == repr(message)


@fuzz
@given(
    st.lists(st.binary(max_size=6000), max_size=6),
    st.lists(st.booleans(), max_size=40),
    st.integers(1, 700),
)
def test_fuzz_send_queue_round_trip_for_any_segmentation(
    bodies, may_send_parts, segment_bytes
):
    send_queue = SendQueue(CODEC, CHUNK_BYTES)
    sent_replies = [make_reply(number, body) for number, body in enumerate(bodies)]
    pings = [Ping(number) for number in range(len(bodies))]
    for reply, ping in zip(sent_replies, pings, strict=True):
        send_queue.put(reply)
        send_queue.put(ping)
    data = b"".join(
        send_queue.next_frame(may_send) or b"" for may_send in may_send_parts
    )
    data += b"".join(iter(lambda: send_queue.next_frame(True), None))
    received = list(receive(data, segment_bytes))
    assert [message for message in received if isinstance(message, Ping)] == pings
    replies = [message for message in received if isinstance(message, Reply)]
    assert sorted(replies, key=lambda reply: reply.attempt) == sent_replies


def make_reply(number, body):
    response = HttpResponse(200, (("x", "y"),), body)
    return Reply(str(number), Outcome.DONE, None, response, number, 0, Load())


def receive(data, segment_bytes):
    """Yield the messages of a stream that arrives in segments."""
    reader, reassembler = CODEC.reader(), MessageReassembler(CODEC, MAX_MESSAGE_BYTES)
    for start in range(0, len(data), segment_bytes):
        for message in reader.feed(data[start : start + segment_bytes]):
            complete = (
                reassembler.add(message) if isinstance(message, Part) else message
            )
            if complete is not None:
                yield complete
    reader.finish()


@fuzz
@given(st.dictionaries(st.sampled_from(["node", "call", "peers", "x"]), values))
def test_fuzz_load_settings(tables):
    try:
        Settings.from_dict(tables)
    except SettingsError as exc:
        assert exc.key


@fuzz
@given(
    st.fixed_dictionaries(
        {},
        optional={
            "note": values,
            "added": st.dictionaries(
                st.sampled_from(["organisations", "keys", "routes"]), values, max_size=3
            ),
            "withdrawn": values,
        },
    )
    | values
)
def test_fuzz_parse_notes(doc):
    try:
        parse_note(doc)
    except NoteError as exc:
        assert exc.problem


@fuzz
@given(st.binary(max_size=100) | values.map(repr).map(str.encode))
def test_fuzz_decode_stored_configurations(data):
    try:
        JsonConfigCodec().decode(data)
    except MalformedMessageError:
        pass
