"""The stand-in over HTTP and the client against it, on loopback."""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from json import dumps, loads
from signal import SIGTERM
from socket import create_server

import pytest
from urllib3 import request
from urllib3.exceptions import HTTPError

from monsoonmill.clock import ManualClock, SystemClock
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformFailed,
    PlatformLease,
    PlatformList,
    PlatformRead,
    PlatformSwap,
    PlatformWatch,
    StoredValue,
)
from monsoonmill.errors import (
    PlatformConflictError,
    PlatformRateLimitError,
    PlatformUnavailableError,
)
from monsoonmill.model import Address
from monsoonmill.standin.store_server import StoreServer
from monsoonmill.standin.store_settings import StoreServerSettings
from monsoonmill.store.client import PlatformTask
from monsoonmill.store.errors import LeaseNotLiveError, ValueTooLargeError
from monsoonmill.store.http_client import HttpPlatformClient
from monsoonmill.store.limits import MAX_VALUE_BYTES
from monsoonmill.task import Inbox

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
PROGRAM = (sys.executable, "-m", "monsoonmill.standin.store_program")


@contextmanager
def running(threads=4, max_watches=4, **limits):
    server = {"port": 0, "threads": threads, "max_watches": max_watches}
    settings = StoreServerSettings.from_dict({"server": server, "limits": limits})
    store_server = StoreServer.from_settings(settings).start()
    try:
        yield store_server.port
    finally:
        store_server.stop()


@pytest.fixture(scope="module")
def shared_port():
    with running() as port:
        yield port


@pytest.fixture
def port(shared_port):
    control(shared_port, mode="up")
    yield shared_port
    control(shared_port, mode="up")


@pytest.fixture
def client(port, request):
    client = connect(port, prefix=f"{request.node.name}/")
    yield client
    client.close()


def connect(*ports, prefix="", **options):
    addresses = [Address(HOST, port) for port in ports]
    return HttpPlatformClient(addresses, TIMEOUT_S, prefix, **options)


def call(port, method, path, body=None):
    url = f"http://{HOST}:{port}{path}"
    return request(method, url, body=body, retries=False, timeout=TIMEOUT_S)


def control(port, **change):
    resp = call(port, "POST", "/control", dumps(change))
    assert resp.status == 200, resp.data


def calls(port, kind):
    return loads(call(port, "GET", "/calls").data).get(kind, 0)


def wait_until(condition):
    clock = SystemClock()
    deadline = clock.now() + TIMEOUT_S
    while not condition():
        assert clock.now() < deadline


def test_keys_values_and_versions(client):
    key = "päth/with slashes?&%2F"
    assert client.read(key) == StoredValue(key, 0, None)
    first = client.swap(key, 0, b"\x00\xff")
    assert client.read(key) == first
    second = client.swap(key, first.version, b"")
    assert client.list_keys("päth/") == (second,)
    with pytest.raises(PlatformConflictError) as caught:
        client.swap(key, first.version, None)
    assert caught.value.actual == second.version
    assert client.swap(key, second.version, None) == StoredValue(key, 0, None)
    assert client.list_keys("") == ()


def test_protocol_on_the_wire(port):
    assert call(port, "GET", "/v1/kv/wire").headers["Version"] == "0"
    put = call(port, "PUT", "/v1/kv/wire?expected=0", b"v")
    assert put.status == 200
    version = put.headers["Version"]
    conflict = call(port, "PUT", "/v1/kv/wire?expected=0", b"v")
    assert (conflict.status, conflict.headers["Version"]) == (409, version)
    assert call(port, "GET", "/v1/kv/wire").data == b"v"
    unchanged = call(port, "GET", f"/v1/kv/wire?after={version}&wait_ms=1")
    assert unchanged.status == 304
    digits = "9" * 18
    assert call(port, "POST", f"/v1/leases/long?ttl_ms={digits}").status == 200
    assert call(port, "POST", f"/v1/leases/long?ttl_ms={digits}9").status == 400
    bad = ("/v1/kv/k?expected=-1", "/v1/kv/k", "/v1/kv/?expected=0", "/v1/kv/%FF")
    assert {call(port, "PUT", path, b"").status for path in bad} == {400}
    assert call(port, "POST", "/control", b'{"mode": "sideways"}').status == 400


def test_values_up_to_a_mebibyte(client):
    value = bytes(MAX_VALUE_BYTES)
    client.swap("large", 0, value)
    assert client.read("large").value == value
    with pytest.raises(ValueTooLargeError):
        client.swap("larger", 0, value + b"x")
    assert client.read("larger").version == 0


def test_one_of_many_racing_writers_wins_each_round(port):
    def race(name):
        client = connect(port, prefix="race/")
        won = 0
        while (current := client.read("k")).version == 0 or len(current.value) < 40:
            try:
                client.swap("k", current.version, (current.value or b"") + name)
                won += 1
            except PlatformConflictError:
                pass
        client.close()
        return won

    names = (b"a", b"b", b"c")
    with ThreadPoolExecutor(len(names)) as pool:
        wins = list(pool.map(race, names))
    value = connect(port, prefix="race/").read("k").value
    assert [value.count(name) for name in names] == wins


def test_waiting_watches_wake_and_leave_threads_for_others():
    with running(threads=4, max_watches=64) as port, ThreadPoolExecutor(65) as pool:
        watchers = [connect(port) for _ in range(65)]
        futures = [pool.submit(client.watch, "k", 0) for client in watchers]
        client = connect(port)
        wait_until(lambda: client.read("o") and calls(port, "watch") == 65)
        written = client.swap("k", 0, b"v")
        answers = [future.exception() or future.result() for future in futures]
        refused = [ans for ans in answers if isinstance(ans, PlatformRateLimitError)]
        assert len(refused) == 1
        assert answers.count(written) == 64


def test_lapsed_lease_removes_its_keys(client):
    with pytest.raises(LeaseNotLiveError):
        client.swap("k", 0, b"v", "term")
    client.lease("term", 0.15)
    stored = client.swap("k", 0, b"v", "term")
    client.lease("term", 0.3)
    assert client.watch("k", stored.version) == StoredValue("k", 0, None)
    with pytest.raises(LeaseNotLiveError):
        client.swap("k", 0, b"v", "term")


def test_a_change_whose_answer_is_lost_took_effect(port, client):
    control(port, mode="lost-answers", lost_percent=100)
    with pytest.raises(PlatformUnavailableError):
        client.swap("k", 0, b"v")
    assert client.read("k").value == b"v"


def test_down_drops_calls_and_waiting_watches(port, client):
    before = calls(port, "watch")
    with ThreadPoolExecutor(1) as pool:
        watch = pool.submit(connect(port).watch, "down", 0)
        wait_until(lambda: calls(port, "watch") > before)
        control(port, mode="down")
        assert isinstance(watch.exception(), PlatformUnavailableError)
    with pytest.raises(PlatformUnavailableError):
        client.swap("k", 0, b"v")
    control(port, mode="up")
    assert client.read("k").version == 0


def test_slow_call_takes_its_time_and_may_outlast_the_client(port, client):
    control(port, mode="slow", delay_ms=200)
    clock = SystemClock()
    started = clock.now()
    client.read("k")
    assert clock.now() - started >= 0.2
    hasty = HttpPlatformClient([Address(HOST, port)], 0.02)
    with pytest.raises(PlatformUnavailableError):
        hasty.swap("hasty", 0, b"v")
    assert connect(port).watch("hasty", 0).value == b"v"


def test_limits_refuse_and_count():
    with running(writes_per_s=1, reads_per_s=1, burst_ms=3000) as port:
        client = connect(port)
        for number in range(3):
            client.swap(f"k{number}", 0, b"")
            client.read("k")
        with pytest.raises(PlatformRateLimitError):
            client.swap("k3", 0, b"")
        with pytest.raises(PlatformRateLimitError):
            client.read("k")
        counts = loads(call(port, "GET", "/calls").data)
        assert counts == {"limited": 2, "put": 4, "read": 4}


def test_next_endpoint_only_while_nothing_was_sent(port, request):
    with create_server((HOST, 0)) as closed:
        closed_port = closed.getsockname()[1]
    client = connect(closed_port, port, prefix=request.node.name)
    assert client.swap("k", 0, b"v").version > 0
    control(port, mode="down")
    with running() as other:
        client = connect(port, other)
        with pytest.raises(PlatformUnavailableError):
            client.swap("k", 0, b"v")
        assert connect(other).read("k").version == 0
    with pytest.raises(PlatformUnavailableError):
        connect(closed_port).read("k")


def test_task_performs_requests_and_replies(port):
    replies = Inbox()
    client = connect(port, prefix="task/", watch_wait_ms=10)
    task = PlatformTask("platform", client, ManualClock(7.0), replies.post).start()
    task.post(PlatformLease("1", "term", 60))
    task.post(PlatformSwap("2", "k", 0, b"v", "term"))
    assert replies.take(TIMEOUT_S) == PlatformDone("1", (), 7.0)
    stored = replies.take(TIMEOUT_S).values[0]
    assert stored.value == b"v"
    task.post(PlatformRead("3", "k"))
    task.post(PlatformList("4", ""))
    task.post(PlatformWatch("5", "k", 0))
    for name in "345":
        assert replies.take(TIMEOUT_S) == PlatformDone(name, (stored,), 7.0)
    task.post(PlatformWatch("6", "k", stored.version))
    assert replies.take(TIMEOUT_S) == PlatformDone("6", (), 7.0)
    task.post(PlatformSwap("7", "k", 0, None))
    failed = replies.take(TIMEOUT_S)
    assert isinstance(failed, PlatformFailed)
    assert isinstance(failed.error, PlatformConflictError)
    task.stop()
    assert task.join(TIMEOUT_S)


def test_stopping_drops_what_waits():
    with ThreadPoolExecutor(2) as pool:
        with running() as port:
            control(port, mode="slow", delay_ms=60_000)
            slow = pool.submit(connect(port).read, "k")
            wait_until(lambda: calls(port, "read"))
        assert isinstance(slow.exception(TIMEOUT_S), PlatformUnavailableError)
        with pytest.raises(HTTPError):
            call(port, "GET", "/calls")


@pytest.mark.integration
def test_program_serves_until_terminated(tmp_path):
    config = tmp_path / "platform.toml"
    config.write_text("[server]\nport = 0\nthreads = 2\nmax_watches = 2\n")
    command = (*PROGRAM, "--config", str(config))
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            word, port = process.stdout.readline().split()
            assert word == "ready"
            assert connect(int(port)).swap("k", 0, b"v").version == 1
            process.send_signal(SIGTERM)
            assert process.wait(TIMEOUT_S) == 0
        finally:
            process.kill()


@pytest.mark.integration
@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[server]\nport = 'x'\n", "server.port"),
        ("[faults]\nmood = 1\n", "faults.mood"),
    ],
)
def test_program_names_the_invalid_setting(tmp_path, text, key):
    config = tmp_path / "platform.toml"
    config.write_text(text)
    command = (*PROGRAM, "--config", str(config))
    ended = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert ended.returncode == 2
    assert ended.stdout == ""
    assert len(ended.stderr.splitlines()) == 1
    assert key in ended.stderr
