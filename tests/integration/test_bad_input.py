"""Malformed, oversized and forged input at real sockets."""

from contextlib import suppress
from functools import partial
from socket import SHUT_WR, create_connection

import pytest
from attrs import frozen
from msgpack import packb
from pytest_bdd import given, scenarios, then, when

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.messages import PEER_MESSAGES, Hello, Ping
from monsoonmill.model import Address
from tests.integration.connections import KeptConnection
from tests.integration.release_notes import SECRETS
from tests.process_fleet import HOST, wait_for

pytestmark = pytest.mark.integration
scenarios("../features/bad_input.feature")

TIMEOUT_S = 5.0
KEY = f"Authorization: Bearer {SECRETS['branch']}"
FRAME_LIMIT = 1 << 20
BODY_LIMIT = 16_777_216


@frozen
class BadRequest:
    """A request, and what the caller and the counters have to tell."""

    name: str
    data: bytes
    status: int
    counter: str
    typed: bool = True


def request(path, *headers, method="GET", body=b""):
    lines = (f"{method} {path} HTTP/1.1", "Host: node", "Connection: close", *headers)
    return "\r\n".join((*lines, "", "")).encode() + body


def bad_requests():
    lookup, pledge = "/donkeys/lookup/1", "/donkeys/pledges/1"

    def post(*headers, body=b""):
        return request(pledge, KEY, *headers, method="POST", body=body)

    many = "X-Long: " + "a" * 40_000
    yield BadRequest("no HTTP", b"\x00\xff garbage\r\n\r\n", 400, "bad-request", False)
    yield BadRequest("long header", request(lookup, KEY, many), 413, "too-large", False)
    large = f"Content-Length: {BODY_LIMIT + 1}"
    yield BadRequest("large body", post(large), 413, "too-large", False)
    for length in ("ten", "-1"):
        data = post(f"Content-Length: {length}", body=b"x" * 10)
        yield BadRequest(f"length {length}", data, 400, "bad-request", length == "-1")
    cut = post("Content-Length: 100", body=b"x" * 10)
    yield BadRequest("cut body", cut, 400, "bad-request")
    chunks = post("Transfer-Encoding: chunked", body=b"zz\r\nabc\r\n0\r\n\r\n")
    yield BadRequest("bad chunk", chunks, 400, "bad-request")
    both = post("Transfer-Encoding: chunked", "Content-Length: 3", body=b"0\r\n\r\n")
    yield BadRequest("length and chunks", both, 400, "bad-request")
    cut = post("Transfer-Encoding: chunked", body=b"20\r\nabc")
    yield BadRequest("cut chunk", cut, 400, "bad-request")
    yield BadRequest("no service", request("/cats/1", KEY), 404, "no-service")
    yield BadRequest("no route", request("/donkeys/x", KEY), 404, "no-route")
    yield BadRequest("no key", request(lookup), 401, "no-key")
    unknown = request(lookup, "Authorization: Bearer x")
    yield BadRequest("unknown key", unknown, 401, "unknown-key")
    basic = request(lookup, "Authorization: Basic eDp5")
    yield BadRequest("no bearer key", basic, 400, "bad-request")
    yield BadRequest("forbidden", request("/donkeys/clinic/1", KEY), 403, "forbidden")
    forged = request(lookup, KEY, "Monsoon-Context: forged")
    yield BadRequest("forged context", forged, 400, "bad-context")
    hasty = request(lookup, KEY, "Monsoon-Timeout-Ms: soon")
    yield BadRequest("bad timeout", hasty, 400, "bad-request")
    yield BadRequest("dots", request("/donkeys/../x", KEY), 400, "bad-request")


def send(port, data):
    """Send bytes, end the sending side and return all that comes back."""
    with create_connection((HOST, port), TIMEOUT_S) as conn:
        conn.sendall(data)
        conn.shutdown(SHUT_WR)
        return b"".join(iter(lambda: conn.recv(65536), b""))


@given("a caller that stays connected", target_fixture="conn")
def connected(world):
    conn = KeptConnection(world.fleet.hosts[0])
    assert conn.lookup(world.auth()).status == 200
    return conn


@when("bad requests arrive at a node")
def send_bad(world):
    host = world.fleet.hosts[0]
    for bad in bad_requests():
        before = host.counter(bad.counter)
        answer = send(host.call_port, bad.data)
        counted = host.counter(bad.counter) - before
        world.answers.append((bad, answer, counted))


@then("each got its status and reason and was counted")
def refused(world):
    wrong = [
        (bad.name, answer[:200], counted)
        for bad, answer, counted in world.answers
        if not is_right(bad, answer, counted)
    ]
    assert wrong == []


def is_right(bad, answer, counted):
    has_status = answer.startswith(f"HTTP/1.1 {bad.status} ".encode())
    has_reason = f"Monsoon-Reason: {bad.counter}".encode() in answer
    is_not_run = b"Monsoon-Outcome: not-run" in answer
    return has_status and counted == 1 and (has_reason and is_not_run or not bad.typed)


@then("nothing has run but the good calls")
def nothing_run(world):
    assert {one["path"] for one in world.fleet.executions()} == {"/lookup/1"}


@then("the connected caller and the node are unharmed")
def unharmed(world, conn):
    assert [conn.lookup(world.auth()).status for _ in range(20)] == [200] * 20
    conn.close()
    assert all(
        host.node.is_running and host.backend.is_running for host in world.fleet.hosts
    )
    assert world.fleet.hosts[0].counter("http-errors") == 0


def bad_streams():
    codec = MsgpackCodec(PEER_MESSAGES)
    hello = codec.encode(Hello("stranger", 1, Address(HOST, 1)))
    yield "no msgpack", b"\xc1" * 10
    yield "no pair", packb(7)
    yield "unknown type", packb(["Shutdown", {}])
    yield "wrong fields", packb(["Ping", {"sequence": []}])
    yield (
        "huge bytes field",
        packb(["Part", {"transfer": 1, "last": True, "data": 1 << 62}]),
    )
    yield "infinite number", packb(["Ping", {"sequence": float("inf")}])
    yield "oversized", hello + b"\xdb\x7f\xff\xff\xff" + b"x" * (FRAME_LIMIT + 1)
    yield "deep", b"\x91" * 5000 + b"\xc0"
    yield "cut short", hello + codec.encode(Ping(1))[:-2]


@when("bad bytes arrive on new peer streams")
def send_bytes(world):
    host = world.fleet.hosts[0]
    for name, data in bad_streams():
        counter = "cut-frames" if name == "cut short" else "bad-frames"
        before = host.counter(counter)
        with suppress(ConnectionResetError):
            send(host.peer_port, data)
        wait_for(partial(has_counted, host, counter, before), 3.0, name)


def has_counted(host, counter, before):
    return host.counter(counter) > before


@then("each stream is closed and its fault counted")
def counted_each(world):
    host = world.fleet.hosts[0]
    assert host.counter("bad-frames") == len(list(bad_streams())) - 1
    assert host.counter("cut-frames") == 1
