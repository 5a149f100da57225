"""Stand-in backend servers on the users' platform: nested calls and bad answers."""

from contextlib import contextmanager
from json import loads
from selectors import DefaultSelector
from socket import create_connection

import pytest

from monsoonmill.clock import ManualClock
from monsoonmill.http1.messages import ConnectionLimits
from monsoonmill.load.launcher import free_port
from monsoonmill.model import Address, HttpRequest
from monsoonmill.standin.platform_answers import (
    CutAnswer,
    ExtraAnswer,
    LateExtraAnswer,
    LostAnswer,
    OtherBytes,
    PlatformBackendServer,
)
from monsoonmill.standin.platform_backend import PlatformBackendApp
from monsoonmill.standin.platform_nested import CallPlan, NestedCalls, NestedResult

HOST = "127.0.0.1"
LIMITS = ConnectionLimits(65536, 1 << 20, 60.0, 10.0)


@pytest.fixture
def nested():
    """Calls of a server whose requests all need one; none is made."""
    plans = [CallPlan("/pledges/", "/index/", 2.0)]
    return NestedCalls("i-1", Address(HOST, 1), "shop.example", plans, 0)


@pytest.fixture
def app(nested):
    return PlatformBackendApp("i-1", "pledges", ManualClock(), nested)


def request(path="/pledges/1"):
    headers = (
        ("X-Monsoonmill-Attempt-Id", "one"),
        ("X-Monsoonmill-Request-Deadline", "1000"),
    )
    return HttpRequest("GET", path, headers, b"")


def end_call(app, nested, status):
    (call,) = app.calls.values()
    nested.results.post(NestedResult(call, status))
    return [answer.response.status for answer in app.due_answers()]


def test_request_is_answered_after_its_nested_call(app, nested):
    app.handle("1", request())
    assert list(app.due_answers()) == []
    assert end_call(app, nested, 200) == [200]


def test_request_whose_nested_call_fails_is_answered_with_500(app, nested):
    app.handle("1", request())
    assert end_call(app, nested, 503) == [500]
    assert [run.status for run in app.runs] == [500]


def test_request_whose_nested_call_takes_too_long_is_answered_with_504(app, nested):
    app.handle("1", request())
    app._clock.advance(1.1)
    assert end_call(app, nested, 0) == [504]


def test_nested_call_has_the_time_left_of_its_request(app):
    app.handle("1", request())
    assert [call.remaining_s for call in app.calls.values()] == [1.0]


def test_health_check_is_not_run(app):
    assert app.handle("1", request("/health")).status == 200
    app.behaviour.is_leaving = True
    assert app.handle("2", request("/health")).status == 503
    assert not app.runs


@contextmanager
def served(delivery):
    """Yield a function that sends a request and returns what a client receives."""
    clock, selector = ManualClock(), DefaultSelector()
    app = PlatformBackendApp("i-1", "pledges", clock)
    app.behaviour.work_s = 0.1
    app.behaviour.delivery = delivery
    port = free_port()
    server = PlatformBackendServer(Address(HOST, port), app, LIMITS)
    server.open(selector, clock.now())
    sock = create_connection((HOST, port))
    sock.settimeout(0.2)

    def exchange(request_id):
        lines = f"GET /p/1 HTTP/1.1\r\nX-Monsoonmill-Attempt-Id: {request_id}\r\n\r\n"
        sock.sendall(lines.encode())
        for _ in range(3):
            for key, mask in selector.select(0.1):
                list(key.data.on_ready(mask, clock.now()))
        clock.advance(0.2)
        for answer in app.due_answers():
            list(server.on_answer(answer, clock.now()))
        received = b""
        try:
            while data := sock.recv(65536):
                received += data
        except TimeoutError:
            pass
        return received

    yield exchange
    sock.close()
    server.close()
    selector.close()


def test_answer_is_lost():
    with served(LostAnswer()) as exchange:
        assert exchange("one") == b""


def test_answer_is_cut():
    with served(CutAnswer(0.9)) as exchange:
        received = exchange("one")
    assert received.startswith(b"HTTP/1.1 200 OK")
    assert not received.endswith(b"}")


def test_other_bytes_take_the_place_of_an_answer():
    with served(OtherBytes()) as exchange:
        assert not exchange("one").startswith(b"HTTP")


@pytest.mark.parametrize(
    ("delivery", "expected"),
    [(ExtraAnswer(), ["two", "one"]), (LateExtraAnswer(), ["one", "two"])],
)
def test_an_earlier_answer_is_sent_once_more(delivery, expected):
    with served(delivery) as exchange:
        exchange("one")
        answers = exchange("two").split(b"HTTP/1.1 200 OK")[1:]
    bodies = [loads(answer.partition(b"\r\n\r\n")[2]) for answer in answers]
    assert [body["id"] for body in bodies] == expected
