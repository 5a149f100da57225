"""HTTP front end, tested over real sockets."""

from contextlib import contextmanager
from socket import create_connection
from threading import Barrier, BrokenBarrierError, Event, Thread

from monsoonmill.counters import Counters
from monsoonmill.node.headers import OUTCOME
from monsoonmill.node.ingress import CallApp
from monsoonmill.node.program import Node
from monsoonmill.node.task import ShuttingDown
from monsoonmill.node.web import App, AppServer, WebRequest, WebResponse
from monsoonmill.reasons import Outcome
from monsoonmill.settings import Settings
from monsoonmill.task import Inbox


class EchoApp(App):
    def respond(self, req, raw_req):
        return WebResponse(200, (("X-Path", req.uri),), req.body or req.uri.encode())


class MeetingApp(App):
    """Answers a request once a number of them are served at the same time."""

    def __init__(self, size):
        self._barrier = Barrier(size)

    def respond(self, req, raw_req):
        try:
            self._barrier.wait(20)
        except BrokenBarrierError:
            return WebResponse(503)
        return WebResponse(200)


@contextmanager
def running_server(app=None, threads=2, **http):
    counters = Counters()
    cfg = Settings.from_dict({"http": http}).http
    server = AppServer("127.0.0.1", 0, app or EchoApp(), threads, cfg, counters)
    server.prepare()
    thread = Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server, counters
    finally:
        server.stop()
        thread.join(5)


class ClientOfStoppedTask:
    """Client of a node's task whose drain times out while its calls run."""

    def next_name(self):
        return "1"

    def start_call(self, arrival):
        reply = Inbox()
        reply.post(ShuttingDown())
        return reply


class StoppedTask:
    """Task of a node whose drain has ended."""

    def __init__(self):
        self.drained = Event()
        self.drained.set()

    def post(self, message):
        pass


# The rendering of the answer failed, and the caller got a 500 without an outcome.
def test_call_that_a_drain_cuts_off_is_answered_with_its_outcome():
    req = WebRequest("GET", "/profiles/1", (), b"")
    resp = CallApp(ClientOfStoppedTask()).respond(req, None)
    assert resp.status == 503
    assert (OUTCOME, Outcome.UNKNOWN.value) in resp.headers


def exchange(server, request):
    """Send bytes and return all received bytes until the server closes."""
    with create_connection(("127.0.0.1", server.port), timeout=5) as sock:
        sock.sendall(request)
        return b"".join(iter(lambda: sock.recv(65536), b""))


# A node on a busy host started 99 threads one by one before its own task, and was not
# ready after 28 s.
def test_a_port_opens_before_all_its_worker_threads_are_started():
    size = 16
    with running_server(MeetingApp(size), threads=size) as (server, _):
        assert server.requests.idle < size / 2
        socks = [create_connection(("127.0.0.1", server.port), 30) for _ in range(size)]
        for sock in socks:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answers = [sock.recv(12) for sock in socks]
        for sock in socks:
            sock.close()
    assert answers == [b"HTTP/1.1 200"] * size


def test_each_request_on_a_connection_gets_exactly_one_response():
    first = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    last = b"GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    with running_server() as (server, _):
        received = exchange(server, first + last)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.endswith(b"\r\n\r\n/b")


# Callers learned only from a reset that a stopping node had closed its connections.
def test_each_connection_ends_with_its_next_response_during_a_drain():
    node = Node.__new__(Node)
    node.cfg = Settings.from_dict({})
    node.task = StoppedTask()
    with running_server() as (server, _):
        node.servers = (server,)
        request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
        with create_connection(("127.0.0.1", server.port), timeout=5) as sock:
            sock.sendall(request)
            assert b"Connection: close" not in sock.recv(65536)
            node.drain()
            sock.sendall(request)
            received = b"".join(iter(lambda: sock.recv(65536), b""))
    assert received.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in received


def test_malformed_request_is_rejected_and_counted_and_affects_no_other():
    with running_server() as (server, counters):
        assert b" 400 " in exchange(server, b"GARBAGE\r\n\r\n")
        valid = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        assert b" 200 " in exchange(server, valid)
    assert counters.value("bad-request") == 1


def test_oversized_body_is_rejected_and_counted():
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"
    with running_server(max_body_bytes=1024) as (server, counters):
        assert b" 413 " in exchange(server, head)
    assert counters.value("too-large") == 1


def test_answer_before_a_malformed_request_in_the_same_segment_is_sent():
    with running_server() as (server, _):
        first = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
        received = exchange(server, first + b"garbage garbage\r\n\r\n")
    resps = received.split(b"HTTP/1.1 ")[1:]
    assert [resp[:3] for resp in resps] == [b"200", b"400"]
