"""Malformed, oversized and forged input at the ports of a running node."""

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
from tests.integration.connections import PersistentConnection
from tests.integration.release_notes import SECRETS
from tests.process_fleet import HOST, wait_for

pytestmark = pytest.mark.integration
scenarios("../features/bad_input.feature")

TIMEOUT_S = 5.0
KEY = f"Authorization: Bearer {SECRETS['branch']}"
MAX_FRAME_BYTES = 1 << 20
MAX_BODY_BYTES = 16_777_216


@frozen
class BadRequest:
    """An invalid request and how the node must refuse it.

    Attributes
    ----------
    counter : str
        Counter that must increase, also the reason in the response.
    has_refusal_headers : bool
        Whether the response must tell the reason and the outcome.
    """

    name: str
    data: bytes
    status: int
    counter: str
    has_refusal_headers: bool = True


def make_request(path, *headers, method="GET", body=b""):
    lines = (f"{method} {path} HTTP/1.1", "Host: node", "Connection: close", *headers)
    return "\r\n".join((*lines, "", "")).encode() + body


def bad_requests():
    lookup, pledge = "/donkeys/lookup/1", "/donkeys/pledges/1"

    def post(*headers, body=b""):
        return make_request(pledge, KEY, *headers, method="POST", body=body)

    long_header = "X-Long: " + "a" * 40_000
    yield BadRequest("not HTTP", b"\x00\xff garbage\r\n\r\n", 400, "bad-request", False)
    yield BadRequest(
        "long header", make_request(lookup, KEY, long_header), 413, "too-large", False
    )
    oversized = f"Content-Length: {MAX_BODY_BYTES + 1}"
    yield BadRequest("large body", post(oversized), 413, "too-large", False)
    for length in ("ten", "-1"):
        data = post(f"Content-Length: {length}", body=b"x" * 10)
        yield BadRequest(f"length {length}", data, 400, "bad-request", length == "-1")
    truncated = post("Content-Length: 100", body=b"x" * 10)
    yield BadRequest("truncated body", truncated, 400, "bad-request")
    chunks = post("Transfer-Encoding: chunked", body=b"zz\r\nabc\r\n0\r\n\r\n")
    yield BadRequest("bad chunk", chunks, 400, "bad-request")
    both = post("Transfer-Encoding: chunked", "Content-Length: 3", body=b"0\r\n\r\n")
    yield BadRequest("length and chunks", both, 400, "bad-request")
    truncated = post("Transfer-Encoding: chunked", body=b"20\r\nabc")
    yield BadRequest("truncated chunk", truncated, 400, "bad-request")
    yield BadRequest("no service", make_request("/cats/1", KEY), 404, "no-service")
    yield BadRequest("no route", make_request("/donkeys/x", KEY), 404, "no-route")
    yield BadRequest("no key", make_request(lookup), 401, "no-key")
    unknown = make_request(lookup, "Authorization: Bearer x")
    yield BadRequest("unknown key", unknown, 401, "unknown-key")
    basic = make_request(lookup, "Authorization: Basic eDp5")
    yield BadRequest("not a bearer key", basic, 400, "bad-request")
    yield BadRequest(
        "forbidden", make_request("/donkeys/clinic/1", KEY), 403, "forbidden"
    )
    forged = make_request(lookup, KEY, "Monsoon-Context: forged")
    yield BadRequest("forged context", forged, 400, "bad-context")
    bad_timeout = make_request(lookup, KEY, "Monsoon-Timeout-Ms: soon")
    yield BadRequest("bad timeout", bad_timeout, 400, "bad-request")
    yield BadRequest("dots", make_request("/donkeys/../x", KEY), 400, "bad-request")


def send(port, data):
    """Send data, shut down the sending side and return everything received."""
    with create_connection((HOST, port), TIMEOUT_S) as connection:
        connection.sendall(data)
        connection.shutdown(SHUT_WR)
        return b"".join(iter(lambda: connection.recv(65536), b""))


@given("a caller with a persistent connection", target_fixture="connection")
def open_connection(context):
    connection = PersistentConnection(context.fleet.hosts[0])
    assert connection.lookup(context.auth_headers()).status == 200
    return connection


@when("a node receives invalid requests")
def send_invalid_requests(context):
    host = context.fleet.hosts[0]
    for bad in bad_requests():
        before = host.counter(bad.counter)
        response = send(host.call_port, bad.data)
        increase = host.counter(bad.counter) - before
        context.results.append((bad, response, increase))


@then("each request was refused with its status and reason and counted")
def check_refusals(context):
    wrongly_handled = [
        (bad.name, response[:200], increase)
        for bad, response, increase in context.results
        if not is_refused_correctly(bad, response, increase)
    ]
    assert wrongly_handled == []


def is_refused_correctly(bad, response, increase):
    has_status = response.startswith(f"HTTP/1.1 {bad.status} ".encode())
    has_reason = f"Monsoon-Reason: {bad.counter}".encode() in response
    is_not_run = b"Monsoon-Outcome: not-run" in response
    return (
        has_status
        and increase == 1
        and (has_reason and is_not_run or not bad.has_refusal_headers)
    )


@then("only the valid calls were executed")
def only_valid_calls_executed(context):
    assert {execution["path"] for execution in context.fleet.executions()} == {
        "/lookup/1"
    }


@then("the persistent connection and all processes still work")
def connection_and_processes_work(context, connection):
    assert [connection.lookup(context.auth_headers()).status for _ in range(20)] == [
        200
    ] * 20
    connection.close()
    assert all(
        host.node.is_running and host.backend.is_running for host in context.fleet.hosts
    )
    assert context.fleet.hosts[0].counter("http-errors") == 0


def invalid_streams():
    codec = MsgpackCodec(PEER_MESSAGES)
    hello = codec.encode(Hello("stranger", 1, Address(HOST, 1)))
    yield "not msgpack", b"\xc1" * 10
    yield "not a pair", packb(7)
    yield "unknown type", packb(["Shutdown", {}])
    yield "wrong fields", packb(["Ping", {"sequence": []}])
    yield (
        "huge bytes field",
        packb(["Part", {"transfer": 1, "last": True, "data": 1 << 62}]),
    )
    yield "infinite number", packb(["Ping", {"sequence": float("inf")}])
    yield "oversized", hello + b"\xdb\x7f\xff\xff\xff" + b"x" * (MAX_FRAME_BYTES + 1)
    yield "deep", b"\x91" * 5000 + b"\xc0"
    yield "truncated", hello + codec.encode(Ping(1))[:-2]


@when("a node receives invalid data on new peer streams")
def send_invalid_streams(context):
    host = context.fleet.hosts[0]
    for name, data in invalid_streams():
        counter = "cut-frames" if name == "truncated" else "bad-frames"
        before = host.counter(counter)
        with suppress(ConnectionResetError):
            send(host.peer_port, data)
        wait_for(partial(has_increased, host, counter, before), 3.0, name)


def has_increased(host, counter, before):
    return host.counter(counter) > before


@then("each stream was closed and its error counted")
def check_stream_counters(context):
    host = context.fleet.hosts[0]
    assert host.counter("bad-frames") == len(list(invalid_streams())) - 1
    assert host.counter("cut-frames") == 1
