"""Requests to a backend server over real sockets."""

from contextlib import contextmanager
from socket import create_server
from threading import Thread

from monsoonmill.clock import SystemClock
from monsoonmill.decisions.calls.signals import Answer, RunCall, RunFailure
from monsoonmill.model import Address, HttpRequest
from monsoonmill.node.egress import RunPool
from monsoonmill.node.ingress import render_answer
from monsoonmill.reasons import Outcome
from monsoonmill.settings import Settings
from monsoonmill.task import Inbox

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 Busy\r\nMonsoon-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"


@contextmanager
def server_saying(*answers):
    """Accept connections; each gives its answers and closes."""
    with create_server(("127.0.0.1", 0)) as listener:

        def serve():
            for connection_answers in answers:
                conn, _ = listener.accept()
                with conn:
                    for answer in connection_answers:
                        conn.recv(65536)
                        conn.sendall(answer)

        Thread(target=serve, daemon=True).start()
        yield Address(*listener.getsockname())


def run_all(address, count, timeout_s=5.0):
    """Run some requests one after another; return their ends."""
    inbox = Inbox()
    pool = RunPool(Settings.from_dict({}).http, SystemClock(), inbox.post)
    for number in range(count):
        req = HttpRequest("GET", "/", ())
        pool.run(RunCall(str(number), address, req, timeout_s, "token"))
        idle = inbox.take(timeout_s + 5)
        pool.on_worker_idle(idle)
        yield idle.finished


def test_connection_is_used_again_and_replaced_after_the_server_closes_it():
    with server_saying([WHOLE, CLOSING], [WHOLE]) as address:
        ends = list(run_all(address, 3))
    assert [one.response.body for one in ends] == [b"ok"] * 3


def test_backend_server_that_refuses_to_run_is_heard():
    with server_saying([SHED]) as address:
        (end,) = run_all(address, 1)
    assert ("Monsoon-Outcome", "not-run") in end.response.headers
    assert end.not_run
    answer = Answer("1", Outcome.DONE, end.response)
    names = [name.lower() for name, _ in render_answer(answer).headers]
    assert names.count("monsoon-outcome") == 1


def test_cut_answer_is_no_answer():
    with server_saying([CUT]) as address:
        (end,) = run_all(address, 1)
    assert end.response is None
    assert end.failure is RunFailure.BROKEN_ANSWER


def test_server_that_closes_without_an_answer_leaves_the_outcome_open():
    with server_saying([b""]) as address:
        (end,) = run_all(address, 1)
    assert end.failure is RunFailure.CONNECTION_LOST


def test_refused_connection_was_not_sent():
    with create_server(("127.0.0.1", 0)) as listener:
        address = Address(*listener.getsockname())
    (end,) = run_all(address, 1)
    assert end.failure is RunFailure.NOT_SENT


def test_request_without_an_answer_times_out():
    with create_server(("127.0.0.1", 0)) as listener:
        address = Address(*listener.getsockname())
        (end,) = run_all(address, 1, timeout_s=0.2)
    assert end.failure is RunFailure.TIMED_OUT


def test_aborted_request_ends_and_its_worker_serves_the_next():
    inbox = Inbox()
    pool = RunPool(Settings.from_dict({}).http, SystemClock(), inbox.post)
    with create_server(("127.0.0.1", 0)) as listener:
        silent = Address(*listener.getsockname())
        pool.run(RunCall("first", silent, HttpRequest("GET", "/"), 30.0, "t"))
        conn, _ = listener.accept()
        with conn:
            pool.abort("first")
            idle = inbox.take(5)
    assert idle.finished.failure is RunFailure.ABORTED
    pool.on_worker_idle(idle)
    with server_saying([WHOLE]) as address:
        pool.run(RunCall("second", address, HttpRequest("GET", "/"), 5.0, "t"))
        assert inbox.take(5).finished.response.body == b"ok"
