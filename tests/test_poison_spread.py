"""Cost of reporting lost connections in a large fleet, on a virtual clock."""

from monsoonmill.decisions.poison.signals import BackendCrashed
from monsoonmill.messages import SuspectClearance, SuspectReport
from tests.fleet import FakeFleet

SIZE = 75
DURATION_S = 2
MAX_CONTROL_BYTES_PER_S = 17_000
"""Bandwidth of a node for control messages."""
MIN_MESSAGE_BYTES = 60
"""Node name, crash and one fingerprint in msgpack."""


def test_lost_connections_do_not_flood_a_large_fleet_with_reports():
    fleet = FakeFleet(seed=1)
    nodes = [fleet.add(data_centre=f"dc-{i % 4}") for i in range(SIZE)]
    fleet.advance(6)
    delivered = []
    deliver = fleet._deliver

    def record_report(node, recipient, received):
        if isinstance(received.message, SuspectReport | SuspectClearance):
            delivered.append(recipient.name)
        return deliver(node, recipient, received)

    fleet._deliver = record_report
    for second in range(DURATION_S):
        for number, node in enumerate(nodes):
            fingerprint = 1 + second * SIZE + number
            fleet.inject(node, BackendCrashed(second, (fingerprint,)))
        fleet.advance(1)
    fleet.advance(2)
    per_node_s = len(delivered) / SIZE / DURATION_S
    assert per_node_s * MIN_MESSAGE_BYTES <= MAX_CONTROL_BYTES_PER_S
