"""Answers of a backend server that break off, cut at every byte."""

from itertools import count
from selectors import DefaultSelector
from socket import IPPROTO_TCP, SO_LINGER, SOL_SOCKET, TCP_NODELAY, create_server
from struct import pack
from threading import Timer
from time import monotonic

import pytest
from attrs import frozen

from monsoonmill.clock import SystemClock
from monsoonmill.decisions.calls.signals import RunCall, RunFailure
from monsoonmill.errors import ProtocolError
from monsoonmill.http1.client import BackendPool
from monsoonmill.http1.messages import ConnectionLimits, encode_response
from monsoonmill.http1.parsing import RequestReader, ResponseReader
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.node.egress import RunPool
from monsoonmill.platform.backend import PlatformBackendProtocol
from monsoonmill.settings import Settings
from monsoonmill.task import Inbox

HOST = "127.0.0.1"
LIMITS = ConnectionLimits(2048, 4096, 60.0, 10.0)
ID = b"X-Monsoonmill-Attempt-Id: "
SIGNATURE = b"X-Monsoonmill-Response-Signature: 3e1b.c9\r\n"
START = b"HTTP/1.1 200 OK\r\n" + ID + b"%s\r\n" + SIGNATURE
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BODY = b"hello world!"


@frozen
class Answer:
    """An answer with its framing.

    Attributes
    ----------
    start : bytes
        Head, with a place for the id of the request.
    rest : bytes
        The framed body.
    """

    start: bytes
    rest: bytes = BODY
    body: bytes = BODY
    method: str = "GET"
    ends_with_connection: bool = False

    def head(self, request_id):
        return self.start % request_id

    def wire(self, request_id):
        return self.head(request_id) + self.rest


ANSWERS = {
    "length": Answer(START + b"Content-Length: 12\r\n\r\n"),
    "length-first": Answer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
        + SIGNATURE
        + ID
        + b"%s\r\nDate: now\r\n\r\n"
    ),
    "chunks": Answer(
        START + CHUNKED, b"005\r\nhello\r\n07;e=1\r\n world!\r\n000\r\n\r\n"
    ),
    "trailers": Answer(
        START + b"Trailer: Digest\r\n" + CHUNKED,
        b"c\r\nhello world!\r\n0\r\nDigest: crc=1\r\n\r\n",
    ),
    "end-of-stream": Answer(START + b"\r\n", ends_with_connection=True),
    "no-content": Answer(START.replace(b"200 OK", b"204 None") + b"\r\n", b"", b""),
    "not-modified": Answer(
        START.replace(b"200 OK", b"304 Same") + b"Content-Length: 12\r\n\r\n", b"", b""
    ),
    "interim": Answer(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </x>\r\n\r\n"
        + START
        + b"Content-Length: 12\r\n\r\n"
    ),
    "head-length": Answer(START + b"Content-Length: 12\r\n\r\n", b"", b"", "HEAD"),
    "head-chunks": Answer(START + CHUNKED, b"", b"", "HEAD"),
    "head-no-length": Answer(START + b"\r\n", b"", b"", "HEAD"),
}


class CuttingServer:
    """Answers requests in the thread of the test; closes with FIN or with RST."""

    def __init__(self):
        self.listener = create_server((HOST, 0))
        self.listener.settimeout(3.0)
        self.address = Address(*self.listener.getsockname())
        self.sock = None

    def read_request(self):
        if self.sock is None:
            self.sock, _ = self.listener.accept()
            self.sock.settimeout(3.0)
            self.sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            chunk = self.sock.recv(65536)
            assert chunk
            data += chunk

    def close(self, resets=False):
        if resets:
            self.sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.sock.close()
        self.sock = None


class PlatformClient:
    """Sends requests over the connections of the users' platform."""

    def __init__(self, server):
        self.server = server
        self.pool = BackendPool(PlatformBackendProtocol(), LIMITS)
        self.selector = DefaultSelector()
        self.pool.open(self.selector, monotonic())
        self._attempts = count()
        self._results = []

    def send(self, request_id=b"a", method="GET"):
        headers = (("X-Monsoonmill-Attempt-Id", request_id.decode()),)
        req = HttpRequest(method, "/x", headers)
        attempt = str(next(self._attempts))
        call = RunCall(attempt, self.server.address, req, 2.0, "", "haven", "i-1")
        self._results = list(self.pool.on_run(call, monotonic()))
        while self.pool._busy[attempt].chart.state == "connecting":
            self._poll()
        self.server.read_request()

    def _poll(self):
        for key, mask in self.selector.select(3.0):
            self._results.extend(key.data.on_ready(mask, monotonic()))

    def result(self):
        deadline = monotonic() + 3.0
        while not self._results:
            assert monotonic() < deadline
            self._poll()
        (finished,) = self._results
        return finished

    def close(self):
        self.pool.close()
        self.selector.close()


class OwnInterfaceClient:
    """Sends requests over the connections of the product's own interface."""

    def __init__(self, server):
        self.server = server
        self._inbox = Inbox()
        self._pool = RunPool(
            Settings.from_dict({}).http, SystemClock(), self._inbox.post
        )
        self._attempts = count()

    def send(self, request_id=b"a", method="GET"):
        attempt = str(next(self._attempts))
        req = HttpRequest(method, "/x", ())
        self._pool.run(RunCall(attempt, self.server.address, req, 3.0, "token"))
        self.server.read_request()

    def result(self):
        worker_idle = self._inbox.take(5.0)
        self._pool.on_worker_idle(worker_idle)
        return worker_idle.finished

    def close(self):
        for worker in self._pool._idle_workers:
            worker.stop()


@pytest.fixture(params=[PlatformClient, OwnInterfaceClient])
def client(request):
    server = CuttingServer()
    client = request.param(server)
    yield client
    client.close()
    server.listener.close()


def check_cut(finished, answer, size, head_size, resets):
    """Check that only a body that ends with its connection may be a success."""
    if answer.ends_with_connection and size >= head_size and not resets:
        assert finished.response.body == answer.body[: size - head_size]
    else:
        assert finished.response is None, (size, finished)


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("resets", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
def test_answer_that_breaks_off_is_no_success(client, name, resets, is_reused):
    answer = ANSWERS[name]
    wire, head_size = answer.wire(b"a"), len(answer.head(b"a"))
    for size in range(len(wire)):
        if is_reused:
            client.send(b"first")
            client.server.sock.sendall(ANSWERS["length"].wire(b"first"))
            assert client.result().response.body == BODY
        client.send(method=answer.method)
        client.server.sock.sendall(wire[:size])
        client.server.close(resets)
        check_cut(client.result(), answer, size, head_size, resets)


@pytest.mark.parametrize("name", ANSWERS)
def test_whole_answer_is_a_success(client, name):
    answer = ANSWERS[name]
    client.send(method=answer.method)
    client.server.sock.sendall(answer.wire(b"a"))
    client.server.close()
    assert client.result().response.body == answer.body


@pytest.mark.parametrize("name", ANSWERS)
def test_answer_that_breaks_off_behind_another_one_is_no_success(name):
    server = CuttingServer()
    client = PlatformClient(server)
    answer = ANSWERS[name]
    wire, head_size = answer.wire(b"a"), len(answer.head(b"a"))
    for size in range(len(wire)):
        client.send(method=answer.method)
        server.sock.sendall(ANSWERS["chunks"].wire(b"other") + wire[:size])
        server.close()
        check_cut(client.result(), answer, size, head_size, False)
    client.close()


@pytest.mark.parametrize("name", ANSWERS)
def test_answer_that_breaks_off_in_single_bytes_is_incomplete(name):
    answer = ANSWERS[name]
    wire, head_size = answer.wire(b"a"), len(answer.head(b"a"))
    for size in range(len(wire)):
        reader = ResponseReader(2048, 4096)
        reader.expect_response(answer.method)
        for position in range(size):
            reader.feed(wire[position : position + 1])
        assert not reader.responses
        is_complete = answer.ends_with_connection and size >= head_size
        assert reader.feed_eof() is is_complete


# Each head is whole, so that only its own lines show that it can't be relied on.
MALFORMED_HEADS = {
    "length-empty": b"Content-Length:\r\n",
    "length-twice": b"Content-Length: 12\r\nContent-Length: 12\r\n",
    "lengths-differ": b"Content-Length: 5\r\nContent-Length: 12\r\n",
    "length-list": b"Content-Length: 5, 12\r\n",
    "length-signed": b"Content-Length: +5\r\n",
    "length-not-a-number": b"Content-Length: 1x\r\n",
    "length-spaced": b"Content-Length: 1 2\r\n",
    "length-folded": b"Content-Length: 1\r\n 2\r\n",
    "length-name-spaced": b"Content-Length : 5\r\n",
    "length-and-chunks": b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "line-without-colon": b"Content-Le\r\nContent-Length: 12\r\n",
    "coding-unknown": b"Transfer-Encoding: gzip\r\n",
    "coding-cut": b"Transfer-Encoding: chunke\r\n",
    "coding-empty": b"Transfer-Encoding:\r\n",
    "coding-before-chunks": b"Transfer-Encoding: gzip, chunked\r\n",
    "coding-lines": b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "chunks-before-coding": b"Transfer-Encoding: chunked, gzip\r\n",
    "chunks-twice": b"Transfer-Encoding: chunked, chunked\r\n",
}
CHUNKED_BODY = b"c\r\nhello world!\r\n0\r\n\r\n"


@pytest.mark.parametrize("lines", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS)
@pytest.mark.parametrize("rest", [BODY, CHUNKED_BODY, b""], ids=["raw", "chunks", "no"])
def test_answer_with_malformed_framing_is_no_success(client, lines, rest):
    client.send()
    client.server.sock.sendall(START % b"a" + lines + b"\r\n" + rest)
    client.server.close()
    assert client.result().response is None


@pytest.mark.parametrize(
    "wire",
    [
        START % b"a" + b"X: 1\r\n 2\r\nContent-Length: 12\r\n\r\n" + BODY,
        START.replace(b"\r\n", b"\n") % b"a" + b"Content-Length: 12\n\n" + BODY,
        START % b"a" + b"Content-Length: 12\n\r\n" + BODY,
        START % b"a" + CHUNKED + b"c\nhello world!\r\n0\r\n\r\n",
        START % b"a" + CHUNKED + b"c\r\nhello world!\n0\r\n\r\n",
        START % b"a" + CHUNKED + b"c\r\nhello world!\r\n0\n\n",
    ],
)
def test_lines_that_end_otherwise_are_refused_by_the_parser(wire):
    with pytest.raises(ProtocolError):
        ResponseReader(2048, 4096).feed(wire)


@pytest.mark.parametrize("name", [key for key in ANSWERS if key != "end-of-stream"])
@pytest.mark.parametrize(
    "extra", [b"XX", b"HTTP/1.1 2", b"\0", b"HTTP/1.1 200 OK\r\n\r\nHTTP", b"a" * 9000]
)
def test_whole_answer_with_bytes_behind_it_is_a_success(client, name, extra):
    answer = ANSWERS[name]
    client.send(method=answer.method)
    client.server.sock.sendall(answer.wire(b"a") + extra)
    assert client.result().response.body == answer.body
    assert client.server.sock.recv(100) == b""


def test_whole_answer_that_ends_its_connection_may_have_bytes_behind_it(client):
    head = START % b"a" + b"Connection: close\r\nContent-Length: 12\r\n\r\n"
    client.send()
    client.server.sock.sendall(head + BODY + b"XX")
    assert client.result().response.body == BODY


def test_refusal_with_bytes_behind_it_is_a_refusal(client):
    refusal = (
        b"HTTP/1.1 503 Full\r\nX-Monsoonmill-Attempt-Id: a\r\n"
        b"X-Monsoonmill-Not-Executed: full\r\nMonsoon-Outcome: not-run\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    client.send()
    client.server.sock.sendall(refusal + b"XX")
    assert client.result().not_run


def test_bytes_behind_an_answer_to_another_request_are_no_success():
    server = CuttingServer()
    client = PlatformClient(server)
    client.send()
    server.sock.sendall(ANSWERS["length"].wire(b"other") + b"XX")
    assert client.result().response is None
    client.close()


@pytest.mark.parametrize(
    "line",
    [
        b"X-Monsoonmill-Not-Executed: full",
        b"Monsoon-Outcome: not-run",
        b"Content-Encoding: gzip",
        b"X-Other: 1",
    ],
)
def test_trailer_fields_are_not_taken_as_headers(client, line):
    client.send()
    rest = b"c\r\nhello world!\r\n0\r\n" + line + b"\r\n\r\n"
    client.server.sock.sendall(START % b"a" + CHUNKED + rest)
    finished = client.result()
    assert finished.response.body == BODY
    assert not finished.not_run
    names = [name.lower() for name, _ in finished.response.headers]
    assert line.split(b":")[0].decode().lower() not in names


def test_trailer_field_signs_no_answer():
    reader = ResponseReader(2048, 4096)
    head = b"HTTP/1.1 200 OK\r\n" + CHUNKED
    reader.feed(head + b"1\r\na\r\n0\r\n" + SIGNATURE + b"\r\n")
    ((resp, _),) = reader.responses
    assert [name for name, _ in resp.headers] == ["Transfer-Encoding"]


def test_trailer_fields_of_a_request_are_not_taken_as_headers():
    reader = RequestReader(2048, 4096)
    reader.feed(
        b"POST /x HTTP/1.1\r\nHost: a\r\n"
        + CHUNKED
        + b"1\r\na\r\n0\r\nAuthorization: Bearer k\r\n\r\n"
    )
    ((req, _),) = reader.requests
    assert [name for name, _ in req.headers] == ["Host", "Transfer-Encoding"]


@pytest.mark.parametrize("second_id", [b"a", b"other"])
def test_head_that_breaks_off_before_another_answer_is_no_success(second_id):
    server = CuttingServer()
    head = ANSWERS["length"].head(b"a")
    second = START.replace(b"3e1b", b"77aa") % second_id
    second += b"Content-Length: 5\r\n\r\nother"
    for size in range(1, len(head)):
        client = PlatformClient(server)
        client.send()
        server.sock.sendall(head[:size] + second)
        server.close()
        resp = client.result().response
        # An answer of its own, if what came before it is no part of a head.
        assert resp is None or (second_id == b"a" and is_answer_alone(resp))
        client.close()


def is_answer_alone(resp):
    return resp.body == b"other" and resp.headers[1][1] == "77aa.c9"


def test_response_to_head_states_no_length_that_is_not_known():
    resp = HttpResponse(200, (("X-Other", "1"),))
    assert b"Content-Length" not in encode_response(resp, "HEAD", True)
    assert b"Content-Length: 0" in encode_response(resp, "GET", True)


def test_interim_response_is_not_taken_as_the_answer(client):
    client.send(b"a")
    sock = client.server.sock
    sock.sendall(b"HTTP/1.1 103 Early\r\nLink: </x>\r\n\r\n")
    timer = Timer(0.2, sock.sendall, (ANSWERS["length"].wire(b"a"),))
    timer.start()
    resp = client.result().response
    timer.join()
    assert (resp.status, resp.body) == (200, BODY)


# Without a length, the caller got `0 Unknown` and the body. With one, 000 and 099 were
# taken for interim responses, so that the caller waited for its deadline.
@pytest.mark.parametrize("length", [b"", b"Content-Length: 12\r\n"])
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_status_that_http_does_not_have_is_a_broken_answer(client, status, length):
    client.send()
    head = START.replace(b"200 OK", status + b" Odd") % b"a"
    client.server.sock.sendall(head + length + b"\r\n" + BODY)
    if not length:
        client.server.close()
    finished = client.result()
    assert finished.failure is RunFailure.BROKEN_ANSWER
    assert finished.response is None
    assert not finished.not_run
    client.server.sock = None
    client.send()
    client.server.sock.sendall(ANSWERS["length"].wire(b"a"))
    assert client.result().response.body == BODY
