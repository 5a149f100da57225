"""The last moments of a stopping node, as its callers see them."""

from socket import create_connection
from threading import Event, Thread
from time import monotonic

import pytest
from urllib3 import HTTPConnectionPool

from monsoonmill.codec_msgpack import MsgpackCodec
from monsoonmill.messages import PEER_MESSAGES, Hello, Ping
from monsoonmill.model import Address
from tests.deployment.clients import Client, Exchange
from tests.platform_fleet import PlatformFleet, configuration, rule, tenant, wait_until

pytestmark = pytest.mark.integration

EXIT_TIMEOUT_S = 8.0
CLIENTS = 20
MEAN_GAP_S = 0.02
PING_INTERVAL_S = 0.3
OPERATORS_PORT = 9464


class MutePeer:
    """A node that keeps its stream to another node open and confirms no goodbye."""

    def __init__(self, host):
        self._codec = MsgpackCodec(PEER_MESSAGES)
        self._sock = create_connection((host.ip, host.ports["peer"]), timeout=1.0)
        hello = Hello("127.0.9.9:7000", 1, Address("127.0.9.9", 7000))
        self._sock.sendall(self._codec.encode(hello))
        self._stop = Event()
        self._thread = Thread(target=self._ping)
        self._thread.start()

    def _ping(self):
        sequence = 0
        while not self._stop.wait(PING_INTERVAL_S):
            sequence += 1
            try:
                self._sock.sendall(self._codec.encode(Ping(sequence)))
            except OSError:
                return

    def close(self):
        self._stop.set()
        self._thread.join()
        self._sock.close()


class Results:
    """Collects what the clients saw."""

    def __init__(self):
        self.exchanges: list[Exchange] = []

    def put(self, exchange):
        self.exchanges.append(exchange)


def start_clients(host, results, stop):
    """Start clients that use each connection until it ends."""
    route = {"prefix": "/look/", "weight": 1.0, "deadline_ms": 3000, "body_bytes": 0}
    task = {
        "name": "client",
        "seed": 1,
        "key": "secret",
        "mean_gap_s": MEAN_GAP_S,
        "routes": [route],
    }
    machine = {"number": 0, "ip": host.ip, "port": host.ports["callers"]}
    clients = [Client(task, machine, number, results) for number in range(CLIENTS)]
    threads = [Thread(target=client.run, args=(stop,)) for client in clients]
    for thread in threads:
        thread.start()
    return threads


@pytest.fixture
def stopped(tmp_path):
    """What clients of a node saw while it was stopped, with a peer that is mute."""
    with PlatformFleet(tmp_path, ("profiles", "profiles")) as fleet:
        rules = (rule("/look/", "profiles"),)
        fleet.put_config(configuration(3, rules, ("profiles",), [tenant()]))
        fleet.start()
        host = fleet.hosts[0]
        wait_until(lambda: host.call("/look/1").status == 200)
        peer, results, stop = MutePeer(host), Results(), Event()
        threads = start_clients(host, results, stop)
        wait_until(lambda: len(results.exchanges) > CLIENTS)
        stopped_at = monotonic()
        fleet.stop(host)
        host.process.wait(EXIT_TIMEOUT_S)
        stop.set()
        for thread in threads:
            thread.join()
        peer.close()
        assert host.process.returncode == 0
        yield [seen for seen in results.exchanges if seen.ended_at > stopped_at]


# A stopping node closed kept connections under their clients, or left them unserved.
def test_request_on_a_kept_connection_is_answered_until_a_stop_ends_it(stopped):
    assert {seen.end for seen in stopped if seen.earlier} == {"answer"}


# A node that operators drain went on telling the platform to send it clients.
def test_node_that_operators_drain_is_not_ready(tmp_path):
    with PlatformFleet(tmp_path, ("profiles",)) as fleet:
        rules = (rule("/look/", "profiles"),)
        fleet.put_config(configuration(3, rules, ("profiles",), [tenant()]))
        fleet.start()
        host = fleet.hosts[0]
        operators = HTTPConnectionPool(host.ip, OPERATORS_PORT, timeout=1.0)
        assert operators.urlopen("POST", "/drain").status == 202
        wait_until(lambda: not host.is_ready(), 1.0)
