"""The HTTP client of the key-value service against its stand-in, on loopback."""

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
def running_service(threads=4, max_watches=4, **limits):
    server = {"port": 0, "threads": threads, "max_watches": max_watches}
    settings = StoreServerSettings.from_dict({"server": server, "limits": limits})
    store_server = StoreServer.from_settings(settings).start()
    try:
        yield store_server.port
    finally:
        store_server.stop()


@pytest.fixture(scope="module")
def shared_port():
    with running_service() as port:
        yield port


@pytest.fixture
def port(shared_port):
    set_faults(shared_port, mode="up")
    yield shared_port
    set_faults(shared_port, mode="up")


@pytest.fixture
def client(port, request):
    client = make_client(port, prefix=f"{request.node.name}/")
    yield client
    client.close()


def make_client(*ports, prefix="", **options):
    addresses = [Address(HOST, port) for port in ports]
    return HttpPlatformClient(addresses, TIMEOUT_S, prefix, **options)


def send_request(port, method, path, body=None):
    url = f"http://{HOST}:{port}{path}"
    return request(method, url, body=body, retries=False, timeout=TIMEOUT_S)


def set_faults(port, **change):
    resp = send_request(port, "POST", "/control", dumps(change))
    assert resp.status == 200, resp.data


def call_count(port, kind):
    return loads(send_request(port, "GET", "/calls").data).get(kind, 0)


def wait_until(condition):
    clock = SystemClock()
    deadline = clock.now() + TIMEOUT_S
    while not condition():
        assert clock.now() < deadline


def test_swap_checks_versions_and_returns_new_ones(client):
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


def test_http_protocol(port):
    assert send_request(port, "GET", "/v1/kv/wire").headers["Version"] == "0"
    put = send_request(port, "PUT", "/v1/kv/wire?expected=0", b"v")
    assert put.status == 200
    version = put.headers["Version"]
    conflict = send_request(port, "PUT", "/v1/kv/wire?expected=0", b"v")
    assert (conflict.status, conflict.headers["Version"]) == (409, version)
    assert send_request(port, "GET", "/v1/kv/wire").data == b"v"
    unchanged = send_request(port, "GET", f"/v1/kv/wire?after={version}&wait_ms=1")
    assert unchanged.status == 304
    longest_ttl = "9" * 18
    assert (
        send_request(port, "POST", f"/v1/leases/long?ttl_ms={longest_ttl}").status
        == 200
    )
    assert (
        send_request(port, "POST", f"/v1/leases/long?ttl_ms={longest_ttl}9").status
        == 400
    )
    malformed_paths = (
        "/v1/kv/k?expected=-1",
        "/v1/kv/k",
        "/v1/kv/?expected=0",
        "/v1/kv/%FF",
    )
    assert {
        send_request(port, "PUT", path, b"").status for path in malformed_paths
    } == {400}
    assert send_request(port, "POST", "/control", b'{"mode": "sideways"}').status == 400


def test_values_are_limited_to_one_mebibyte(client):
    value = bytes(MAX_VALUE_BYTES)
    client.swap("large", 0, value)
    assert client.read("large").value == value
    with pytest.raises(ValueTooLargeError):
        client.swap("larger", 0, value + b"x")
    assert client.read("larger").version == 0


def test_each_version_is_written_by_one_of_several_writers(port):
    def write_in_rounds(name):
        client = make_client(port, prefix="race/")
        win_count = 0
        while (current := client.read("k")).version == 0 or len(current.value) < 40:
            try:
                client.swap("k", current.version, (current.value or b"") + name)
                win_count += 1
            except PlatformConflictError:
                pass
        client.close()
        return win_count

    writer_names = (b"a", b"b", b"c")
    with ThreadPoolExecutor(len(writer_names)) as pool:
        win_counts = list(pool.map(write_in_rounds, writer_names))
    value = make_client(port, prefix="race/").read("k").value
    assert [value.count(name) for name in writer_names] == win_counts


def test_pending_watches_are_woken_and_do_not_occupy_threads():
    with (
        running_service(threads=4, max_watches=64) as port,
        ThreadPoolExecutor(65) as pool,
    ):
        watchers = [make_client(port) for _ in range(65)]
        futures = [pool.submit(client.watch, "k", 0) for client in watchers]
        client = make_client(port)
        wait_until(lambda: client.read("o") and call_count(port, "watch") == 65)
        written = client.swap("k", 0, b"v")
        outcomes = [future.exception() or future.result() for future in futures]
        refused = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, PlatformRateLimitError)
        ]
        assert len(refused) == 1
        assert outcomes.count(written) == 64


def test_expired_lease_removes_its_keys(client):
    with pytest.raises(LeaseNotLiveError):
        client.swap("k", 0, b"v", "term")
    client.lease("term", 0.15)
    stored = client.swap("k", 0, b"v", "term")
    client.lease("term", 0.3)
    assert client.watch("k", stored.version) == StoredValue("k", 0, None)
    with pytest.raises(LeaseNotLiveError):
        client.swap("k", 0, b"v", "term")


def test_write_with_a_lost_response_takes_effect(port, client):
    set_faults(port, mode="lost-answers", lost_percent=100)
    with pytest.raises(PlatformUnavailableError):
        client.swap("k", 0, b"v")
    assert client.read("k").value == b"v"


def test_mode_down_drops_calls_and_pending_watches(port, client):
    before = call_count(port, "watch")
    with ThreadPoolExecutor(1) as pool:
        watch = pool.submit(make_client(port).watch, "down", 0)
        wait_until(lambda: call_count(port, "watch") > before)
        set_faults(port, mode="down")
        assert isinstance(watch.exception(), PlatformUnavailableError)
    with pytest.raises(PlatformUnavailableError):
        client.swap("k", 0, b"v")
    set_faults(port, mode="up")
    assert client.read("k").version == 0


def test_slow_call_is_delayed_and_takes_effect_after_a_client_timeout(port, client):
    set_faults(port, mode="slow", delay_ms=200)
    clock = SystemClock()
    started_at = clock.now()
    client.read("k")
    assert clock.now() - started_at >= 0.2
    short_timeout_client = HttpPlatformClient([Address(HOST, port)], 0.02)
    with pytest.raises(PlatformUnavailableError):
        short_timeout_client.swap("hasty", 0, b"v")
    assert make_client(port).watch("hasty", 0).value == b"v"


def test_calls_over_the_rate_limit_are_refused_and_counted():
    with running_service(writes_per_s=1, reads_per_s=1, burst_ms=3000) as port:
        client = make_client(port)
        for number in range(3):
            client.swap(f"k{number}", 0, b"")
            client.read("k")
        with pytest.raises(PlatformRateLimitError):
            client.swap("k3", 0, b"")
        with pytest.raises(PlatformRateLimitError):
            client.read("k")
        counts = loads(send_request(port, "GET", "/calls").data)
        assert counts == {"limited": 2, "put": 4, "read": 4}


def test_next_endpoint_is_tried_only_if_connecting_fails(port, request):
    with create_server((HOST, 0)) as closed:
        closed_port = closed.getsockname()[1]
    client = make_client(closed_port, port, prefix=request.node.name)
    assert client.swap("k", 0, b"v").version > 0
    set_faults(port, mode="down")
    with running_service() as other_port:
        client = make_client(port, other_port)
        with pytest.raises(PlatformUnavailableError):
            client.swap("k", 0, b"v")
        assert make_client(other_port).read("k").version == 0
    with pytest.raises(PlatformUnavailableError):
        make_client(closed_port).read("k")


def test_task_executes_requests_and_replies(port):
    replies = Inbox()
    client = make_client(port, prefix="task/", watch_wait_ms=10)
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


def test_stop_drops_pending_calls():
    with ThreadPoolExecutor(2) as pool:
        with running_service() as port:
            set_faults(port, mode="slow", delay_ms=60_000)
            slow = pool.submit(make_client(port).read, "k")
            wait_until(lambda: call_count(port, "read"))
        assert isinstance(slow.exception(TIMEOUT_S), PlatformUnavailableError)
        with pytest.raises(HTTPError):
            send_request(port, "GET", "/calls")


@pytest.mark.integration
def test_program_serves_until_sigterm(tmp_path):
    config = tmp_path / "platform.toml"
    config.write_text("[server]\nport = 0\nthreads = 2\nmax_watches = 2\n")
    command = (*PROGRAM, "--config", str(config))
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            first_word, port = process.stdout.readline().split()
            assert first_word == "ready"
            assert make_client(int(port)).swap("k", 0, b"v").version == 1
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
    completed = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert len(completed.stderr.splitlines()) == 1
    assert key in completed.stderr
