"""Clients outside the operators' control, at each port of a node.

Each test starts a node with little memory and few descriptors and guards against the
failure seen in a trial: such clients made a node's process run out of memory.
"""

from contextlib import contextmanager
from os import listdir
from pathlib import Path
from selectors import EVENT_WRITE, DefaultSelector
from socket import SO_RCVBUF, SOL_SOCKET, socket
from threading import Thread
from time import monotonic, sleep

import pytest
from urllib3.exceptions import HTTPError

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.messages import PEER_MESSAGES, Hello, Part, Ping
from monsoonmill.model import Address
from tests.integration.release_notes import SECRETS, initial_note
from tests.platform_fleet import (
    HOST,
    PlatformFleet,
    configuration,
    rule,
    tenant,
    wait_until,
)
from tests.process_fleet import ProcessFleet

pytestmark = pytest.mark.integration

MEMORY_MB = 200
"""Memory of the node in which the failures were measured."""
BODY_MEMORY_MB = 400
"""Memory for bodies up to the limit of 64 MiB, of which a node makes copies."""
MAX_FDS = 400
"""Descriptors of a node's process; 200 of them are kept for its files."""
LOAD_S = 3.0
"""Time for which the clients send."""
ANSWER_S = 15.0
"""Time within which an ordinary request is answered, several attempts included."""
CLIENT_RCVBUF = 4096
CALL = (
    b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer secret\r\n"
    b"X-Monsoonmill-Attempt-Id: u1\r\nX-Monsoonmill-Request-Deadline: 5000\r\n"
)
UPLOAD = CALL.replace(b"GET", b"POST")
READY = b"GET /monsoonmill/ready HTTP/1.1\r\n"
HEARTBEAT = b"POST /monsoonmill/instances/x/heartbeat HTTP/1.1\r\n"
MB = 1 << 20


class Crowd:
    """Connections to one port, each of which sends bytes and reads nothing."""

    def __init__(self, address, payloads):
        self.unsent = {}
        self._selector = DefaultSelector()
        for payload in payloads:
            sock = socket()
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, CLIENT_RCVBUF)
            sock.setblocking(False)
            sock.connect_ex(address)
            self.unsent[sock] = memoryview(payload)
            self._selector.register(sock, EVENT_WRITE)

    def send(self, stop_at):
        """Send until the time is over; connections that the node closes are left."""
        while (left_s := stop_at - monotonic()) > 0:
            for key, _ in self._selector.select(min(left_s, 0.1)):
                self._send_part(key.fileobj)

    def _send_part(self, sock):
        rest = self.unsent[sock]
        try:
            self.unsent[sock] = rest[sock.send(rest[:65536]) :]
        except BlockingIOError:
            return
        except OSError:
            self.unsent[sock] = memoryview(b"")
        if not self.unsent[sock]:
            self._selector.unregister(sock)

    def close(self):
        """Close all connections."""
        for sock in self.unsent:
            sock.close()
        self._selector.close()


def odd_lines():
    """Return heads of many names without values, long names, folds and spaces."""
    names = b"".join(b"n%d:\r\n" % number for number in range(8000))
    long_names = (b"n" * 8000 + b": v\r\n") * 5
    folded = b"X: a\r\n" + b" b\r\n" * 8000
    kinds = (long_names, folded, b"b: \r\n" * 9000, b": v\r\n" * 9000)
    return [CALL + lines for lines in (*kinds, *[names] * 8)]


def peer_parts(number):
    """Return the bytes of a peer that never sends the last part of its messages."""
    codec = MsgpackCodec(PEER_MESSAGES)
    hello = Hello(f"10.9.9.{number}:7000", 1, Address("10.9.9.9", 7000))
    parts = (codec.encode(Part(i % 8, False, bytes(32768))) for i in range(800))
    return codec.encode(hello) + b"".join(parts)


def peer_pings(number):
    """Return the bytes of a peer that sends pings and never reads the answers."""
    codec = MsgpackCodec(PEER_MESSAGES)
    hello = Hello(f"10.9.9.{number}:7000", 1, Address("10.9.9.9", 7000))
    ping = codec.encode(Ping(1))
    return codec.encode(hello) + ping * (2 * MB // len(ping))


def peer_hellos(number):
    """Return the bytes of a peer that announces itself under many names."""
    codec = MsgpackCodec(PEER_MESSAGES)
    address = Address("10.9.9.9", 7000)
    names = (f"10.9.{number}.{i}:7000" + "x" * 200 for i in range(4000))
    return b"".join(codec.encode(Hello(name, 1, address)) for name in names)


def control_lines():
    return [HEARTBEAT + lines.removeprefix(CALL) for lines in odd_lines()]


def body_of(size, head=UPLOAD):
    return head + b"Content-Length: %d\r\n\r\n" % size + bytes(size)


def bodies():
    sizes = [24_000] * 40 + [MB] * 20 + [16 * MB] * 4 + [64 * MB] * 3
    return [body_of(size) for size in sizes]


def all_together():
    lines = [CALL + b"a:\r\n" * 12_000] * 60
    odd = odd_lines() * 4
    empty = [b"\r\n" * 8_000_000] * 10
    pipelined = [(CALL + b"\r\n") * 4000] * 20
    medium = [body_of(MB)] * 30
    return lines + odd + empty + pipelined + medium + [b""] * 150


CALLERS_CASES = {
    "short_lines": lambda: [CALL + b"a:\r\n" * 12_000] * 300,
    "odd_lines": lambda: odd_lines() * 25,
    "heads_over_limit": lambda: [CALL + b"X: " + b"a" * 200_000 + b"\r\n\r\n"] * 300,
    "heads_without_end": lambda: [CALL + b"X: " + b"a" * 60_000] * 300,
    "empty_lines": lambda: [b"\r\n" * 8_000_000] * 40,
    "pipelined": lambda: [(CALL + b"\r\n") * 4000] * 60,
    "pipelined_lines": lambda: [(CALL + b"a:\r\n" * 2000 + b"\r\n") * 120] * 60,
    "slow_readers": lambda: [(CALL + b"\r\n") * 20] * 60,
    "bodies": bodies,
    "silent": lambda: [b""] * 500,
    "all_together": all_together,
}
OTHER_PORTS = {
    "ready_lines": ("ready", lambda: [READY + b"a:\r\n" * 12_000] * 300),
    "ready_silent": ("ready", lambda: [b""] * 500),
    "heartbeat_bodies": ("control", lambda: [body_of(48 * MB, HEARTBEAT)] * 8),
    "metrics_unread": (
        "metrics",
        lambda: [b"GET /metrics HTTP/1.1\r\n\r\n" * 4000] * 30,
    ),
    "ready_heads_over_limit": (
        "ready",
        lambda: [READY + b"X: " + b"a" * 200_000 + b"\r\n\r\n"] * 300,
    ),
    "ready_heads_without_end": (
        "ready",
        lambda: [READY + b"X: " + b"a" * 60_000] * 300,
    ),
    "ready_empty_lines": ("ready", lambda: [b"\r\n" * 8_000_000] * 40),
    "ready_pipelined": ("ready", lambda: [(READY + b"\r\n") * 20_000] * 60),
    "ready_bodies": ("ready", lambda: [body_of(48 * MB, READY)] * 8),
    "control_odd_lines": ("control", lambda: control_lines() * 25),
    "control_heads_over_limit": (
        "control",
        lambda: [HEARTBEAT + b"X: " + b"a" * 200_000 + b"\r\n\r\n"] * 300,
    ),
    "control_heads_without_end": (
        "control",
        lambda: [HEARTBEAT + b"X: " + b"a" * 60_000] * 300,
    ),
    "control_empty_lines": ("control", lambda: [b"\r\n" * 8_000_000] * 40),
    "control_pipelined": (
        "control",
        lambda: [(HEARTBEAT + b"Content-Length: 2\r\n\r\n{}") * 8000] * 60,
    ),
    "control_silent": ("control", lambda: [b""] * 500),
    "metrics_lines": (
        "metrics",
        lambda: [b"GET /metrics HTTP/1.1\r\n" + b"a:\r\n" * 12_000] * 300,
    ),
    "metrics_empty_lines": ("metrics", lambda: [b"\r\n" * 8_000_000] * 40),
    "metrics_silent": ("metrics", lambda: [b""] * 500),
    "peer_bytes": ("peer", lambda: [b"\xff" * 4_000_000] * 60),
    "peer_long_frames": ("peer", lambda: [b"\xc6\x7f\xff\xff\xff" * MB] * 30),
    "peer_nested": ("peer", lambda: [b"\x91" * 4_000_000] * 30),
    "peer_hellos": ("peer", lambda: [peer_hellos(number) for number in range(30)]),
    "peer_parts": ("peer", lambda: [peer_parts(number) for number in range(16)]),
    "peer_pings": ("peer", lambda: [peer_pings(number) for number in range(12)]),
    "peer_silent": ("peer", lambda: [b""] * 500),
}


class Peaks(Thread):
    """Watches the descriptors of a process until it is told to stop."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.descriptors = 0
        self._process = process
        self._is_stopped = False

    def run(self):
        while not self._is_stopped and self._process.poll() is None:
            count = len(listdir(f"/proc/{self._process.pid}/fd"))
            self.descriptors = max(self.descriptors, count)
            sleep(0.05)

    def memory_mb(self):
        """Return the peak resident memory of the process."""
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def stop(self):
        self._is_stopped = True


@contextmanager
def platform_node(directory, memory_mb):
    """Run one node with the given memory and with few descriptors."""
    with PlatformFleet(directory, ("profiles",)) as fleet:
        (host,) = fleet.hosts
        path = Path(host.node_file)
        text = path.read_text().replace("memory_mb = 300", f"memory_mb = {memory_mb}")
        path.write_text(f"{text}max_fds = {MAX_FDS}\n")
        host.ports["metrics"] = 9464
        rules = (rule("/look/", "profiles", timeout="8000ms"),)
        fleet.put_config(configuration(3, rules, ("profiles",), [tenant()]))
        fleet.start()
        wait_until(lambda: host.call().status == 200)
        yield host


def is_answered(call):
    try:
        return call().status == 200
    except HTTPError:
        return False


def check_node(process, address, payloads, call, memory_mb):
    """Let a crowd send; check that the node lives, its peaks, and a later request."""
    peaks = Peaks(process)
    peaks.start()
    crowd = Crowd(address, payloads)
    try:
        crowd.send(monotonic() + LOAD_S)
        stop_at = monotonic() + ANSWER_S
        answered = False
        while not answered and process.poll() is None and monotonic() < stop_at:
            answered = is_answered(call)
            crowd.send(monotonic() + 0.1)
    finally:
        crowd.close()
        peaks.stop()
    assert process.poll() is None
    memory = peaks.memory_mb()
    print(f"peak {memory:.0f} MB, {peaks.descriptors} descriptors, {answered}")
    assert memory < memory_mb
    assert peaks.descriptors <= MAX_FDS
    assert answered


@pytest.mark.parametrize("case", CALLERS_CASES)
def test_node_withstands_callers(tmp_path, case):
    memory_mb = BODY_MEMORY_MB if case == "bodies" else MEMORY_MB
    with platform_node(tmp_path, memory_mb) as host:
        behaviour = host.backend_app.behaviour
        behaviour.work_s = 0.2
        if case == "slow_readers":
            behaviour.body_bytes = MB
            behaviour.work_s = 0.0
        address = (host.ip, host.ports["callers"])
        payloads = CALLERS_CASES[case]()
        check_node(host.process, address, payloads, host.call, memory_mb)


@pytest.mark.parametrize("case", OTHER_PORTS)
def test_node_withstands_clients_of_other_ports(tmp_path, case):
    port, make_payloads = OTHER_PORTS[case]
    with platform_node(tmp_path, MEMORY_MB) as host:
        address = (host.ip, host.ports[port])
        check_node(host.process, address, make_payloads(), host.call, MEMORY_MB)
        assert host.is_ready()
        assert host.send_heartbeat() == 200


OWN_CALL = (
    b"GET /donkeys/lookup/1 HTTP/1.1\r\nHost: h\r\n"
    b"Authorization: Bearer " + SECRETS["branch"].encode() + b"\r\n"
)
OWN_UPLOAD = b"POST /donkeys/1 HTTP/1.1\r\nHost: h\r\n"


def own_all_together():
    lines = [OWN_CALL + b"a:\r\n" * 7000] * 60
    endless = [OWN_CALL + b"X: " + b"a" * 30_000] * 60
    empty = [b"\r\n" * 8_000_000] * 10
    pipelined = [(OWN_CALL + b"\r\n") * 4000] * 20
    medium = [body_of(MB, OWN_UPLOAD)] * 30
    return lines + endless + empty + pipelined + medium + [b""] * 150


OWN_CASES = {
    "lines": lambda: [b"GET /donkeys/1 HTTP/1.1\r\n" + b"a:\r\n" * 7000] * 200,
    "bodies": lambda: [body_of(15 * MB, OWN_UPLOAD)[:-1]] * 40,
    "heads_over_limit": lambda: (
        [OWN_CALL + b"X: " + b"a" * 200_000 + b"\r\n\r\n"] * 300
    ),
    "heads_without_end": lambda: [OWN_CALL + b"X: " + b"a" * 30_000] * 300,
    "empty_lines": lambda: [b"\r\n" * 8_000_000] * 40,
    "pipelined": lambda: [(OWN_CALL + b"\r\n") * 4000] * 60,
    "silent": lambda: [b""] * 500,
    "chunks_without_end": lambda: (
        [OWN_UPLOAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 2_000_000]
        * 30
    ),
    "long_chunk_sizes": lambda: (
        [OWN_UPLOAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"0" * 16 * MB] * 30
    ),
    "long_chunks": lambda: (
        [
            OWN_UPLOAD
            + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (15 * MB)
            + bytes(15 * MB - 1)
        ]
        * 40
    ),
    "all_together": own_all_together,
}
OWN_OTHER_PORTS = {
    "admin_silent": ("admin_port", lambda: [b""] * 500),
    "admin_heads_without_end": (
        "admin_port",
        lambda: [b"GET /status HTTP/1.1\r\nX: " + b"a" * 30_000] * 300,
    ),
    "admin_bodies": (
        "admin_port",
        lambda: [body_of(15 * MB, b"POST /notes HTTP/1.1\r\nHost: h\r\n")[:-1]] * 40,
    ),
    "backend_silent": ("backend_port", lambda: [b""] * 500),
    "backend_heads_without_end": (
        "backend_port",
        lambda: [b"POST /announce HTTP/1.1\r\nX: " + b"a" * 30_000] * 300,
    ),
    "backend_empty_lines": ("backend_port", lambda: [b"\r\n" * 8_000_000] * 40),
}
OWN_SETTINGS = {
    "http": {
        "max_buffered_bytes": 16 * MB,
        "idle_connection_s": 4,
        "max_connections": 200,
        "max_service_connections": 20,
    }
}


def check_own_interface(directory, port, payloads):
    """Let a crowd send to a port of a node with the own interface."""
    with ProcessFleet(directory, node_settings=OWN_SETTINGS) as fleet:
        fleet.start(1)
        (host,) = fleet.hosts
        address = (HOST, host.node_settings["node"][port])
        assert host.admin.accept_note(initial_note()) == 1
        fleet.await_revision(1)

        def call():
            url = f"http://{HOST}:{host.call_port}/donkeys/lookup/1"
            key = {"Authorization": f"Bearer {SECRETS['branch']}"}
            return fleet.http.request(
                "GET", url, headers=key, timeout=2.0, retries=False
            )

        wait_until(lambda: is_answered(call))
        check_node(host.node.popen, address, payloads, call, MEMORY_MB)


@pytest.mark.parametrize("case", OWN_CASES)
def test_own_interface_withstands_callers(tmp_path, case):
    check_own_interface(tmp_path, "call_port", OWN_CASES[case]())


@pytest.mark.parametrize("case", OWN_OTHER_PORTS)
def test_own_interface_withstands_clients_of_other_ports(tmp_path, case):
    port, make_payloads = OWN_OTHER_PORTS[case]
    check_own_interface(tmp_path, port, make_payloads())
