"""The HTTP server and the backend server's connections, on real sockets."""

from contextlib import contextmanager
from resource import RLIMIT_NOFILE, getrlimit, setrlimit
from select import select
from selectors import DefaultSelector
from socket import create_connection, create_server, socket
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
from monsoonmill.decisions.lifecycle.signals import DrainStarted
from monsoonmill.http1.client import BackendPool
from monsoonmill.http1.memory_budget import MemoryBudget
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.http1.server import (
    ACCEPT_BATCH,
    LINGER_S,
    SWEEP_INTERVAL_S,
    WebApp,
    WebServer,
)
from monsoonmill.load.launcher import free_port
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.platform.backend import PlatformBackendProtocol
from monsoonmill.reasons import Outcome

LIMITS = ConnectionLimits(2048, 4096, 60.0, 10.0)
HOST = "127.0.0.1"


class ComponentLoop:
    """Event loop of one network component; records the signals that it yields."""

    def __init__(self, component):
        self.selector = DefaultSelector()
        self.component = component
        self.signals = []
        component.open(self.selector, monotonic())
        assert component.is_listening

    def run_until(self, condition, limit_s=3.0):
        deadline = monotonic() + limit_s
        while not condition():
            assert monotonic() < deadline, self.signals
            for key, mask in self.selector.select(0.02):
                self.signals.extend(key.data.on_ready(mask, monotonic()))

    def dispatch(self, handler, signal):
        self.signals.extend(handler(signal, monotonic()))


# Connections from callers.
class EchoApp(WebApp):
    def handle(self, name, req):
        if req.path == "/now":
            return HttpResponse(200, (), b"now")
        if req.path == "/fails":
            raise ValueError
        return CallArrived(name, "s", req)

    def render(self, answer):
        return answer.response


@pytest.fixture
def callers():
    server = WebServer(Address(HOST, free_port()), EchoApp(), LIMITS)
    loop = ComponentLoop(server)
    yield loop
    server.close()


def connect(loop):
    return create_connection((HOST, loop.component._address.port), timeout=3.0)


def exchange(loop, data, response_count=1):
    """Send bytes; return the bytes received up to the given number of responses."""
    sock = connect(loop)
    sock.sendall(data)
    received = bytearray()

    def is_complete():
        sock.setblocking(False)
        try:
            chunk = sock.recv(65536)
        except BlockingIOError:
            return received.count(b"HTTP/1.1") >= response_count
        received.extend(chunk)
        return not chunk

    loop.run_until(is_complete)
    sock.close()
    return bytes(received)


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
def test_malformed_request_gets_its_status_and_affects_no_other_connection(
    callers, data, status
):
    assert exchange(callers, data).split()[1] == status
    valid_request = b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n"
    assert exchange(callers, valid_request).split()[1] == b"200"


def test_pending_connections_are_accepted_in_one_batch(callers):
    sockets = [connect(callers) for _ in range(40)]
    for sock in sockets:
        sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    # A single select, since a busy task waits before the next one.
    for key, mask in callers.selector.select(1.0):
        callers.signals.extend(key.data.on_ready(mask, monotonic()))
    for sock in sockets:
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        sock.close()


def test_each_pipelined_request_is_answered(callers):
    data = b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n" * 3
    assert exchange(callers, data, 3).count(b"HTTP/1.1 200") == 3


def test_chunked_body_is_reassembled(callers):
    sock = connect(callers)
    sock.sendall(
        b"POST /later HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    callers.run_until(lambda: callers.signals)
    (arrival,) = callers.signals
    assert arrival.request.body == b"abcde"
    answer = Answer(arrival.call, Outcome.DONE, HttpResponse(200, (), b"x" * 3000))
    callers.dispatch(callers.component.on_answer, answer)
    sock.settimeout(1.0)
    assert sock.recv(65536).endswith(b"x" * 3000)


def test_bodies_of_pending_requests_count_towards_the_budget():
    """Two requests of 3000 bytes are pending; there is no memory for a third."""
    limits = ConnectionLimits(2048, 4096, 60.0, 10.0, max_buffered_bytes=8000)
    server = WebServer(Address(HOST, free_port()), EchoApp(), limits)
    loop = ComponentLoop(server)
    request = b"POST /later HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n"
    body = b"b" * 3000
    socks = [connect(loop) for _ in range(3)]
    for number, sock in enumerate(socks[:2], start=1):
        sock.sendall(request + body)
        loop.run_until(lambda number=number: len(loop.signals) == number)
    assert server.budget.total_bytes == 6000
    socks[2].sendall(request + body[:2500])
    loop.run_until(lambda: "lingering" in {c.chart.state for c in server._conns})
    assert socks[2].recv(100).startswith(b"HTTP/1.1 503 ")
    assert server.budget.total_bytes == 6000
    socks[2].close()
    loop.run_until(lambda: len(server._conns) == 2)
    for signal in list(loop.signals):
        answer = Answer(signal.call, Outcome.DONE, HttpResponse(200))
        loop.dispatch(server.on_answer, answer)
    assert server.budget.total_bytes == 0
    server.close()


def read_to_end(sock):
    """Return all bytes up to the end of the stream; a reset raises an error."""
    sock.setblocking(True)
    sock.settimeout(3.0)
    return b"".join(iter(lambda: sock.recv(65536), b""))


def begin_close(loop):
    loop.signals.extend(loop.component.begin_close(monotonic()))


def test_request_that_arrives_before_the_port_closes_is_answered(callers):
    """One request comes on a kept connection, one on a connection not accepted yet."""
    kept = connect(callers)
    kept.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.component._conns)
    assert kept.recv(65536).endswith(b"now")
    new = connect(callers)
    for sock in (kept, new):
        sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    begin_close(callers)
    for sock in (kept, new):
        resp = read_to_end(sock)
        assert resp.endswith(b"now")
        assert b"Connection: close" in resp
        sock.close()
    callers.run_until(lambda: callers.component.connection_count == 0)


# Connections behind the first batch in the accept queue were reset.
def test_all_connections_in_the_accept_queue_are_answered_before_the_port_closes(
    callers,
):
    socks = [connect(callers) for _ in range(ACCEPT_BATCH + 5)]
    for sock in socks:
        sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    begin_close(callers)
    for sock in socks:
        assert read_to_end(sock).endswith(b"now")
        sock.close()


# An error of one connection left all others open until they were aborted.
def test_error_of_one_connection_does_not_keep_others_from_closing(callers):
    socks = [connect(callers) for _ in range(3)]
    callers.run_until(lambda: len(callers.component._conns) == len(socks))
    socks.append(connect(callers))
    for sock in (socks[0], socks[-1]):
        sock.sendall(b"GET /fails HTTP/1.1\r\nHost: a\r\n\r\n")
    begin_close(callers)
    assert [conn.chart.state for conn in callers.component._conns] == ["lingering"] * 2


def test_request_that_crosses_the_end_of_an_idle_connection_resets_nothing(callers):
    sock = connect(callers)
    sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.component._conns)
    begin_close(callers)
    sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: True)
    assert read_to_end(sock).count(b"HTTP/1.1 200") == 1
    sock.close()
    callers.run_until(lambda: callers.component.connection_count == 0)


def test_answers_end_their_connections_from_the_start_of_a_drain(callers):
    sock = connect(callers)
    callers.run_until(lambda: callers.component._conns)
    callers.dispatch(callers.component.on_drain_started, DrainStarted())
    sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: not callers.component._conns or is_lingering(callers))
    assert b"Connection: close" in read_to_end(sock)


def is_lingering(loop):
    return "lingering" in {conn.chart.state for conn in loop.component._conns}


def test_caller_that_still_sends_its_body_receives_the_rejection(callers):
    sock = connect(callers)
    head = b"POST /now HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n"
    sender = Thread(target=sock.sendall, args=(head + bytes(4_000_000),))
    sender.start()
    callers.run_until(lambda: not sender.is_alive(), limit_s=10.0)
    assert read_to_end(sock).startswith(b"HTTP/1.1 413 ")


def test_caller_that_goes_on_sending_is_closed_after_the_linger_time(callers):
    sock = connect(callers)
    sock.sendall(b"POST /now HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + bytes(5000))
    callers.run_until(lambda: is_lingering(callers))
    list(callers.component.tick(monotonic() + LINGER_S + SWEEP_INTERVAL_S))
    assert callers.component.connection_count == 0


def test_answer_that_is_not_written_out_is_in_progress(callers):
    server = callers.component
    sock = connect(callers)
    sock.sendall(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.signals)
    size = 16 << 20
    answer = Answer(
        callers.signals[0].call, Outcome.DONE, HttpResponse(200, (), bytes(size))
    )
    callers.dispatch(callers.component.on_answer, answer)
    assert server.in_progress == 1
    # The end closes idle connections, but not one with an answer that is still sent.
    assert not list(server.begin_close(monotonic()))
    received = 0

    def is_received():
        nonlocal received
        sock.setblocking(False)
        try:
            received += len(sock.recv(1 << 20))
        except BlockingIOError:
            pass
        return received > size

    callers.run_until(is_received, limit_s=10.0)
    callers.run_until(lambda: server.in_progress == 0)


@contextmanager
def no_free_descriptors():
    limits = getrlimit(RLIMIT_NOFILE)
    with socket() as sock:
        lowest_free = sock.fileno()
    setrlimit(RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        setrlimit(RLIMIT_NOFILE, limits)


# Each response served the next request one call deeper.
def test_long_pipeline_of_requests_is_answered(callers):
    requests = b"GET /now HTTP/1.1\r\n\r\n" * 1000
    assert exchange(callers, requests, 1000).count(b"HTTP/1.1 200") == 1000


# Closing a socket with unread input reset the connection.
def test_request_that_arrives_as_the_idle_time_ends_is_answered(callers):
    sock = connect(callers)
    callers.run_until(lambda: callers.component._conns)
    (conn,) = callers.component._conns
    sock.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    select([conn.sock], [], [], 1.0)
    list(callers.component.tick(monotonic() + LIMITS.idle_s + 5.0))
    assert sock.recv(65536).endswith(b"now")
    sock.close()


# The port was reported as ready all the time, and the node's task did not wait.
def test_port_without_free_descriptors_does_not_keep_the_task_awake(callers):
    first, second = connect(callers), socket()
    callers.run_until(lambda: callers.component._conns)
    with no_free_descriptors():
        second.connect((HOST, callers.component._address.port))
        callers.run_until(lambda: not callers.selector.select(0))
        first.close()
        callers.run_until(lambda: not callers.component._conns)
    second.sendall(b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.component._conns)
    assert second.recv(65536).endswith(b"now")
    second.close()


def test_caller_that_stops_reading_is_disconnected_after_the_idle_time(callers):
    server = callers.component
    sock = connect(callers)
    sock.sendall(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.signals)
    response = HttpResponse(200, (), bytes(16 << 20))
    answer = Answer(callers.signals[0].call, Outcome.DONE, response)
    callers.dispatch(server.on_answer, answer)
    server.tick(monotonic() + LIMITS.idle_s - 5.0)
    assert server.in_progress == 1
    server.tick(monotonic() + LIMITS.idle_s + 5.0)
    assert server.in_progress == 0
    sock.close()


def test_disconnected_caller_is_reported(callers):
    sock = connect(callers)
    sock.sendall(b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n")
    callers.run_until(lambda: callers.signals)
    sock.close()
    callers.run_until(lambda: len(callers.signals) == 2)
    arrival, disconnected = callers.signals
    assert disconnected == CallerDisconnected(arrival.call)


def answer_all(loop):
    for signal in list(loop.signals):
        assert isinstance(signal, CallArrived)
        resp = HttpResponse(200, (), signal.request.path.encode())
        answer = Answer(signal.call, Outcome.DONE, resp)
        loop.dispatch(loop.component.on_answer, answer)


LATER = b"GET /later HTTP/1.1\r\nHost: a\r\n\r\n"
NOW = b"GET /now HTTP/1.1\r\nHost: a\r\n\r\n"
REJECTED = [
    (b"garbage garbage\r\n\r\n", b"400"),
    (b"GET /now HTTP/1.1\r\nX: " + b"a" * 4096 + b"\r\n\r\n", b"431"),
    (b"POST /now HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + b"a" * 9000, b"413"),
]


@pytest.mark.parametrize(("data", "status"), REJECTED)
@pytest.mark.parametrize("in_one_segment", [True, False])
def test_answers_that_are_owed_come_before_a_rejection(
    callers, data, status, in_one_segment
):
    sock = connect(callers)
    if in_one_segment:
        sock.sendall(LATER + data)
        callers.run_until(lambda: callers.signals)
    else:
        sock.sendall(LATER)
        callers.run_until(lambda: callers.signals)
        sock.sendall(data)
    callers.run_until(lambda: has_rejection(callers))
    sock.sendall(NOW)
    assert len(callers.signals) == 1
    answer_all(callers)
    callers.run_until(lambda: is_lingering(callers))
    resps = read_to_end(sock).split(b"HTTP/1.1 ")[1:]
    assert [resp[:3] for resp in resps] == [b"200", status]
    assert resps[0].endswith(b"/later")
    assert b"Connection: close" not in resps[0]
    sock.close()
    callers.run_until(lambda: callers.component.connection_count == 0)


def test_body_that_is_rejected_behind_a_pending_request_takes_no_memory(callers):
    budget = callers.component.budget
    sock = connect(callers)
    head = b"POST /later HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    sock.sendall(head % 2000 + b"b" * 2000 + head % 9000 + b"b" * 3500)
    callers.run_until(lambda: budget.total_bytes == 5500)
    sock.sendall(b"b" * 1000)
    callers.run_until(lambda: has_rejection(callers))
    assert budget.total_bytes == 2000
    answer_all(callers)
    callers.run_until(lambda: is_lingering(callers))
    resps = read_to_end(sock).split(b"HTTP/1.1 ")[1:]
    assert [resp[:3] for resp in resps] == [b"200", b"413"]
    assert budget.total_bytes == 0


UPGRADE = b"GET /now HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"


@pytest.mark.parametrize(
    "data", [(UPGRADE + b"\r\n") * 2 + NOW, (UPGRADE + b"\r\n") * 300]
)
def test_request_for_an_upgrade_is_answered_like_any_other(callers, data):
    count = data.count(b"HTTP/1.1")
    received = exchange(callers, data, count)
    assert received.count(b"HTTP/1.1 200") == count


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 3\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ],
)
def test_request_for_an_upgrade_with_a_body_does_not_run_without_it(callers, rest):
    data = UPGRADE.replace(b"/now", b"/later") + rest
    assert exchange(callers, data).split()[1] == b"400"
    assert not callers.signals


def has_rejection(loop):
    return any(conn._rejection is not None for conn in loop.component._conns)


@pytest.mark.parametrize(("data", "status"), REJECTED)
def test_each_request_before_a_malformed_one_is_answered(callers, data, status):
    received = exchange(callers, NOW * 3 + data, 4)
    resps = received.split(b"HTTP/1.1 ")[1:]
    assert [resp[:3] for resp in resps] == [b"200"] * 3 + [status]


def test_caller_that_closes_after_malformed_data_is_reported(callers):
    sock = connect(callers)
    sock.sendall(LATER + b"garbage garbage\r\n\r\n")
    callers.run_until(lambda: callers.signals)
    sock.close()
    callers.run_until(lambda: len(callers.signals) == 2)
    arrival, disconnected = callers.signals
    assert disconnected == CallerDisconnected(arrival.call)
    assert callers.component.in_progress == 0


# Connections to the backend server.
OK = b"HTTP/1.1 200 OK\r\nX-Monsoonmill-Attempt-Id: %s\r\n"
SIGNED = OK + b"X-Monsoonmill-Response-Signature: s\r\n"


class RawBackend:
    """Accepts one connection and sends a prepared response to each request."""

    def __init__(self, *responses, closes=True):
        self.listener = create_server((HOST, 0))
        self.address = Address(HOST, self.listener.getsockname()[1])
        self.requests = []
        self._responses = list(responses)
        self._closes = closes
        self._socks = []
        Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        sock, _ = self.listener.accept()
        self._socks.append(sock)
        for response in self._responses:
            self.requests.append(sock.recv(65536))
            sock.sendall(response)
        if self._closes:
            sock.close()


def make_call(address, attempt="1", request_id="a"):
    req = HttpRequest("GET", "/x", (("X-Monsoonmill-Attempt-Id", request_id),))
    return RunCall(attempt, address, req, 2.0, "", "haven", "i-1")


def run_request(backend, **fields):
    loop = ComponentLoop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.dispatch(loop.component.on_run, make_call(backend.address, **fields))
    loop.run_until(lambda: loop.signals)
    (finished,) = loop.signals
    return finished


def test_complete_response_is_reported():
    finished = run_request(RawBackend(SIGNED % b"a" + b"Content-Length: 2\r\n\r\nok"))
    assert finished.response.body == b"ok"


def test_response_without_length_extends_to_the_end_of_the_stream():
    finished = run_request(RawBackend(SIGNED % b"a" + b"\r\nall of it"))
    assert finished.response.body == b"all of it"


@pytest.mark.parametrize(
    ("data", "failure"),
    [
        (SIGNED % b"a" + b"Content-Length: 9\r\n\r\nok", RunFailure.BROKEN_ANSWER),
        (SIGNED % b"a" + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", "broken"),
        (b"SSH-2.0-thing\r\n\r\n", RunFailure.BROKEN_ANSWER),
        (
            b"HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
            RunFailure.BROKEN_ANSWER,
        ),
        (OK % b"a" + b"Content-Length: 0\r\n\r\n", RunFailure.BROKEN_ANSWER),
        (b"", RunFailure.CONNECTION_LOST),
    ],
)
def test_truncated_or_invalid_response_is_a_failure(data, failure):
    finished = run_request(RawBackend(data))
    assert finished.response is None
    wanted = RunFailure.BROKEN_ANSWER if failure == "broken" else failure
    assert finished.failure is wanted


def test_late_response_to_another_request_is_ignored():
    late_response = SIGNED % b"other" + b"Content-Length: 3\r\n\r\nold"
    own_response = SIGNED % b"a" + b"Content-Length: 3\r\n\r\nnew"
    finished = run_request(RawBackend(late_response + own_response))
    assert finished.response.body == b"new"


def test_connection_with_an_extra_response_is_not_reused():
    own_response = SIGNED % b"a" + b"Content-Length: 3\r\n\r\nnew"
    extra_response = SIGNED % b"a" + b"Content-Length: 3\r\n\r\nbad"
    backend = RawBackend(own_response + extra_response, closes=False)
    loop = ComponentLoop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.dispatch(loop.component.on_run, make_call(backend.address))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].response.body == b"new"
    loop.run_until(lambda: not loop.component._idle)


# The request was sent on the ended connection and reported as possibly run.
def test_idle_connection_that_has_ended_carries_no_further_request():
    backend = RawBackend(SIGNED % b"a" + b"Content-Length: 2\r\n\r\nok", closes=False)
    loop = ComponentLoop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.dispatch(loop.component.on_run, make_call(backend.address))
    loop.run_until(lambda: loop.signals)
    (conn,) = loop.component._idle
    backend._socks[0].close()
    select([conn.sock], [], [], 1.0)
    loop.dispatch(loop.component.on_run, make_call(backend.address, attempt="2"))
    assert conn.chart.finished
    sock, _ = backend.listener.accept()
    loop.run_until(lambda: loop.component._busy["2"].chart.state == "awaiting")
    assert sock.recv(65536).startswith(b"GET /x ")
    sock.close()


def test_abort_closes_the_connection():
    backend = RawBackend(b"", closes=False)
    loop = ComponentLoop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.dispatch(loop.component.on_run, make_call(backend.address))
    loop.run_until(lambda: backend.requests)
    loop.dispatch(loop.component.on_abort, AbortRun("1"))
    assert loop.signals[0].failure is RunFailure.ABORTED
    assert loop.component.in_progress == 0


def test_request_over_a_refused_connection_was_not_sent():
    sock = create_server((HOST, 0))
    address = Address(HOST, sock.getsockname()[1])
    sock.close()
    loop = ComponentLoop(BackendPool(PlatformBackendProtocol(), LIMITS))
    loop.dispatch(loop.component.on_run, make_call(address))
    loop.run_until(lambda: loop.signals)
    assert loop.signals[0].failure is RunFailure.NOT_SENT


# Clients that send or hold more than they should.
def test_head_of_16_kib_with_the_shortest_lines_is_served(callers):
    server = WebServer(
        Address(HOST, free_port()), EchoApp(), ConnectionLimits(65536, 4096, 60.0, 10.0)
    )
    loop = ComponentLoop(server)
    head = NOW[:-2] + b"a:\r\n" * ((16_384 - len(NOW)) // 4) + b"\r\n"
    assert exchange(loop, head).split()[1] == b"200"
    too_many = NOW[:-2] + b"a:\r\n" * 6000 + b"\r\n"
    assert exchange(loop, too_many).split()[1] == b"431"
    server.close()


# A caller's end of its stream is behind bytes that are not read.
def test_caller_that_closes_behind_requests_sent_ahead_is_reported(callers):
    sock = connect(callers)
    sock.sendall(LATER * 3000)
    callers.run_until(lambda: callers.component._paused)
    sock.close()
    callers.signals.extend(callers.component.tick(monotonic()))
    arrival, disconnected = callers.signals
    assert disconnected == CallerDisconnected(arrival.call)
    assert callers.component.connection_count == 0


def test_requests_sent_ahead_of_a_refusal_wait(callers):
    sock = connect(callers)
    sock.sendall(LATER + NOW)
    callers.run_until(lambda: callers.signals)
    answer = Answer(callers.signals[0].call, Outcome.NOT_RUN, HttpResponse(503))
    callers.dispatch(callers.component.on_answer, answer)
    (conn,) = callers.component._conns
    assert conn.reader.requests
    callers.signals.extend(callers.component.tick(conn.resumes_at))
    assert sock.recv(65536).count(b"HTTP/1.1 ") == 2
    sock.close()


@pytest.mark.parametrize("is_complete", [False, True])
def test_largest_holder_gives_way_and_no_other_one(is_complete):
    """A request that is being received is refused; one that is pending is aborted."""
    memory = MemoryBudget(100_000)
    limits = ConnectionLimits(65536, 1 << 20, 60.0, 10.0)
    server = WebServer(Address(HOST, free_port()), EchoApp(), limits, memory)
    loop = ComponentLoop(server)
    head = b"POST /later HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    large, small = connect(loop), connect(loop)
    large.sendall(head % 90_000 + b"b" * (90_000 if is_complete else 89_000))
    loop.run_until(lambda: memory.total_bytes >= 89_000)
    small.sendall(head % 20_000 + b"b" * 20_000)
    loop.run_until(lambda: memory.total_bytes < 30_000)
    answer = read_to_end(large)
    large.close()
    names = {type(signal) for signal in loop.signals}
    assert answer.startswith(b"" if is_complete else b"HTTP/1.1 503 ")
    assert names == {CallArrived} | ({CallerDisconnected} if is_complete else set())
    assert b"Retry-After" in answer or is_complete
    loop.run_until(lambda: server.connection_count == 1)
    server.close()


def test_slow_reader_that_gives_way_has_an_incomplete_response():
    size = 16 << 20
    limits = ConnectionLimits(65536, 1 << 20, 60.0, 10.0)
    server = WebServer(
        Address(HOST, free_port()), EchoApp(), limits, MemoryBudget(size)
    )
    loop = ComponentLoop(server)
    socks = [connect(loop), connect(loop)]
    for sock in socks:
        sock.sendall(LATER)
    loop.run_until(lambda: len(loop.signals) == 2)
    for signal in list(loop.signals):
        answer = Answer(signal.call, Outcome.DONE, HttpResponse(200, (), bytes(size)))
        loop.dispatch(server.on_answer, answer)
    assert server.connection_count == 1
    received = [0, 0]

    def is_read():
        for number, sock in enumerate(socks):
            sock.setblocking(False)
            try:
                received[number] += len(sock.recv(1 << 20))
            except BlockingIOError:
                pass
        return max(received) > size and not server.in_progress

    loop.run_until(is_read, limit_s=10.0)
    assert 0 < min(received) < size
    server.close()
