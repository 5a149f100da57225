"""Trial: what a store that turns nodes away, and departures of servers, cost the fleet.

Run with ``python -m tests.trials.disruptions store 36 196``, or ``departures`` in place
of ``store``.
"""

from collections import Counter
from sys import argv

from msgspec.msgpack import Encoder

from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.model import Address
from tests.configs import PLATFORM_POLICY, small_config
from tests.fleet import PLATFORM_REQUESTS
from tests.test_key_withdrawal import withdraw_key
from tests.trials.members import MeteredFleet

SECTIONS = {
    "policy": PLATFORM_POLICY,
    "platform": {"max_watchers_per_data_centre": 3, "poll_floor_ms": 300},
    "members": {"gossip_ms": 700, "suspect_ms": 3000, "announce_ttl_ms": 8000},
}
DATA_CENTRES = {36: 4, 196: 8}
FIRST_PORT = 10_000
OUTAGE_S = 9.0
IDLE_S = 20.0
LEAVING_SHARE = 0.1
HEARTBEAT_S = 1.5


class CountingFleet(MeteredFleet):
    """Counts the calls of the store as well, with those that it refuses."""

    def reset(self):
        super().reset()
        self.store_calls = Counter()

    def _carry_out(self, node, signal):
        if isinstance(signal, PLATFORM_REQUESTS):
            self.store_calls[type(signal).__name__] += 1
        super()._carry_out(node, signal)


def start_fleet(size):
    fleet = CountingFleet(seed=size, **SECTIONS)
    fleet.install(small_config())
    centres = DATA_CENTRES[size]
    for number in range(size):
        place = f"r{number % 2}", f"dc-{number % centres}"
        fleet.add(*place, port=FIRST_PORT + number)
    for number, node in enumerate(list(fleet.nodes.values())):
        fleet.schedule(HEARTBEAT_S * number / size, lambda n=node: beat(fleet, n, 1))
    fleet.advance(30.0)
    fleet.reset()
    return fleet


def beat(fleet, node, sequence):
    """Send a heartbeat of a node's backend server, now and regularly after."""
    if not node.is_up or node.backend_stopped:
        return
    address = Address("127.0.0.1", node.address.port + 5000)
    fleet.inject(
        node, BackendHeartbeat(f"i-{node.name}", 100, sequence, "s", address, 8)
    )
    fleet.schedule(HEARTBEAT_S, lambda: beat(fleet, node, sequence + 1))


def report(fleet, size, label, seconds):
    node_seconds = size * seconds
    calls = sum(fleet.store_calls.values())
    print(
        f"{size} nodes, {label}: {calls / seconds:.1f} store calls/s of the fleet "
        f"({dict(fleet.store_calls)} in {seconds:.0f} s); a node sends "
        f"{sum(fleet.sent.values()) / node_seconds:.2f} messages/s, "
        f"{fleet.bytes / node_seconds:.0f} B/s; decisions "
        f"{100 * fleet.cpu_s / node_seconds:.3f}% of a core"
    )
    fleet.reset()


def measure_store(size):
    """Measure calm, an outage for all watchers, and one for all nodes."""
    fleet = start_fleet(size)
    fleet.advance(IDLE_S)
    report(fleet, size, "calm", IDLE_S)
    watchers = [n for n in fleet.nodes.values() if n.core.register._is_watching]
    fleet.platform_unreachable_from = {node.name for node in watchers}
    served = [node for node in fleet.nodes.values() if node not in watchers]
    fleet.advance(0.3)
    fleet.install(withdraw_key(small_config()))
    started = fleet.now
    in_force = fleet.advance_until(
        lambda: all(node.core.view.config.revision == 2 for node in served),
        OUTAGE_S - 0.3,
    )
    took_s = fleet.now - started
    fleet.advance(max(OUTAGE_S - 0.3 - took_s, 0.0))
    print(f"{size} nodes: in force at all served {in_force}, after {took_s:.2f} s")
    report(fleet, size, f"{len(watchers)} watchers turned away", OUTAGE_S)
    fleet.platform_unreachable_from = set()
    fleet.advance(IDLE_S)
    fleet.reset()
    fleet.platform.is_down = True
    fleet.advance(OUTAGE_S)
    report(fleet, size, "store down", OUTAGE_S)


def measure_departures(size):
    """Measure departures of a tenth of the servers, and a restart of all nodes."""
    fleet = start_fleet(size)
    nodes = list(fleet.nodes.values())
    leaving = nodes[: max(int(LEAVING_SHARE * size), 1)]
    waits = []
    for node in leaving:
        node.backend_stopped = True
        left_at = fleet.now
        departure = BackendDeregistered(f"i-{node.name}", 200, "leave")
        fleet.inject(node, departure)
        assert fleet.advance_until(lambda n=node: "leave" in n.answers, 1.0, 0.005)
        waits.append(fleet.now - left_at)
    print(f"{size} nodes: {len(leaving)} departures acknowledged, {max(waits):.3f} s")
    fleet.advance(IDLE_S)
    report(fleet, size, f"{len(leaving)} departures", IDLE_S + sum(waits))
    for node in nodes:
        fleet.kill(node)
    fleet.advance(0.3)
    for number, node in enumerate(nodes):
        own = node.core.members.own
        started = fleet.add(own.region, own.data_centre, port=own.address.port)
        delay_s = HEARTBEAT_S * number / size
        fleet.schedule(delay_s, lambda node=started: beat(fleet, node, 50))
    fleet.advance(5.0)
    report(fleet, size, "all restarted", 5.0)


if __name__ == "__main__":
    for argument in argv[2:]:
        (measure_store if argv[1] == "store" else measure_departures)(int(argument))
    entry = next(iter(start_fleet(36).nodes.values())).core.members.own
    print(f"a member entry has {len(Encoder().encode(entry))} bytes")
