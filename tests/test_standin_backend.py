"""Tests of the stand-in backend server."""

import os
import signal
import subprocess
import sys
from importlib.resources import files
from json import loads
from threading import Event, Thread

import pytest
from sismic.io import import_from_yaml
from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from monsoonmill.errors import SettingsError
from monsoonmill.standin.backend import BackendServer
from monsoonmill.standin.backend_program import main
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.echo import CRC_HEADER, Echo, body_crc, is_intact, make_body

POLL_INTERVAL_S = 0.02
MAX_POLLS = 250


def make_settings(routes=None, calls=(), **flags):
    flags = {"backend_port": 0, "backend_log_level": "error"} | flags
    routes = routes or [{"path": "/", "mean_ms": 0}]
    tables = {"work_routes": routes, "nested_calls": list(calls)}
    return BackendSettings.from_file(None, **flags, **tables)


@pytest.fixture(scope="module")
def start_backend():
    servers = []

    def start_server(**options):
        server = BackendServer(make_settings(**options))
        server.start()
        servers.append(server)
        pool = HTTPConnectionPool("127.0.0.1", server.port, maxsize=8, retries=False)
        return server, pool

    yield start_server
    threads = [Thread(target=server.stop, daemon=True) for server in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def wait_for(condition):
    pause = Event()
    for _ in range(MAX_POLLS):
        if condition():
            return
        pause.wait(POLL_INTERVAL_S)
    raise AssertionError("condition not met within the time limit")


def get_health(pool):
    return pool.request("GET", "/health").json()


def request_in_background(pool, path, **options):
    answers = []
    thread = Thread(
        target=lambda: answers.append(pool.request("GET", path, **options)),
        daemon=True,
    )
    thread.start()
    return thread, answers


def test_answer_is_intact_and_execution_recorded(start_backend):
    _, pool = start_backend(routes=[{"path": "/", "mean_ms": 0, "answer_bytes": 5000}])
    headers = {"X-Request-Id": "r-1", "Authorization": "Bearer secret"}
    response = pool.request("POST", "/pledges", body=b"x", headers=headers)
    assert len(response.data) == 5000
    assert is_intact(response.data, response.headers[CRC_HEADER], "r-1")
    assert not is_intact(response.data, response.headers[CRC_HEADER], "r-2")
    (execution,) = pool.request("GET", "/executions").json()
    assert execution["id"] == "r-1" and execution["finished"]
    assert execution["has_authorization"] and "secret" not in str(execution)
    assert pool.request("GET", "/executions/count").json()["count"] == 1


def test_sismic_loads_the_chart():
    chart = files("monsoonmill") / "charts" / "backend_standin.yaml"
    assert import_from_yaml(chart.read_text()).name == "backend_standin"


@pytest.mark.parametrize("size", [0, 9, 99, 100, 101, 150, 1000, 10_000])
def test_truncated_or_altered_answer_is_detected(size):
    body = make_body(Echo("r", "s", "b"), size)
    assert len(body) == max(size, len(make_body(Echo("r", "s", "b"), 0)))
    assert is_intact(body, body_crc(body), "r")
    for damaged in (body[:-1], body[:-3] + body[-2:], body.replace(b"r", b"q", 1)):
        assert not is_intact(damaged, body_crc(damaged), "r")
        assert not is_intact(damaged, body_crc(body), "r")


def test_idle_connections_stay_open(start_backend):
    _, pool = start_backend()
    conns = [HTTPConnection(pool.host, pool.port) for _ in range(30)]
    for _ in range(2):
        for conn in conns:
            conn.request("GET", "/a")
            response = conn.getresponse()
            assert response.data and "close" != response.headers.get("Connection")
    for conn in conns:
        conn.close()


def test_full_queue_sheds_requests_unexecuted(start_backend):
    _, pool = start_backend(
        routes=[{"path": "/", "mean_ms": 300}], work_slots=1, work_queue_length=0
    )
    thread, answers = request_in_background(pool, "/a")
    wait_for(lambda: get_health(pool)["running"] == 1)
    rejected = pool.request("GET", "/b")
    assert rejected.status == 503
    assert rejected.headers["Monsoon-Outcome"] == "not-run"
    thread.join()
    assert answers[0].status == 200
    assert pool.request("GET", "/executions/count").json()["count"] == 1


def test_request_that_would_miss_its_deadline_is_not_executed(start_backend):
    _, pool = start_backend(routes=[{"path": "/", "mean_ms": 200}])
    response = pool.request("GET", "/a", headers={"Monsoon-Timeout-Ms": "100"})
    assert response.status == 504
    assert response.headers["Monsoon-Outcome"] == "not-run"
    assert pool.request("GET", "/executions").json() == []


def test_closed_connection_cancels_running_and_queued_requests(start_backend):
    _, pool = start_backend(routes=[{"path": "/", "mean_ms": 60_000}], work_slots=1)
    conns = []
    for queued_count in range(2):
        conn = HTTPConnection(pool.host, pool.port)
        conn.request("GET", "/a")
        conns.append(conn)
        wait_for(lambda count=queued_count: get_health(pool)["waiting"] == count)
        wait_for(lambda: get_health(pool)["running"] == 1)
    running_conn, queued_conn = conns
    queued_conn.close()
    wait_for(lambda: get_health(pool)["waiting"] == 0)
    assert get_health(pool)["running"] == 1
    running_conn.close()
    wait_for(lambda: get_health(pool)["running"] == 0)
    report = pool.request("GET", "/executions/count").json()
    assert report["counters"] == {"cancelled": 1, "cancelled-waiting": 1}


def test_drain_finishes_running_requests_and_rejects_new_ones(start_backend):
    server, pool = start_backend(
        routes=[{"path": "/", "mean_ms": 300}], drain_settle_ms=100
    )
    thread, answers = request_in_background(pool, "/a")
    wait_for(lambda: get_health(pool)["running"] == 1)
    pool.request("POST", "/control", json={"draining": True})
    rejected = pool.request("GET", "/b")
    assert (rejected.status, rejected.headers["Monsoon-Reason"]) == (503, "draining")
    assert server.wait(5)
    thread.join()
    assert answers[0].status == 200


def test_health_report_lags_behind(start_backend):
    _, pool = start_backend(
        routes=[{"path": "/", "mean_ms": 60_000}], faults_health_lag_ms=60_000
    )
    conn = HTTPConnection(pool.host, pool.port)
    conn.request("GET", "/a")
    wait_for(lambda: pool.request("GET", "/executions/count").json()["running"] == 1)
    assert get_health(pool)["running"] == 0
    conn.close()


def test_requests_take_longer_after_a_cold_start(start_backend):
    _, pool = start_backend(
        routes=[{"path": "/", "mean_ms": 10}],
        work_cold_start_ms=60_000,
        work_cold_factor=20.0,
    )
    assert get_health(pool)["state"] == "warming"
    response = pool.request("GET", "/a", headers={"Monsoon-Timeout-Ms": "100"})
    assert response.status == 504


def test_control_sets_error_rate_and_stalling(start_backend):
    _, pool = start_backend()
    pool.request("POST", "/control", json={"error_rate": 1.0, "seed": 1})
    assert pool.request("GET", "/a").status == 500
    pool.request("POST", "/control", json={"stall": True})
    with pytest.raises(HTTPError):
        pool.request("GET", "/a", timeout=0.2)
    for doc in ({"bad": 1}, {"factor": "2"}, {"stall": 1}, []):
        assert pool.request("POST", "/control", json=doc).status == 400


def test_nested_calls_pass_the_context_on_and_return_the_reason(start_backend):
    # The inner server stands in for the node, so its paths start with the service.
    inner, inner_pool = start_backend(drain_settle_ms=60_000)
    call = {"path": "/", "service": "deep", "target": "/x", "count": 3}
    _, pool = start_backend(
        calls=[call | {"parallel": True}],
        backend_node=f"127.0.0.1:{inner.port}",
    )
    headers = {"Monsoon-Context": "token", "Monsoon-Timeout-Ms": "5000"}
    assert pool.request("GET", "/a", headers=headers).status == 200
    executions = inner_pool.request("GET", "/executions").json()
    nested = [entry for entry in executions if entry["path"] == "/deep/x"]
    assert len(nested) == 3
    for entry in nested:
        assert entry["headers"]["monsoon-context"] == "token"
        assert 0 < int(entry["headers"]["monsoon-timeout-ms"]) <= 5000
    announced = [entry for entry in executions if entry["path"] == "/announce"]
    assert announced
    inner.drain()
    wait_for(lambda: get_health(inner_pool)["state"] == "draining")
    failed = pool.request("GET", "/a")
    assert (failed.status, failed.headers["Monsoon-Reason"]) == (502, "draining")


@pytest.fixture
def program(tmp_path):
    record = tmp_path / "record.jsonl"
    config = tmp_path / "backend.toml"
    config.write_text("[drain]\nsettle_ms = 50\n")
    command = [sys.executable, "-m", "monsoonmill.standin.backend_program"]
    flags = [
        "--port=0",
        f"--config={config}",
        f"--record_file={record}",
        "--poison_marker=venom",
    ]
    process = subprocess.Popen(command + flags, stdout=subprocess.PIPE, text=True)
    word, port = process.stdout.readline().split()
    assert word == "ready"
    yield process, HTTPConnectionPool("127.0.0.1", int(port), retries=False), record
    process.kill()
    process.wait()
    process.stdout.close()


def test_poison_request_is_recorded_before_it_crashes_the_process(program):
    process, pool, record = program
    with pytest.raises(HTTPError):
        pool.request("POST", "/a", body=b"venom", headers={"X-Request-Id": "p"})
    assert process.wait(10) == 1
    (line,) = map(loads, record.read_text().splitlines())
    assert (line["event"], line["id"]) == ("start", "p")


def test_sigterm_drains_and_exits_with_status_0(program):
    process, pool, record = program
    assert pool.request("GET", "/a").status == 200
    os.kill(process.pid, signal.SIGTERM)
    assert process.wait(10) == 0
    events = [loads(line)["event"] for line in record.read_text().splitlines()]
    assert events == ["start", "end"]


@pytest.mark.parametrize(
    ("argv", "named_part"),
    [
        (["--slots=0"], "work.slots"),
        (["--port=abc"], "backend.port"),
        (["--config=/nonexistent.toml"], "nonexistent.toml"),
        (["--nonsense=1"], "nonsense"),
        (["--port=0", "--host=192.0.2.1"], "192.0.2.1:0"),
        (["--record_file=/nonexistent/record"], "faults.record_file"),
    ],
)
def test_invalid_options_print_one_line_and_exit_with_status_2(
    argv, named_part, capsys
):
    assert main(argv) == 2
    error = capsys.readouterr().err
    assert named_part in error and error.count("\n") == 1


def test_error_names_unknown_key_of_a_route():
    with pytest.raises(SettingsError, match="work.routes.*'colour'"):
        make_settings(routes=[{"path": "/", "mean_ms": 1, "colour": 2}])
