"""Requests that crash backend servers are detected and refused."""

from random import Random

import pytest

from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.signals import (
    CallerDisconnected,
    RunFailure,
    RunFinished,
)
from monsoonmill.decisions.poison.crash_counter import (
    RESTART_S,
    SAME_CRASH_S,
    CrashCounter,
)
from monsoonmill.decisions.poison.signals import BackendCrashed
from monsoonmill.decisions.poison.suspects import SuspectTable
from monsoonmill.reasons import Outcome, Reason
from monsoonmill.settings import PoisonSettings
from tests.configs import SECRET, small_config
from tests.crashing_servers import POISON, CrashingServers
from tests.fleet import FakeFleet, answer_ok

MAX_CRASHES = 5
FIELDS = {"bearer": SECRET}


def make_fleet(servers, size=4, seed=1, **sections):
    fleet = servers.fleet = FakeFleet(run=servers.run, seed=seed, **sections)
    fleet.install(small_config(1e6, 1e6))
    nodes = [fleet.add(service="donkeys") for _ in range(size)]
    fleet.advance(8)
    return fleet, nodes


def send_poison(fleet, node, method="GET", path="/lookup/x"):
    name = fleet.call(node, "donkeys", path, method, body=POISON, **FIELDS)
    assert fleet.advance_until(lambda: name in node.answers, 15)
    return node.answers[name]


def suspects(node):
    return node.core.poison.status()["suspects"]


@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/lookup/x"), ("POST", "/pledges")]
)
def test_resent_poison_is_refused_after_a_few_crashes(method, path):
    servers = CrashingServers()
    fleet, nodes = make_fleet(servers)
    rng = Random(1)
    answers = []
    for _ in range(20):
        answers.append(send_poison(fleet, rng.choice(nodes), method, path))
        fleet.advance(0.7)
    assert len(servers.crashes) <= MAX_CRASHES
    refused = [answer for answer in answers if answer.reason is Reason.POISON]
    assert len(refused) >= 15
    assert {answer.outcome for answer in refused} == {Outcome.NOT_RUN}
    assert answers[0].outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("seed", [1, 3])
def test_popular_lookups_in_flight_at_crashes_are_not_refused(seed):
    servers = CrashingServers(latency_s=0.1)
    fleet, nodes = make_fleet(servers, seed=seed)
    rng = Random(2)
    popular_calls = []
    for step in range(1200):
        if step % 100 == 50:
            fleet.call(rng.choice(nodes), "donkeys", "/lookup/x", body=POISON, **FIELDS)
        node, path = rng.choice(nodes), f"/lookup/{rng.randrange(10)}"
        popular_calls.append((node, fleet.call(node, "donkeys", path, **FIELDS)))
        fleet.advance(0.005)
    fleet.advance(12)
    reasons = [node.answers[name].reason for node, name in popular_calls]
    assert Reason.POISON not in reasons
    assert len(servers.crashes) <= MAX_CRASHES
    assert {suspects(node) for node in nodes} == {0}


def test_poison_sent_many_times_at_once_is_refused_afterwards():
    servers = CrashingServers()
    fleet, nodes = make_fleet(servers, 8)
    for node in nodes:
        fleet.call(node, "donkeys", "/lookup/x", body=POISON, **FIELDS)
    fleet.advance(3)
    before = len(servers.crashes)
    assert before <= 2 * MAX_CRASHES
    for node in nodes:
        assert send_poison(fleet, node).reason is Reason.POISON
    assert len(servers.crashes) == before


def test_joining_node_learns_the_refused_requests():
    servers = CrashingServers()
    fleet, nodes = make_fleet(servers)
    for _ in range(3):
        send_poison(fleet, nodes[0])
        fleet.advance(2)
    before = len(servers.crashes)
    joined = fleet.add(service="donkeys")
    fleet.advance(5)
    assert send_poison(fleet, joined).reason is Reason.POISON
    assert len(servers.crashes) == before


def test_refused_request_expires():
    servers = CrashingServers()
    fleet, nodes = make_fleet(servers, poison={"memory_s": 60})
    for _ in range(3):
        send_poison(fleet, nodes[0])
        fleet.advance(2)
    assert send_poison(fleet, nodes[1]).reason is Reason.POISON
    fleet.advance(61)
    assert send_poison(fleet, nodes[1]).reason is Reason.CONNECTION_LOST


def test_caller_that_disconnects_causes_no_suspect():
    def lose_later(node, call):
        return 0.5, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)

    fleet = FakeFleet(run=lose_later)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(3)]
    fleet.advance(8)
    name = fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET)
    fleet.advance(0.1)
    fleet.inject(nodes[0], CallerDisconnected(name))
    fleet.advance(2)
    assert {suspects(node) for node in nodes} == {0}


def test_call_that_lost_a_connection_is_unknown_even_if_refused_elsewhere():
    seen = []

    def lose_then_fail_to_send(node, call):
        seen.append(node.name)
        failure = RunFailure.CONNECTION_LOST if len(seen) == 1 else RunFailure.NOT_SENT
        return 0.01, RunFinished(call.attempt, None, failure)

    fleet = FakeFleet(run=lose_then_fail_to_send)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(3)]
    fleet.advance(8)
    name = fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET)
    fleet.advance(2)
    assert len(seen) > 1
    assert nodes[0].answers[name].outcome is Outcome.UNKNOWN


def test_suspect_is_cleared_everywhere_by_an_answer():
    lost = []

    def lose_once(node, call):
        if not lost:
            lost.append(node.name)
            return 0.01, RunFinished(call.attempt, None, RunFailure.CONNECTION_LOST)
        return answer_ok(node, call, 0.5)

    fleet = FakeFleet(run=lose_once)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(4)]
    fleet.advance(8)
    fleet.call(nodes[0], "donkeys", "/lookup/1", bearer=SECRET)
    fleet.advance(0.3)
    assert {suspects(node) for node in nodes} == {1}
    fleet.advance(1)
    assert {suspects(node) for node in nodes} == {0}


def test_connections_lost_together_are_one_crash():
    crashes = CrashCounter()
    assert crashes.record_lost_connection(10.0) == 1
    crashes.record_state_change()
    assert crashes.record_lost_connection(10.0 + SAME_CRASH_S) == 1
    assert crashes.record_lost_connection(10.1 + SAME_CRASH_S) == 2


def test_server_that_breaks_every_connection_is_not_a_series_of_crashes():
    crashes = CrashCounter()
    numbers = {crashes.record_lost_connection(10 + 0.1 * step) for step in range(18)}
    assert numbers == {1}
    assert crashes.record_lost_connection(10.1 + RESTART_S) == 2


def test_full_table_evicts_suspects_before_refused_requests():
    table = SuspectTable(PoisonSettings(2, 60, 3), Counters())
    for crash in ("a", "b"):
        table.record_crash(1, crash, 1, 0.0)
    for fingerprint in (2, 3, 4):
        table.record_crash(fingerprint, "c", 3, 1.0)
    assert [suspect.fingerprint for suspect in table] == [1, 3, 4]
    assert table.find(1).is_poison


def test_connections_lost_later_count_towards_the_same_crash():
    fleet = FakeFleet()
    fleet.install(small_config())
    node, peer = fleet.add(), fleet.add()
    fleet.advance(8)
    for crash in (1, 2):
        for fingerprint in (11, 12):
            fleet.inject(node, BackendCrashed(crash, (fingerprint,)))
            fleet.advance(0.04)
        fleet.advance(1)
    for guard in (node.core.poison, peer.core.poison):
        assert guard.is_suspect(11)
        assert not guard.is_poison(11)
