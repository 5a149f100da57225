"""Latency that the nodes add, compared with direct calls to a backend server."""

from attrs import frozen
from urllib3 import HTTPConnectionPool

from monsoonmill.clock import SystemClock
from monsoonmill.counters import LatencyHistogram
from monsoonmill.load.launcher import HOST, NotReadyError
from monsoonmill.load.local_fleet import LocalFleet

CALL_COUNT = 40
PATH = "/lookup"


@frozen
class AddedLatency:
    """Latency percentiles of calls through a node, minus those of direct calls."""

    p50_ms: float
    p99_ms: float

    def __str__(self):
        return f"{self.p50_ms:.2f} ms median, {self.p99_ms:.2f} ms p99"


def measure_added_latency(fleet: LocalFleet, secret: str) -> AddedLatency:
    """Send sequential calls to a backend server, directly and through its node."""
    host = fleet.hosts[0]
    headers = {"Authorization": f"Bearer {secret}"}
    path = f"/{host.plan.service}{PATH}"
    direct = _measure(host.backend.port, PATH, {})
    via_node = _measure(host.ports["call_port"], path, headers)
    return AddedLatency(
        via_node.percentile_ms(50) - direct.percentile_ms(50),
        via_node.percentile_ms(99) - direct.percentile_ms(99),
    )


def _measure(port, path, headers):
    histogram = LatencyHistogram()
    clock = SystemClock()
    with HTTPConnectionPool(HOST, port, retries=False) as pool:
        for _ in range(CALL_COUNT):
            started = clock.now()
            response = pool.request("GET", path, headers=headers)
            if response.status != 200:
                raise NotReadyError(f"{path}: status {response.status}")
            histogram.record(clock.now() - started)
    return histogram
