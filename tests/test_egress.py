"""Requests to a backend server, tested over real sockets."""

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

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
COMPLETE_AND_CLOSE = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
)
NOT_RUN = b"HTTP/1.1 503 Busy\r\nMonsoon-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"


@contextmanager
def running_server(*responses_by_connection):
    """Run a server; each connection sends its prepared responses and is closed."""
    with create_server(("127.0.0.1", 0)) as listener:

        def serve():
            for responses in responses_by_connection:
                conn, _ = listener.accept()
                with conn:
                    for response in responses:
                        conn.recv(65536)
                        conn.sendall(response)

        Thread(target=serve, daemon=True).start()
        yield Address(*listener.getsockname())


def run_requests(address, count, timeout_s=5.0):
    """Run requests one after another; yield their results."""
    inbox = Inbox()
    pool = RunPool(Settings.from_dict({}).http, SystemClock(), inbox.post)
    for number in range(count):
        req = HttpRequest("GET", "/", ())
        pool.run(RunCall(str(number), address, req, timeout_s, "token"))
        worker_idle = inbox.take(timeout_s + 5)
        pool.on_worker_idle(worker_idle)
        yield worker_idle.finished


def test_connection_is_reused_and_is_replaced_after_the_server_closes_it():
    with running_server([COMPLETE, COMPLETE_AND_CLOSE], [COMPLETE]) as address:
        results = list(run_requests(address, 3))
    assert [result.response.body for result in results] == [b"ok"] * 3


def test_response_with_outcome_not_run_is_recognised():
    with running_server([NOT_RUN]) as address:
        (result,) = run_requests(address, 1)
    assert ("Monsoon-Outcome", "not-run") in result.response.headers
    assert result.not_run
    answer = Answer("1", Outcome.DONE, result.response)
    names = [name.lower() for name, _ in render_answer(answer).headers]
    assert names.count("monsoon-outcome") == 1


# A second copy of a refusal was taken as the answer to the next request.
def test_connection_is_not_reused_after_outcome_not_run():
    with running_server([NOT_RUN, NOT_RUN + COMPLETE], [COMPLETE]) as address:
        results = list(run_requests(address, 2))
    assert [result.not_run for result in results] == [True, False]


def test_truncated_response_is_a_broken_answer():
    with running_server([TRUNCATED]) as address:
        (result,) = run_requests(address, 1)
    assert result.response is None
    assert result.failure is RunFailure.BROKEN_ANSWER


def test_connection_closed_without_a_response_is_reported_as_lost():
    with running_server([b""]) as address:
        (result,) = run_requests(address, 1)
    assert result.failure is RunFailure.CONNECTION_LOST


def test_request_over_a_refused_connection_is_not_sent():
    with create_server(("127.0.0.1", 0)) as listener:
        address = Address(*listener.getsockname())
    (result,) = run_requests(address, 1)
    assert result.failure is RunFailure.NOT_SENT


def test_request_without_a_response_times_out():
    with create_server(("127.0.0.1", 0)) as listener:
        address = Address(*listener.getsockname())
        (result,) = run_requests(address, 1, timeout_s=0.2)
    assert result.failure is RunFailure.TIMED_OUT


def test_worker_of_an_aborted_request_runs_the_next_request():
    inbox = Inbox()
    pool = RunPool(Settings.from_dict({}).http, SystemClock(), inbox.post)
    with create_server(("127.0.0.1", 0)) as listener:
        silent_address = Address(*listener.getsockname())
        pool.run(RunCall("first", silent_address, HttpRequest("GET", "/"), 30.0, "t"))
        conn, _ = listener.accept()
        with conn:
            pool.abort("first")
            worker_idle = inbox.take(5)
    assert worker_idle.finished.failure is RunFailure.ABORTED
    pool.on_worker_idle(worker_idle)
    with running_server([COMPLETE]) as address:
        pool.run(RunCall("second", address, HttpRequest("GET", "/"), 5.0, "t"))
        assert inbox.take(5).finished.response.body == b"ok"


def test_control_characters_end_no_line_of_a_request():
    received = Inbox()
    with create_server(("127.0.0.1", 0)) as listener:

        def serve():
            conn, _ = listener.accept()
            with conn:
                received.post(conn.recv(65536))
                conn.sendall(COMPLETE)

        Thread(target=serve, daemon=True).start()
        inbox = Inbox()
        pool = RunPool(Settings.from_dict({}).http, SystemClock(), inbox.post)
        req = HttpRequest("GET", "/a\rb", (("X-A", "1\r\nX-B: 2"),))
        pool.run(RunCall("1", Address(*listener.getsockname()), req, 5.0, "token"))
        assert inbox.take(5).finished.response.body == b"ok"
    lines = received.take(5).split(b"\r\n")
    assert lines[0] == b"GET /a%0Db HTTP/1.1"
    assert b"X-A: 1  X-B: 2" in lines
