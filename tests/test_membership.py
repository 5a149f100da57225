"""Membership: failure detection, leaving and lapsed announcements."""

from attrs import evolve

from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.signals import Received
from monsoonmill.messages import MemberGossip
from monsoonmill.model import MemberState
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet

NEWS_LIMIT_S = 3.0
"""A leaving backend server receives no new work after a few seconds."""


def make_fleet(size, **options):
    fleet = FakeFleet(**options)
    fleet.install(small_config())
    nodes = [fleet.add(service="donkeys") for _ in range(size)]
    assert fleet.advance_until(lambda: all(knows(node, size) for node in nodes))
    fleet.advance(5)
    return fleet, nodes


def knows(node, size):
    members = [one for one in node.core.members.live() if one.accepts_calls]
    return len(members) == size and node.core.view.config.revision == 1


def state(node, other):
    member = node.core.members.find(other.name)
    return member.state if member else None


def ran_at_after(fleet, nodes, seconds):
    """Return the nodes that run calls made everywhere after some time."""
    fleet.advance(seconds)
    before = len(fleet.executed)
    for node in nodes:
        for number in range(20):
            fleet.call(node, "donkeys", f"/lookup/{number}", bearer=SECRET)
    fleet.advance(1)
    assert len(fleet.executed) - before == 20 * len(nodes)
    return {name for name, _ in fleet.executed[before:]}


def test_leaving_backend_server_of_16_gets_no_new_work_after_a_few_seconds():
    fleet, nodes = make_fleet(16, drain={"settle_ms": 60_000})
    fleet.inject(nodes[3], DrainRequested())
    others = [node for node in nodes if node is not nodes[3]]
    assert nodes[3].name not in ran_at_after(fleet, others, NEWS_LIMIT_S)


def test_lapsed_announcement_of_16_stops_new_work():
    fleet, nodes = make_fleet(16)
    nodes[3].backend_stopped = True
    ttl_s = nodes[3].core.members.cfg.members.announce_ttl_ms / 1000
    assert nodes[3].name not in ran_at_after(fleet, nodes, ttl_s + NEWS_LIMIT_S)
    nodes[3].backend_stopped = False
    fleet.announce(nodes[3], "donkeys")
    assert nodes[3].name in ran_at_after(fleet, nodes, NEWS_LIMIT_S)


def test_one_cut_link_raises_no_doubt():
    fleet, nodes = make_fleet(5)
    fleet.cut_links.add(frozenset((nodes[0].name, nodes[1].name)))
    versions = [node.core.members.own.version for node in nodes]
    for _ in range(60):
        fleet.advance(0.5)
        states = {state(one, other) for one in nodes for other in nodes}
        assert states == {MemberState.ALIVE}
    assert [node.core.members.own.version for node in nodes] == versions


def test_isolated_node_doubts_nobody_and_is_believed_dead():
    fleet, nodes = make_fleet(5)
    lone, rest = nodes[0], nodes[1:]
    fleet.cut_links.update(frozenset((lone.name, other.name)) for other in rest)
    fleet.advance(20)
    assert {state(lone, other) for other in rest} == {MemberState.ALIVE}
    assert {state(other, lone) for other in rest} == {MemberState.DEAD}
    fleet.cut_links.clear()
    assert fleet.advance_until(
        lambda: {state(other, lone) for other in rest} == {MemberState.ALIVE}, 20
    )


def test_paused_node_judges_nobody_by_what_it_has_not_read():
    fleet, nodes = make_fleet(5)
    fleet.pause(nodes[0])
    fleet.advance(30)
    fleet.resume(nodes[0])
    for _ in range(20):
        fleet.advance(0.25)
        assert {state(nodes[0], other) for other in nodes[1:]} == {MemberState.ALIVE}
    assert {state(other, nodes[0]) for other in nodes[1:]} == {MemberState.ALIVE}


def test_rumour_of_death_about_a_node_that_is_heard_is_refuted():
    fleet, nodes = make_fleet(5)
    member = nodes[1].core.members.find(nodes[2].name)
    rumour = MemberGossip((evolve(member, state=MemberState.DEAD),), 0)
    for node in (nodes[0], nodes[1]):
        fleet.inject(node, Received(nodes[3].name, rumour))
    for _ in range(40):
        fleet.advance(0.1)
        assert MemberState.DEAD not in {state(node, nodes[2]) for node in nodes}
    assert {state(node, nodes[2]) for node in nodes} == {MemberState.ALIVE}


def test_node_restarted_at_its_address_replaces_the_old_one():
    fleet, nodes = make_fleet(5)
    again = fleet.restart(nodes[2], service="donkeys")
    rest = [node for node in nodes if node.is_up]
    incarnation = again.core.members.own.incarnation
    assert incarnation > nodes[2].core.members.own.incarnation
    assert fleet.advance_until(
        lambda: all(
            node.core.members.find(again.name) == again.core.members.own
            for node in rest
        )
    )


def test_dead_nodes_are_forgotten_by_all():
    fleet, nodes = make_fleet(5, members={"forget_s": 20})
    fleet.kill(nodes[4])
    assert fleet.advance_until(
        lambda: {state(node, nodes[4]) for node in nodes[:4]} == {None}, 60
    )
    fleet.advance(10)
    assert {state(node, nodes[4]) for node in nodes[:4]} == {None}


def test_node_whose_seeds_are_gone_finds_the_fleet_by_the_platform():
    fleet, nodes = make_fleet(4)
    fleet.advance(30)
    lone = fleet.add(service="donkeys")
    for seed in nodes[:2]:
        fleet.kill(seed)
    assert fleet.advance_until(lambda: state(lone, nodes[2]), 10)
    assert fleet.advance_until(lambda: state(nodes[3], lone), 10)


def test_only_a_few_nodes_of_a_data_centre_register_as_seeds():
    # Only the membership's own calls of the platform are counted.
    fleet, _ = make_fleet(8, policy={"quota": "unlimited", "claims": "none"})
    fleet.advance(60)
    keys = [one.key for one in fleet.platform.store.list_keys("seeds/", fleet.now)]
    assert len(keys) == 2
    before = fleet.platform.calls
    fleet.advance(120)
    assert fleet.platform.calls - before <= 2 * (120 / 16) * 2 + 2 * 120 / 10


def test_registration_ends_with_its_node():
    fleet, nodes = make_fleet(2)
    fleet.advance(30)
    for node in nodes:
        fleet.kill(node)
    fleet.advance(61)
    assert list(fleet.platform.store.list_keys("seeds/", fleet.now)) == []
