"""Membership: failure detection, leaving nodes and expired announcements."""

from attrs import evolve

from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.signals import Received
from monsoonmill.messages import MemberGossip
from monsoonmill.model import MemberState
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet

SPREAD_LIMIT_S = 3.0
"""Time after which a leaving backend server must receive no new calls."""


def make_fleet(size, **options):
    fleet = FakeFleet(**options)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(size)]
    assert fleet.advance_until(lambda: all(knows_fleet(node, size) for node in nodes))
    fleet.advance(5)
    return fleet, nodes


def knows_fleet(node, size):
    members = [member for member in node.core.members.live() if member.accepts_calls]
    return len(members) == size and node.core.view.config.revision == 1


def state_at(node, other):
    member = node.core.members.find(other.name)
    return member.state if member else None


def nodes_running_calls_after(fleet, nodes, seconds):
    """Return the nodes that run the calls sent from all given nodes after a wait."""
    fleet.advance(seconds)
    before = len(fleet.executed)
    for node in nodes:
        for number in range(20):
            fleet.call(node, "donkeys", f"/lookup/{number}", bearer=SECRET)
    fleet.advance(1)
    assert len(fleet.executed) - before == 20 * len(nodes)
    return {name for name, _ in fleet.executed[before:]}


def test_leaving_server_gets_no_new_calls_in_a_fleet_of_16():
    fleet, nodes = make_fleet(16, drain={"settle_ms": 60_000})
    fleet.inject(nodes[3], DrainRequested())
    others = [node for node in nodes if node is not nodes[3]]
    assert nodes[3].name not in nodes_running_calls_after(fleet, others, SPREAD_LIMIT_S)


def test_expired_announcement_stops_new_calls_in_a_fleet_of_16():
    fleet, nodes = make_fleet(16)
    nodes[3].backend_stopped = True
    ttl_s = nodes[3].core.members.cfg.members.announce_ttl_ms / 1000
    assert nodes[3].name not in nodes_running_calls_after(
        fleet, nodes, ttl_s + SPREAD_LIMIT_S
    )
    nodes[3].backend_stopped = False
    fleet.announce(nodes[3], "donkeys")
    assert nodes[3].name in nodes_running_calls_after(fleet, nodes, SPREAD_LIMIT_S)


def test_single_broken_link_causes_no_suspicion():
    fleet, nodes = make_fleet(5)
    fleet.cut_links.add(frozenset((nodes[0].name, nodes[1].name)))
    versions = [node.core.members.own.version for node in nodes]
    for _ in range(60):
        fleet.advance(0.5)
        states = {state_at(node, other) for node in nodes for other in nodes}
        assert states == {MemberState.ALIVE}
    assert [node.core.members.own.version for node in nodes] == versions


def test_isolated_node_suspects_no_other_and_is_marked_dead():
    fleet, nodes = make_fleet(5)
    isolated, rest = nodes[0], nodes[1:]
    fleet.cut_links.update(frozenset((isolated.name, other.name)) for other in rest)
    fleet.advance(20)
    assert {state_at(isolated, other) for other in rest} == {MemberState.ALIVE}
    assert {state_at(other, isolated) for other in rest} == {MemberState.DEAD}
    fleet.cut_links.clear()
    assert fleet.advance_until(
        lambda: {state_at(other, isolated) for other in rest} == {MemberState.ALIVE}, 20
    )


def test_resumed_node_does_not_suspect_nodes_with_unread_messages():
    fleet, nodes = make_fleet(5)
    fleet.pause(nodes[0])
    fleet.advance(30)
    fleet.resume(nodes[0])
    for _ in range(20):
        fleet.advance(0.25)
        assert {state_at(nodes[0], other) for other in nodes[1:]} == {MemberState.ALIVE}
    assert {state_at(other, nodes[0]) for other in nodes[1:]} == {MemberState.ALIVE}


def test_false_report_of_death_is_refuted():
    fleet, nodes = make_fleet(5)
    member = nodes[1].core.members.find(nodes[2].name)
    report = MemberGossip((evolve(member, state=MemberState.DEAD),), 0)
    for node in (nodes[0], nodes[1]):
        fleet.inject(node, Received(nodes[3].name, report))
    for _ in range(40):
        fleet.advance(0.1)
        assert MemberState.DEAD not in {state_at(node, nodes[2]) for node in nodes}
    assert {state_at(node, nodes[2]) for node in nodes} == {MemberState.ALIVE}


def test_restarted_node_replaces_its_old_entry():
    fleet, nodes = make_fleet(5)
    restarted = fleet.restart(nodes[2], service="donkeys")
    rest = [node for node in nodes if node.is_up]
    incarnation = restarted.core.members.own.incarnation
    assert incarnation > nodes[2].core.members.own.incarnation
    assert fleet.advance_until(
        lambda: all(
            node.core.members.find(restarted.name) == restarted.core.members.own
            for node in rest
        )
    )


def test_dead_nodes_are_removed_everywhere():
    fleet, nodes = make_fleet(5, members={"forget_s": 20})
    fleet.kill(nodes[4])
    assert fleet.advance_until(
        lambda: {state_at(node, nodes[4]) for node in nodes[:4]} == {None}, 60
    )
    fleet.advance(10)
    assert {state_at(node, nodes[4]) for node in nodes[:4]} == {None}


def test_node_with_dead_seeds_finds_the_fleet_through_the_platform():
    fleet, nodes = make_fleet(4)
    fleet.advance(30)
    newcomer = fleet.add(service="donkeys")
    for seed in nodes[:2]:
        fleet.kill(seed)
    assert fleet.advance_until(lambda: state_at(newcomer, nodes[2]), 10)
    assert fleet.advance_until(lambda: state_at(nodes[3], newcomer), 10)


def test_only_a_few_nodes_of_a_data_centre_register_as_seeds():
    # Without quota and claims, only the membership calls the platform.
    fleet, _ = make_fleet(8, policy={"quota": "unlimited", "claims": "none"})
    fleet.advance(60)
    keys = [entry.key for entry in fleet.platform.store.list_keys("seeds/", fleet.now)]
    assert len(keys) == 2
    before = fleet.platform.calls
    fleet.advance(120)
    assert fleet.platform.calls - before <= 2 * (120 / 16) * 2 + 2 * 120 / 10


def test_seed_registration_expires_after_node_death():
    fleet, nodes = make_fleet(2)
    fleet.advance(30)
    for node in nodes:
        fleet.kill(node)
    fleet.advance(61)
    assert list(fleet.platform.store.list_keys("seeds/", fleet.now)) == []
