"""What it costs a large fleet to tell of lost connections, on a virtual clock."""

from monsoonmill.decisions.poison.signals import BackendCrashed
from monsoonmill.messages import SuspectClearance, SuspectReport
from tests.fleet import FakeFleet

SIZE = 75
SECONDS = 2
MOST_BYTES_PER_S = 17_000
"""What a node may spend for control."""
LEAST_MESSAGE_BYTES = 60
"""Name, crash and one fingerprint in msgpack."""


def test_connections_that_backend_servers_drop_do_not_flood_a_large_fleet():
    fleet = FakeFleet(seed=1)
    nodes = [fleet.add(data_centre=f"dc-{i % 4}") for i in range(SIZE)]
    fleet.advance(6)
    delivered = []
    deliver = fleet._deliver

    def count(node, other, received):
        if isinstance(received.message, SuspectReport | SuspectClearance):
            delivered.append(other.name)
        return deliver(node, other, received)

    fleet._deliver = count
    for second in range(SECONDS):
        for number, node in enumerate(nodes):
            fingerprint = 1 + second * SIZE + number
            fleet.inject(node, BackendCrashed(second, (fingerprint,)))
        fleet.advance(1)
    fleet.advance(2)
    per_node_s = len(delivered) / SIZE / SECONDS
    assert per_node_s * LEAST_MESSAGE_BYTES <= MOST_BYTES_PER_S
