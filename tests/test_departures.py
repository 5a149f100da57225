"""Departures of backend servers that outlive the node that acknowledged them."""

import pytest

from monsoonmill.decisions.lifecycle.departures import ANSWER_LIMIT_S
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.model import Address
from monsoonmill.reasons import Outcome
from monsoonmill.standin.store_data import Store
from tests.configs import PLATFORM_POLICY, SECRET, small_config
from tests.fleet import FakeFleet

ADDRESS = Address("127.0.0.1", 8080)
LATE_HEARTBEAT_S = 3.0
CALLS = 40


def heartbeat(sequence=5, leaves=False, started=100, instance="i-1", request=""):
    return BackendHeartbeat(
        instance, started, sequence, "donkeys", ADDRESS, 8, leaves, request=request
    )


LEAVING = {
    "deregistered": BackendDeregistered("i-1", 200, "leave"),
    "draining": heartbeat(6, leaves=True, request="leave"),
}


def make_fleet(size, **options):
    """Return a fleet whose last node's backend server sends heartbeats."""
    ttl = {"announce_ttl_ms": 8000}
    fleet = FakeFleet(policy=PLATFORM_POLICY, members=ttl, **options)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(size - 1)]
    nodes.append(fleet.add())
    fleet.advance(3.0)
    fleet.inject(nodes[-1], heartbeat(1))
    fleet.advance(3.0)
    return fleet, nodes


def leave(fleet, node, signal):
    """Have the backend server leave; return the outcome, None without an answer."""
    fleet.inject(node, signal)
    for _ in range(20):
        if "leave" in node.answers:
            return node.answers["leave"].outcome
        fleet.advance(ANSWER_LIMIT_S / 16)
    return None


def run_calls(fleet, callers):
    """Return the nodes whose backend servers run calls of the given nodes."""
    before = len(fleet.executed)
    for number in range(CALLS):
        for node in callers:
            fleet.call(node, "donkeys", f"/lookup/{number}", bearer=SECRET)
        fleet.advance(0.05)
    fleet.advance(1.0)
    return {name for name, _ in fleet.executed[before:]}


# A node that was killed forgot that it had acknowledged a departure; a heartbeat from
# before brought the backend server back into use.
@pytest.mark.parametrize("how", list(LEAVING))
@pytest.mark.parametrize("delay_s", [0.0, 0.3, LATE_HEARTBEAT_S])
@pytest.mark.parametrize("size", [2, 3, 12])
def test_acknowledged_departure_outlives_the_node(size, delay_s, how):
    fleet, (*others, node) = make_fleet(size)
    assert node.name in run_calls(fleet, others)
    assert leave(fleet, node, LEAVING[how]) is Outcome.DONE
    fleet.advance(delay_s)
    node = fleet.restart(node, seeds=[str(others[0].address)])
    fleet.advance(LATE_HEARTBEAT_S - delay_s)
    fleet.inject(node, heartbeat(5))
    assert node.name not in run_calls(fleet, others)


# The departure was known to the process that acknowledged it, not to those after it.
def test_departure_outlives_several_restarts_and_one_more_holder():
    fleet, (*others, node) = make_fleet(6)
    assert leave(fleet, node, LEAVING["deregistered"]) is Outcome.DONE
    for other in list(others[:2]):
        others.remove(other)
        others.append(fleet.restart(other, service="donkeys"))
        node = fleet.restart(node, seeds=[str(others[0].address)])
        fleet.advance(0.2)
    fleet.inject(node, heartbeat(5))
    assert node.name not in run_calls(fleet, others)


# All that knew of the departure were killed at the same moment.
@pytest.mark.parametrize("size", [1, 2, 12])
def test_acknowledged_departure_outlives_a_kill_of_all_nodes(size):
    fleet, nodes = make_fleet(size)
    assert leave(fleet, nodes[-1], LEAVING["deregistered"]) is Outcome.DONE
    nodes = restart_all(fleet, nodes)
    fleet.inject(nodes[-1], heartbeat(5))
    fleet.advance(1.0)
    assert nodes[-1].name not in run_calls(fleet, nodes)


def restart_all(fleet, nodes):
    """Kill all nodes and start them again; their backend servers announce themselves.

    That of the last node does not.
    """
    for node in nodes:
        fleet.kill(node)
    fleet.advance(0.3)
    seeds = [str(nodes[0].address)]
    started = [
        fleet.add(service="donkeys", port=node.address.port, seeds=seeds)
        for node in nodes[:-1]
    ]
    return [*started, fleet.add(port=nodes[-1].address.port, seeds=seeds)]


# The store is no better a witness than the nodes while it is away, or is set back.
@pytest.mark.parametrize("trouble", ["is down", "is slow", "loses answers", "returns"])
def test_acknowledged_departure_outlives_the_node_while_the_store_is_no_help(trouble):
    fleet, (*others, node) = make_fleet(6)
    fleet.platform.is_down = trouble == "is down"
    fleet.platform.drops_answers = trouble == "loses answers"
    if trouble == "is slow":
        fleet.platform.delay_s = 4.0
    assert leave(fleet, node, LEAVING["deregistered"]) is Outcome.DONE
    if trouble == "returns":
        fleet.platform.store = Store()
    node = fleet.restart(node, seeds=[str(others[0].address)])
    fleet.advance(LATE_HEARTBEAT_S)
    fleet.inject(node, heartbeat(5))
    assert node.name not in run_calls(fleet, others)


def test_departure_costs_three_calls_and_a_restart_none():
    fleet, (*others, node) = make_fleet(6)
    requests = []
    send = fleet._send_to_platform

    def record_and_send(node, signal, wait_s):
        requests.append(signal.request)
        send(node, signal, wait_s)

    fleet._send_to_platform = record_and_send
    for sequence in range(6, 10):
        fleet.inject(node, heartbeat(sequence, leaves=True))
        fleet.advance(1.5)
    assert sum("departure" in request for request in requests) <= 3
    requests.clear()
    fleet.restart(node, seeds=[str(others[0].address)])
    fleet.advance(5.0)
    assert not any("departure" in request for request in requests)


# A restart of a whole fleet takes one read of each node with a backend server.
def test_start_of_a_fleet_reads_departures_once_for_each_heartbeat_that_waits():
    fleet = FakeFleet(policy=PLATFORM_POLICY)
    requests = []
    send = fleet._send_to_platform

    def record_and_send(node, signal, wait_s):
        requests.append((node.name, signal.request))
        send(node, signal, wait_s)

    fleet._send_to_platform = record_and_send
    nodes = [fleet.add() for _ in range(8)]
    for node in nodes[:5]:
        for sequence in range(3):
            fleet.inject(node, heartbeat(sequence))
    fleet.advance(5.0)
    reads = [name for name, request in requests if "departure" in request]
    assert sorted(reads) == sorted(node.name for node in nodes[:5])


# The node's next process believed a heartbeat before it had asked other nodes.
def test_heartbeat_is_believed_once_another_node_has_replied():
    fleet, (*others, node) = make_fleet(4)
    node = fleet.restart(node, seeds=[str(others[0].address)])
    fleet.inject(node, heartbeat(5))
    assert not node.core.members.own.accepts_calls
    fleet.advance(0.1)
    assert node.core.members.own.accepts_calls
    assert node.name in run_calls(fleet, others)


def test_node_that_nobody_answers_believes_heartbeats_in_the_end():
    fleet = FakeFleet(policy=PLATFORM_POLICY)
    fleet.platform.is_down = True
    node = fleet.add()
    fleet.inject(node, heartbeat(5))
    fleet.advance(1.0)
    assert not node.core.members.own.accepts_calls
    fleet.advance(1.5)
    assert node.core.members.own.accepts_calls


# A departure was acknowledged that only the node itself knew.
@pytest.mark.parametrize("how", list(LEAVING))
def test_departure_that_no_other_node_confirms_is_not_acknowledged(how):
    fleet, (*others, node) = make_fleet(4)
    fleet.cut_links |= {frozenset((node.name, other.name)) for other in others}
    assert leave(fleet, node, LEAVING[how]) is Outcome.UNKNOWN
    assert not node.core.members.own.accepts_calls
    fleet.cut_links.clear()
    node.answers.clear()
    assert leave(fleet, node, LEAVING[how]) is Outcome.DONE


# An older start under the same identity has left, not the present one.
def test_backend_server_that_starts_again_under_its_identity_is_used():
    fleet, (*others, node) = make_fleet(4)
    assert leave(fleet, node, LEAVING["deregistered"]) is Outcome.DONE
    node = fleet.restart(node, seeds=[str(others[0].address)])
    fleet.advance(0.5)
    fleet.inject(node, heartbeat(1, started=300))
    assert node.name in run_calls(fleet, others)


def test_departures_in_an_entry_are_bounded():
    fleet, (*others, node) = make_fleet(4)
    for number in range(20):
        fleet.inject(node, BackendDeregistered(f"i-{number}", 200 + number))
        fleet.advance(1.0)
    entry = others[0].core.members.find(node.name)
    assert [departure.instance for departure in entry.departures] == [
        f"i-{number}" for number in range(16, 20)
    ]
