"""Backend servers that send bytes without end, answer early, or send extra bytes."""

import gc
import tracemalloc
from contextlib import contextmanager
from socket import create_connection, create_server
from threading import Event, Thread
from time import monotonic

import pytest
from attrs import evolve

from monsoonmill.decisions.calls.signals import CallArrived, RunCall, RunFailure
from monsoonmill.errors import HttpMessageTooLargeError
from monsoonmill.http1.client import BackendPool
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.parsing import RequestReader, ResponseReader
from monsoonmill.http1.server import WebApp, WebServer
from monsoonmill.load.launcher import free_port
from monsoonmill.model import Address, HttpRequest
from monsoonmill.platform.backend import PlatformBackendProtocol
from tests.test_http_engine import HOST, SIGNED, ComponentLoop

LIMITS = ConnectionLimits(2048, 1 << 25, 60.0, 10.0, max_buffered_bytes=1 << 20)
CHUNK = b"a" * 4096
MAX_CHUNKS = 10_000
ANSWER = SIGNED + b"Content-Length: 2\r\n\r\nok"


class ServerThread:
    """Accepts connections and handles each by a function in a thread of its own."""

    def __init__(self, handle):
        self.listener = create_server((HOST, 0))
        self.address = Address(HOST, self.listener.getsockname()[1])
        self.connections = 0
        self._handle = handle
        Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.connections += 1
            Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self._handle(sock)
        except OSError:
            # The client has closed the connection.
            sock.close()


class EndlessSender:
    """Answers a request with a start and then with a filler without end.

    Attributes
    ----------
    sent_bytes : int
        Bytes that clients have accepted.
    """

    def __init__(self, start, filler):
        self.sent_bytes = 0
        self._start = start
        self._filler = filler

    def __call__(self, sock):
        sock.recv(65536)
        self.send(sock)

    def send(self, sock):
        sock.sendall(self._start)
        for _ in range(MAX_CHUNKS):
            sock.sendall(self._filler)
            self.sent_bytes += len(self._filler)


def make_call(address, attempt, body=b"", timeout_s=5.0):
    headers = (("X-Monsoonmill-Attempt-Id", attempt),)
    req = HttpRequest("POST" if body else "GET", "/x", headers, body)
    return RunCall(attempt, address, req, timeout_s, "", "haven", "i-1")


def make_loop(limits=LIMITS):
    return ComponentLoop(BackendPool(PlatformBackendProtocol(), limits))


@pytest.mark.parametrize(
    ("start", "filler"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Long: ", CHUNK),
        (b"HTTP/1.1 200 OK\r\n", CHUNK),
        (b"HTTP/1.1 200 ", CHUNK),
        (b"HTTP/1.1 200 OK\r\n", b"X-Header: value\r\n" * 100),
        (
            SIGNED % b"1" + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-T: v\r\n" * 99,
        ),
        (SIGNED % b"1" + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: ", CHUNK),
    ],
)
def test_endless_head_ends_the_request_within_the_limit(start, filler):
    sender = EndlessSender(start, filler)
    server = ServerThread(sender)
    loop = make_loop()
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].failure is RunFailure.BROKEN_ANSWER
    assert loop.component.in_progress == 0


@pytest.mark.parametrize("reader_class", [RequestReader, ResponseReader])
@pytest.mark.parametrize("in_name", [True, False])
def test_endless_header_is_refused_at_the_limit(reader_class, in_name):
    reader = reader_class(2048, 1 << 20)
    is_request = reader_class is RequestReader
    reader.feed(b"GET / HTTP/1.1\r\n" if is_request else b"HTTP/1.1 200 OK\r\n")
    if not in_name:
        reader.feed(b"X: ")
    with pytest.raises(HttpMessageTooLargeError):
        for _ in range(100):
            reader.feed(b"a" * 100)


def test_long_body_in_small_parts_is_no_head():
    reader = ResponseReader(2048, 1 << 20)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
    for _ in range(1000):
        reader.feed(b"a" * 100)
    (entry,) = reader.responses
    assert len(entry[0].body) == 100_000


def test_endless_bodies_stay_within_the_budget_and_harm_no_other_call():
    """Ten endless bodies and one answer, with a budget of 1 MB.

    The answer is smaller than an equal part of the budget, so that it is never the
    largest body when the budget is exceeded. The first body that arrives may exceed
    the budget while it is the only one.
    """
    size = 60_000
    assert size < LIMITS.max_buffered_bytes // 11 - 65536 // 11
    endless = EndlessSender(SIGNED % b"e" + b"\r\n", CHUNK)

    def serve(sock):
        request = sock.recv(65536)
        if b"Attempt-Id: whole" in request:
            head = SIGNED % b"whole" + b"Content-Length: %d\r\n\r\n" % size
            sock.sendall(head + b"b" * size)
            return
        endless.send(sock)

    server = ServerThread(serve)
    loop = make_loop()
    pool = loop.component
    loop.dispatch(pool.on_run, make_call(server.address, "whole"))
    for number in range(10):
        loop.dispatch(pool.on_run, make_call(server.address, f"e{number}"))
    most = 0

    def has_whole_answer():
        nonlocal most
        if len(pool._budget._sizes) > 1:
            most = max(most, pool.buffered_bytes)
        return len(loop.signals) >= 10 and any(
            finished.attempt == "whole" for finished in loop.signals
        )

    loop.run_until(has_whole_answer, limit_s=20.0)
    (whole,) = [finished for finished in loop.signals if finished.attempt == "whole"]
    assert len(whole.response.body) == size
    assert most <= LIMITS.max_buffered_bytes + 65536
    failures = {finished.failure for finished in loop.signals if finished is not whole}
    assert failures == {RunFailure.BROKEN_ANSWER}


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Monsoonmill-Attempt-Id: 1\r\n\r\n",
        SIGNED % b"another" + b"\r\n",
        SIGNED % b"1" + b"Content-Encoding: gzip\r\n\r\n",
    ],
)
def test_response_that_is_no_answer_is_given_up_before_its_endless_body(start):
    sender = EndlessSender(start, CHUNK)
    server = ServerThread(sender)
    loop = make_loop()
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    received = 0

    def has_failed():
        nonlocal received
        received = max(received, loop.component.buffered_bytes)
        return loop.signals

    loop.run_until(has_failed)
    assert loop.signals[0].failure is RunFailure.BROKEN_ANSWER
    assert received <= 65536


def test_answer_behind_a_long_response_to_another_request_is_reported():
    late = SIGNED % b"0" + b"Content-Length: 200000\r\n\r\n"

    def serve(sock):
        sock.recv(65536)
        sock.sendall(late + b"b" * 200_000 + ANSWER % b"1")

    server = ServerThread(serve)
    loop = make_loop()
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].response.body == b"ok"


def test_single_body_may_exceed_the_shared_budget():
    size = 3 << 20

    def serve(sock):
        sock.recv(65536)
        sock.sendall(SIGNED % b"1" + b"Content-Length: %d\r\n\r\n" % size)
        sock.sendall(b"b" * size)

    loop = make_loop()
    server = ServerThread(serve)
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    loop.run_until(lambda: loop.signals)
    assert len(loop.signals[0].response.body) == size


# Answers before the request's body has been read.
def test_rest_of_an_answered_upload_is_sent_and_the_connection_reused():
    body = b"u" * (24 << 20)
    received = []
    answered = Event()

    def serve(sock):
        sock.recv(1000)
        sock.sendall(ANSWER % b"1")
        answered.wait(5.0)
        stop = monotonic() + 5.0
        got = 0
        tail = b""
        while b"Attempt-Id: 2" not in tail and monotonic() < stop:
            data = sock.recv(65536)
            if not data:
                return
            got += len(data)
            tail = (tail + data)[-400:]
        received.append(got)
        sock.sendall(ANSWER % b"2")

    server = ServerThread(serve)
    loop = make_loop()
    pool = loop.component
    loop.dispatch(pool.on_run, make_call(server.address, "1", body))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].response.body == b"ok"
    assert not pool._idle
    answered.set()
    loop.run_until(lambda: pool._idle)
    loop.dispatch(pool.on_run, make_call(server.address, "2"))
    loop.run_until(lambda: len(loop.signals) == 2)
    assert loop.signals[1].response.body == b"ok"
    assert server.connections == 1
    assert received[0] > len(body) - 1000


def test_connection_that_still_sends_an_upload_carries_no_other_request():
    # The server reads no more, so that the rest of the body stays unsent.
    held = []

    def serve(sock):
        held.append(sock)
        request = sock.recv(1000)
        attempt = b"2" if b"Attempt-Id: 2" in request else b"1"
        sock.sendall(ANSWER % attempt)

    server = ServerThread(serve)
    loop = make_loop()
    pool = loop.component
    loop.dispatch(pool.on_run, make_call(server.address, "1", b"u" * (24 << 20)))
    loop.run_until(lambda: loop.signals)
    loop.dispatch(pool.on_run, make_call(server.address, "2"))
    loop.run_until(lambda: len(loop.signals) == 2)
    assert loop.signals[1].response.body == b"ok"
    assert server.connections == 2


# Bytes on a connection without a request.
@pytest.mark.parametrize(
    "extra", [b"HTTP/1.1 503 Unavailable\r\nX-Monso", b"\r\n", b"junk"]
)
def test_bytes_on_an_idle_connection_close_it(extra):
    sent = []

    def serve(sock):
        sock.recv(65536)
        sock.sendall(ANSWER % b"1")
        while not sent:
            sock.settimeout(0.01)
            try:
                sock.recv(1)
            except TimeoutError:
                continue
        sock.sendall(extra)
        sock.settimeout(5.0)
        sock.recv(1)

    server = ServerThread(serve)
    loop = make_loop()
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    loop.run_until(lambda: loop.signals)
    assert loop.component._idle
    sent.append(True)
    loop.run_until(lambda: not loop.component._idle)


# A second copy of a refusal that names no request was taken as the answer to the next
# request on its connection, which ran.
@pytest.mark.parametrize("has_id", [False, True])
def test_late_copy_of_a_refusal_is_not_taken_as_the_next_answer(has_id):
    refusal_id = b"X-Monsoonmill-Attempt-Id: 1\r\n" if has_id else b""
    refusal = (
        b"HTTP/1.1 503 Unavailable\r\nX-Monsoonmill-Not-Executed: 1\r\n"
        + refusal_id
        + b"Content-Length: 0\r\n\r\n"
    )

    def serve(sock):
        while request := sock.recv(65536):
            if b"Attempt-Id: 1" in request:
                sock.sendall(refusal)
                if sock.recv(65536):
                    sock.sendall(refusal)
                    sock.sendall(ANSWER % b"2")
            else:
                sock.sendall(ANSWER % b"2")

    server = ServerThread(serve)
    loop = make_loop()
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].not_run
    loop.dispatch(loop.component.on_run, make_call(server.address, "2"))
    loop.run_until(lambda: len(loop.signals) == 2)
    assert not loop.signals[1].not_run
    assert loop.signals[1].response.body == b"ok"
    assert server.connections == (1 if has_id else 2)


def test_odd_keep_alive_header_is_ignored():
    answer = SIGNED + b"Keep-Alive: timeout=\xb2\r\nContent-Length: 2\r\n\r\nok"

    def serve(sock):
        sock.recv(65536)
        sock.sendall(answer % b"1")

    server = ServerThread(serve)
    loop = make_loop()
    loop.dispatch(loop.component.on_run, make_call(server.address, "1"))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].response.body == b"ok"


# Memory of closed connections. They must not wait for the garbage collector, which
# counts objects and not their sizes.
@contextmanager
def no_garbage_collection():
    """Turn the collector off and yield a function for the bytes allocated since."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    try:
        yield lambda: tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
        gc.enable()


@pytest.mark.parametrize(
    ("start", "filler"),
    [(SIGNED % b"1" + b"\r\n", CHUNK), (b"HTTP/1.1 200 OK\r\nX-Long: ", CHUNK)],
)
def test_endless_responses_are_freed_when_their_connections_close(start, filler):
    limits = evolve(LIMITS, max_body_bytes=1 << 21, max_header_bytes=1 << 18)
    server = ServerThread(EndlessSender(start, filler))
    with no_garbage_collection() as allocated_bytes:
        loop = make_loop(limits)
        for number in range(8):
            call = make_call(server.address, str(number))
            loop.dispatch(loop.component.on_run, call)
            loop.run_until(lambda count=number + 1: len(loop.signals) == count)
        assert allocated_bytes() < limits.max_body_bytes


@pytest.mark.parametrize("is_complete", [False, True])
def test_requests_of_callers_that_disconnect_are_freed(is_complete):
    class PendingApp(WebApp):
        def handle(self, name, req):
            return CallArrived(name, "s", HttpRequest(req.method, req.path))

        def render(self, answer):
            return answer.response

    size = 1 << 20
    limits = evolve(LIMITS, max_body_bytes=size)
    server = WebServer(Address(HOST, free_port()), PendingApp(), limits)
    loop = ComponentLoop(server)
    head = b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    sent_bytes = size if is_complete else size - 1000
    with no_garbage_collection() as allocated_bytes:
        for _ in range(8):
            sock = create_connection((HOST, server._address.port), timeout=3.0)
            Thread(target=sock.sendall, args=(head + b"u" * sent_bytes,)).start()
            loop.run_until(lambda: server.budget.total_bytes >= sent_bytes)
            sock.close()
            loop.run_until(lambda: not server._conns)
        assert allocated_bytes() < 2 * size
    server.close()
