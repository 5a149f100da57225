"""The HTTP engine on real sockets: callers' side and backend server's side."""

from selectors import DefaultSelector
from socket import create_connection, create_server
from threading import Thread
from time import monotonic

import pytest

from monsoonmill.decisions.calls.signals import (
    AbortRun,
    Answer,
    CallArrived,
    CallerDisconnected,
    RunCall,
    RunFailure,
)
from monsoonmill.http1.client import BackendPool
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.server import WebApp, WebServer
from monsoonmill.load.launcher import free_port
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.platform.backend import PlatformBackendProtocol
from monsoonmill.reasons import Outcome

LIMITS = ConnectionLimits(2048, 4096, 60.0, 10.0)
HOST = "127.0.0.1"


class Loop:
    """A selector with one network component, and the signals that it yields."""

    def __init__(self, component):
        self.selector = DefaultSelector()
        self.component = component
        self.signals = []
        component.open(self.selector, monotonic())

    def run_until(self, condition, limit_s=3.0):
        limit = monotonic() + limit_s
        while not condition():
            assert monotonic() < limit, self.signals
            for key, mask in self.selector.select(0.02):
                self.signals.extend(key.data.on_ready(mask, monotonic()))

    def give(self, handler, signal):
        self.signals.extend(handler(signal, monotonic()))


# Callers.
class EchoApp(WebApp):
    def handle(self, name, req):
        if req.path == "/now":
            return HttpResponse(200, (), b"now")
        return CallArrived(name, "s", req)

    def render(self, answer):
        return answer.response


@pytest.fixture
def callers():
    server = WebServer(Address(HOST, free_port()), EchoApp(), LIMITS)
    loop = Loop(server)
    yield loop
    server.close()


def connect(loop):
    return create_connection((HOST, loop.component._address.port), timeout=3.0)


def exchange(loop, data, answers=1):
    """Send bytes; return what comes back until the connection is quiet."""
    sock = connect(loop)
    sock.sendall(data)
    got = bytearray()

    def is_done():
        sock.setblocking(False)
        try:
            part = sock.recv(65536)
        except BlockingIOError:
            return got.count(b"HTTP/1.1") >= answers
        got.extend(part)
        return not part

    loop.run_until(is_done)
    sock.close()
    return bytes(got)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST /now HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            b"400",
        ),
        (
            b"POST /now HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST /now HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
            b"400",
        ),
        (b"GET /now HTTP/1.1\r\nX: " + b"a" * 4096 + b"\r\n\r\n", b"431"),
        (b"POST /now HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + b"a" * 9000, b"413"),
    ],
)
def test_bad_requests_get_their_status_and_harm_no_other(callers, data, status):
    assert exchange(callers, data).split()[1] == status
    good = b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n"
    assert exchange(callers, good).split()[1] == b"200"


def test_callers_who_come_together_are_taken_in_together(callers):
    socks = [connect(callers) for _ in range(40)]
    for sock in socks:
        sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    # One look at the sockets: a busy task pauses before it looks again.
    for key, mask in callers.selector.select(1.0):
        callers.signals.extend(key.data.on_ready(mask, monotonic()))
    for sock in socks:
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        sock.close()


def test_pipelined_requests_are_answered_in_order(callers):
    data = b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n" * 3
    assert exchange(callers, data, 3).count(b"HTTP/1.1 200") == 3


def test_chunked_body_arrives_whole(callers):
    sock = connect(callers)
    sock.sendall(
        b"POST /later HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    callers.run_until(lambda: callers.signals)
    (arrival,) = callers.signals
    assert arrival.request.body == b"abcde"
    answer = Answer(arrival.call, Outcome.DONE, HttpResponse(200, (), b"x" * 3000))
    callers.give(callers.component.on_answer, answer)
    sock.settimeout(1.0)
    assert sock.recv(65536).endswith(b"x" * 3000)


def test_caller_that_leaves_is_noticed(callers):
    sock = connect(callers)
    sock.sendall(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.signals)
    sock.close()
    callers.run_until(lambda: len(callers.signals) == 2)
    arrived, gone = callers.signals
    assert gone == CallerDisconnected(arrived.call)


def test_garbage_behind_a_waiting_request_gets_no_bytes_before_its_answer(callers):
    sock = connect(callers)
    sock.sendall(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.signals)
    sock.sendall(b"garbage garbage\r\n\r\n")
    callers.run_until(lambda: len(callers.signals) == 2)
    sock.settimeout(1.0)
    try:
        assert sock.recv(100) == b""
    except ConnectionResetError:
        pass


# Backend server.
OK = b"HTTP/1.1 200 OK\r\nX-Monsoonmill-Attempt-Id: %s\r\n"
SIGNED = OK + b"X-Monsoonmill-Response-Signature: s\r\n"


class RawBackend:
    """Answers each connection with given bytes, then closes or resets it."""

    def __init__(self, *pieces, closes=True):
        self.listener = create_server((HOST, 0))
        self.address = Address(HOST, self.listener.getsockname()[1])
        self.requests = []
        self._pieces = list(pieces)
        self._closes = closes
        self._socks = []
        Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        sock, _ = self.listener.accept()
        self._socks.append(sock)
        for piece in self._pieces:
            self.requests.append(sock.recv(65536))
            sock.sendall(piece)
        if self._closes:
            sock.close()


def run_call(address, attempt="1", request_id="a"):
    req = HttpRequest("GET", "/x", (("X-Monsoonmill-Attempt-Id", request_id),))
    return RunCall(attempt, address, req, 2.0, "", "haven", "i-1")


def run_one(backend, **fields):
    loop = Loop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.give(loop.component.on_run, run_call(backend.address, **fields))
    loop.run_until(lambda: loop.signals)
    (finished,) = loop.signals
    return finished


def test_whole_answer_is_taken():
    finished = run_one(RawBackend(SIGNED % b"a" + b"Content-Length: 2\r\n\r\nok"))
    assert finished.response.body == b"ok"


def test_answer_without_length_ends_with_its_connection():
    finished = run_one(RawBackend(SIGNED % b"a" + b"\r\nall of it"))
    assert finished.response.body == b"all of it"


@pytest.mark.parametrize(
    ("data", "failure"),
    [
        (SIGNED % b"a" + b"Content-Length: 9\r\n\r\nok", RunFailure.BROKEN_ANSWER),
        (SIGNED % b"a" + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", "broken"),
        (b"SSH-2.0-thing\r\n\r\n", RunFailure.BROKEN_ANSWER),
        (OK % b"a" + b"Content-Length: 0\r\n\r\n", RunFailure.BROKEN_ANSWER),
        (b"", RunFailure.CONNECTION_LOST),
    ],
)
def test_what_is_no_whole_answer_is_a_failure(data, failure):
    finished = run_one(RawBackend(data))
    assert finished.response is None
    wanted = RunFailure.BROKEN_ANSWER if failure == "broken" else failure
    assert finished.failure is wanted


def test_late_answer_of_another_request_is_passed_over():
    stray = SIGNED % b"other" + b"Content-Length: 3\r\n\r\nold"
    own = SIGNED % b"a" + b"Content-Length: 3\r\n\r\nnew"
    finished = run_one(RawBackend(stray + own))
    assert finished.response.body == b"new"


def test_extra_answer_never_reaches_the_next_request():
    own = SIGNED % b"a" + b"Content-Length: 3\r\n\r\nnew"
    extra = SIGNED % b"a" + b"Content-Length: 3\r\n\r\nbad"
    backend = RawBackend(own + extra, closes=False)
    loop = Loop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.give(loop.component.on_run, run_call(backend.address))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].response.body == b"new"
    loop.run_until(lambda: not loop.component._idle)


def test_abort_closes_the_connection():
    backend = RawBackend(b"", closes=False)
    loop = Loop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.give(loop.component.on_run, run_call(backend.address))
    loop.run_until(lambda: backend.requests)
    loop.give(loop.component.on_abort, AbortRun("1"))
    assert loop.signals[0].failure is RunFailure.ABORTED
    assert loop.component.in_progress == 0


def test_refused_connection_was_not_sent():
    sock = create_server((HOST, 0))
    address = Address(HOST, sock.getsockname()[1])
    sock.close()
    loop = Loop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.give(loop.component.on_run, run_call(address))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].failure is RunFailure.NOT_SENT
