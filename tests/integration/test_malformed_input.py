"""Malformed messages and unexpected errors on each socket that a node reads.

The node goes on, at most the connection ends, and other calls are answered.
"""

from socket import create_connection

import pytest
from msgpack import packb

from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

NESTED_FRAME = b"\x91" * 100_000
CALL = (
    b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Authorization: Bearer secret\r\nX-Monsoonmill-Attempt-Id: odd\r\n"
)
DATA_BY_PORT = {
    "callers": [
        CALL + b"X-Monsoonmill-Request-Deadline: \xb2\r\n\r\n",
        CALL + b"X-Monsoonmill-Request-Deadline: " + b"9" * 5000 + b"\r\n\r\n",
        CALL + b"X-Monsoonmill-Request-Deadline: -5\r\n\r\n",
        CALL + b"Content-Length: \xb2\r\n\r\n",
        CALL + b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        CALL.replace(b"shop.example", b"\xff" * 300) + b"\r\n",
        b"\x00\xff" * 500,
    ],
    "ready": [b"GET \xff\xfe HTTP/1.1\r\n\r\n", b"\x16\x03\x01"],
    "control": [
        b"POST /monsoonmill/instances/%FF%00/heartbeat HTTP/1.1\r\n"
        b"Content-Length: 2\r\n\r\n[]",
        b"POST /monsoonmill/instances/x/heartbeat HTTP/1.1\r\n"
        b"Content-Length: 100000\r\n\r\n" + b"[" * 100_000,
        b"POST /monsoonmill/instances/" + b"x" * 9000 + b" HTTP/1.1\r\n\r\n",
    ],
    "metrics": [
        b"GET /counters?\xff HTTP/1.1\r\n\r\n",
        b"POST /notes HTTP/1.1\r\n\r\n",
    ],
    "peer": [
        b"\x00\xff" * 500,
        NESTED_FRAME,
        packb(["Hello", {"node": 5}]),
        packb(["Hello", ["x" * 70_000, 1 << 62, ["\x00", 1 << 40]]]),
        packb(["Forward", {}]),
        packb({"a": 1}),
        b"\xc1",
    ],
}
CASES = [(port, data) for port, items in DATA_BY_PORT.items() for data in items]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with PlatformFleet(tmp_path_factory.mktemp("fleet"), ("profiles",)) as fleet:
        rules = (rule("/look/", "profiles"),)
        fleet.put_config(configuration(3, rules, ("profiles",), [tenant()]))
        fleet.start()
        wait_until(lambda: fleet.hosts[0].call().status == 200)
        yield fleet


def send_raw(host, port, data):
    """Send bytes to a port of a node and read until it responds, closes or waits."""
    with create_connection((host.ip, host.ports[port]), timeout=0.5) as sock:
        sock.sendall(data)
        try:
            sock.recv(4096)
        except (TimeoutError, ConnectionError):
            return


@pytest.mark.parametrize(("port", "data"), CASES, ids=range(len(CASES)))
def test_node_goes_on_after_malformed_data(fleet, port, data):
    host = fleet.hosts[0]
    if port == "metrics":
        host.ports["metrics"] = 9464
    send_raw(host, port, data)
    assert host.call().status == 200
    assert host.is_ready()
    assert host.process.poll() is None
    assert "task node failed" not in fleet.log(host)
