"""Tests of the fault-injecting proxy."""

import signal
import subprocess
import sys
from contextlib import suppress
from importlib.resources import files
from socket import create_connection, create_server
from threading import Thread
from time import monotonic

import pytest
from sismic.io import import_from_yaml
from urllib3 import HTTPConnectionPool

from monsoonmill.standin.faults import FaultsProxy
from monsoonmill.standin.faults_modes import FaultError, fault_from_document
from monsoonmill.standin.faults_program import main
from monsoonmill.standin.faults_settings import FaultsSettings

SILENCE_TIMEOUT_S = 0.1
TIMEOUT_S = 5.0


def echo(conn):
    with conn, suppress(ConnectionResetError):
        while data := conn.recv(65536):
            conn.sendall(data)


def serve_echo(listener):
    try:
        while True:
            conn, _ = listener.accept()
            Thread(target=echo, args=(conn,), daemon=True).start()
    except OSError:
        return


@pytest.fixture(scope="module")
def echo_port():
    with create_server(("127.0.0.1", 0)) as listener:
        Thread(target=serve_echo, args=(listener,), daemon=True).start()
        yield listener.getsockname()[1]


class ProxyClient:
    """Sets faults of a proxy and connects through it."""

    def __init__(self, control_port, port):
        self.port = port
        self.control = HTTPConnectionPool("127.0.0.1", control_port, retries=False)

    def set(self, mode, **values):
        response = self.control.request("POST", "/faults", json={"mode": mode} | values)
        assert response.status == 200, response.data

    def status(self):
        return self.control.request("GET", "/faults").json()["pairs"][0]

    def connect(self):
        return create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S)


@pytest.fixture(scope="module")
def shared_proxy(echo_port):
    pairs = [{"name": "echo", "target": f"127.0.0.1:{echo_port}"}]
    settings = FaultsSettings.from_file(
        None, control_port=0, log_level="error", pairs=pairs
    )
    proxy = FaultsProxy(settings)
    client = ProxyClient(proxy.start(), proxy.ports["echo"])
    yield client
    proxy.stop()


@pytest.fixture
def proxy(shared_proxy):
    yield shared_proxy
    shared_proxy.set("cut", scope="existing")
    shared_proxy.set("pass")


def receive(conn, size):
    data = b""
    while len(data) < size:
        chunk = conn.recv(65536)
        if not chunk:
            break
        data += chunk
    return data


def send_and_receive(conn, data=b"ping"):
    conn.sendall(data)
    return receive(conn, len(data))


def is_silent(conn):
    conn.settimeout(SILENCE_TIMEOUT_S)
    try:
        return not conn.recv(1)
    except TimeoutError:
        return True
    finally:
        conn.settimeout(TIMEOUT_S)


def test_forwards_large_data_and_the_end_of_the_stream(proxy):
    data = bytes(range(256)) * 20_000
    with proxy.connect() as conn:
        sender = Thread(target=conn.sendall, args=(data,), daemon=True)
        sender.start()
        assert receive(conn, len(data)) == data
        sender.join()
        conn.shutdown(1)
        assert conn.recv(1) == b""


def test_delays_each_direction(proxy):
    proxy.set("delay", to_target_ms=60, to_client_ms=40)
    with proxy.connect() as conn:
        start = monotonic()
        assert send_and_receive(conn) == b"ping"
        assert 0.1 <= monotonic() - start < 1.0


def test_limits_byte_rate(proxy):
    proxy.set("limit", bytes_per_s=200_000)
    with proxy.connect() as conn:
        start = monotonic()
        assert len(send_and_receive(conn, bytes(60_000))) == 60_000
        # The burst passes immediately; the rest is limited by the rate.
        assert 0.25 <= monotonic() - start < 2.0


def test_cut_resets_existing_connections(proxy):
    with proxy.connect() as conn:
        assert send_and_receive(conn) == b"ping"
        proxy.set("cut", scope="existing")
        with pytest.raises(ConnectionResetError):
            conn.recv(1)
    with proxy.connect() as conn:
        assert send_and_receive(conn) == b"ping"


def test_frozen_connection_transfers_nothing_while_new_ones_work(proxy):
    with proxy.connect() as old, proxy.connect() as idle:
        assert send_and_receive(old) == b"ping"
        proxy.set("freeze", scope="existing")
        old.sendall(b"late")
        assert is_silent(old)
        with proxy.connect() as new:
            assert send_and_receive(new) == b"ping"
        proxy.set("freeze")
        idle.sendall(b"ping")
        assert is_silent(idle)
        proxy.set("pass")
        assert receive(old, 4) == b"late"


@pytest.mark.parametrize("swallow", [False, True])
def test_blackhole_accepts_and_never_answers(proxy, swallow):
    proxy.set("blackhole", swallow=swallow)
    bytes_before = proxy.status()["to_target_bytes"]
    with proxy.connect() as conn:
        conn.sendall(b"ping")
        assert is_silent(conn)
    assert proxy.status()["to_target_bytes"] == bytes_before


def test_one_way_loss_discards_only_bytes_to_the_client(proxy):
    proxy.set("one-way-loss", lost="to-client")
    before = proxy.status()
    with proxy.connect() as conn:
        conn.sendall(b"ping")
        assert is_silent(conn)
    after = proxy.status()
    assert after["to_target_bytes"] - before["to_target_bytes"] == 4
    assert after["to_client_bytes"] == before["to_client_bytes"]


def test_unreachable_target_resets_the_client():
    with create_server(("127.0.0.1", 0)) as closed:
        target = f"127.0.0.1:{closed.getsockname()[1]}"
    pairs = [{"name": "gone", "target": target}]
    proxy = FaultsProxy(FaultsSettings.from_file(None, control_port=0, pairs=pairs))
    proxy.start()
    # The reset may arrive before connect() has returned.
    with pytest.raises(ConnectionResetError):
        with create_connection(("127.0.0.1", proxy.ports["gone"]), TIMEOUT_S) as conn:
            conn.recv(1)
    proxy.stop()


def test_invalid_faults_are_rejected(proxy):
    for doc in ({"mode": "melt"}, {"mode": "delay", "x": 1}, {"mode": "limit"}, []):
        assert proxy.control.request("POST", "/faults", json=doc).status == 400
    unknown = {"mode": "pass", "pair": "nowhere"}
    assert proxy.control.request("POST", "/faults", json=unknown).status == 404
    with pytest.raises(FaultError):
        fault_from_document("limit", {"bytes_per_s": 0})


def test_sismic_loads_the_chart():
    chart = files("monsoonmill") / "charts" / "faults_link.yaml"
    assert import_from_yaml(chart.read_text()).name == "faults_link"


def test_program_reports_ready_and_exits_on_sigterm(echo_port):
    command = [sys.executable, "-m", "monsoonmill.standin.faults_program"]
    flags = ["--control_port=0", f"--target=127.0.0.1:{echo_port}"]
    process = subprocess.Popen(command + flags, stdout=subprocess.PIPE, text=True)
    word, port = process.stdout.readline().split()
    assert word == "ready"
    control = HTTPConnectionPool("127.0.0.1", int(port), retries=False)
    pair = control.request("GET", "/faults").json()["pairs"][0]
    with create_connection(("127.0.0.1", pair["port"]), TIMEOUT_S) as conn:
        assert send_and_receive(conn) == b"ping"
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    process.stdout.close()


def test_invalid_target_prints_one_line_and_exits_with_status_2(capsys):
    assert main(["--target=nowhere"]) == 2
    error = capsys.readouterr().err
    assert "proxy.pairs" in error and error.count("\n") == 1
