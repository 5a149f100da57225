"""Encoding of claim messages and of the claim map."""

from monsoonmill import claim_messages
from monsoonmill.claim_messages import (
    ClaimMapReply,
    ClaimReplicate,
    ClaimReply,
    ClaimTransfer,
)
from monsoonmill.claim_records import (
    ClaimCopy,
    ClaimMap,
    ClaimState,
    CopyHolder,
    PartitionRecord,
)
from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.messages import PEER_MESSAGES
from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Outcome, Reason

RESPONSE = HttpResponse(200, (("a", "b"),), b"\xff\x00")
COPY = ClaimCopy("o", "k", "n/1/1", 7, ClaimState.DONE, 100, 5, 3, RESPONSE)
CLAIM_MAP = ClaimMap(
    (
        PartitionRecord(CopyHolder("n", 1), CopyHolder("m", 2), 3, 2, "n/1/4"),
        PartitionRecord(CopyHolder("n", 1), None, transfer=""),
    )
)


def test_messages_round_trip_through_msgpack():
    codec = MsgpackCodec(PEER_MESSAGES)
    sent = [
        ClaimReply("n/1/1", False, Outcome.DONE, Reason.DUPLICATE, RESPONSE, 1.0),
        ClaimReplicate(1, 2, COPY),
        ClaimTransfer("n/1/2", 1, 2, 0, True, (COPY,)),
        ClaimMapReply(1, 2, None, CLAIM_MAP),
    ]
    data = b"".join(codec.encode(message) for message in sent)
    assert list(codec.reader().feed(data)) == sent


def test_all_claim_messages_are_peer_messages():
    own = [
        value
        for value in vars(claim_messages).values()
        if isinstance(value, type) and value.__module__ == claim_messages.__name__
    ]
    assert own
    assert set(own) <= set(PEER_MESSAGES)


def test_claim_map_round_trips_through_json():
    codec = JsonConfigCodec()
    assert codec.decode_claim_map(codec.encode_claim_map(CLAIM_MAP)) == CLAIM_MAP


def test_largest_map_fits_into_a_platform_value():
    holder = CopyHolder("255.255.255.255:65535", 10**13)
    record = PartitionRecord(holder, holder, 10**6, 10**6, f"{holder.node}/{10**13}/99")
    largest = ClaimMap((record,) * 1024)
    assert len(JsonConfigCodec().encode_claim_map(largest)) < 1 << 20
