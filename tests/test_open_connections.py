"""The limit on open connections of the own interface's ports."""

from itertools import count
from socket import create_connection
from threading import Event, Thread

import pytest

from monsoonmill.counters import Counters
from monsoonmill.node.open_connections import (
    CLOSED,
    REFUSED,
    LimitedConnection,
    OpenConnections,
)
from monsoonmill.node.web import App, AppServer, WebResponse
from monsoonmill.settings import Settings

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class FakeConnection(LimitedConnection):
    """A connection that only records whether it has to give way."""

    times = count()

    def __init__(self, is_in_thread=False, has_request=False):
        self.used_at = next(self.times)
        self.is_in_thread = is_in_thread
        self.has_request = has_request
        self.is_ended = False

    def end_input(self):
        self.is_ended = True


def test_idle_connections_give_way_first_and_those_with_a_request_never():
    counters = Counters()
    open_conns = OpenConnections(3, counters)
    answered = FakeConnection(has_request=True)
    reading = FakeConnection(is_in_thread=True)
    idle = FakeConnection()
    assert all(open_conns.add(conn) for conn in (answered, reading, idle))
    newer = [FakeConnection(has_request=True) for _ in range(3)]
    assert open_conns.add(newer[0])
    assert (reading.is_ended, idle.is_ended) == (False, True)
    assert open_conns.add(newer[1])
    assert reading.is_ended
    assert not open_conns.add(newer[2])
    assert not answered.is_ended
    assert (counters.value(CLOSED), counters.value(REFUSED)) == (2, 1)
    open_conns.discard(answered)
    assert open_conns.add(newer[2])


class WaitingApp(App):
    """Answers once it is told to."""

    def __init__(self):
        self.has_started = Event()
        self.may_answer = Event()

    def respond(self, req, raw_req):
        self.has_started.set()
        assert self.may_answer.wait(10)
        return WebResponse(200, (), b"done")


@pytest.fixture
def app():
    return WaitingApp()


@pytest.fixture
def server(app):
    cfg = Settings.from_dict({}).http
    server = AppServer("127.0.0.1", 0, app, 4, cfg, Counters(), 2)
    server.prepare()
    Thread(target=server.serve, daemon=True).start()
    yield server
    app.may_answer.set()
    server.stop()


def test_request_is_answered_beside_connections_that_give_way(server, app):
    address = ("127.0.0.1", server.port)
    caller = create_connection(address, timeout=10)
    caller.sendall(REQUEST)
    assert app.has_started.wait(10)
    idle = [create_connection(address, timeout=10) for _ in range(6)]
    # All but the last give way; the end of their input closes them.
    assert [conn.recv(1) for conn in idle[:-1]] == [b""] * 5
    app.may_answer.set()
    assert caller.recv(4096).startswith(b"HTTP/1.1 200")
    idle[-1].sendall(REQUEST)
    assert idle[-1].recv(4096).startswith(b"HTTP/1.1 200")
    assert len(server.open_connections) == 2
    for conn in (caller, *idle):
        conn.close()
