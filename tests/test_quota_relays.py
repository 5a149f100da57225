"""Replicated quotas of a fleet with groups and relays, on a virtual clock."""

import pytest

from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.quota.groups import RELAYS_PER_GROUP
from monsoonmill.quota_messages import QuotaReport
from tests.test_quota_replicated import (
    BURST,
    RATE,
    make_fleet,
    random_node,
    window_limit,
)

GROUPS = 4
SIZE = 24
GROUPED_SETTINGS = {"most_ungrouped": 0}


@pytest.fixture(params=[0, 5000], ids=["saved-burst", "burst-each-window"])
def window_ms(request):
    return request.param


def make_grouped_fleet(size=SIZE, **options):
    return make_fleet(size=size, **GROUPED_SETTINGS, **options)


def groups(node):
    return node.core.quota._reports.groups


def relays(nodes):
    return [node for node in nodes if groups(node).is_relay]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("factor", [2, 8])
def test_overload_at_all_nodes_stays_within_limit(seed, factor, window_ms):
    fleet, nodes = make_grouped_fleet(seed=seed, window_ms=window_ms)
    fleet.drive(3, 0.6 * RATE, random_node(fleet, nodes))
    fleet.drive(12, factor * RATE, random_node(fleet, nodes))
    assert fleet.max_in_window() <= window_limit()


def test_overload_uses_most_of_the_rate(window_ms):
    fleet, nodes = make_grouped_fleet(window_ms=window_ms)
    fleet.drive(12, 3 * RATE, random_node(fleet, nodes))
    recent = [time for time in fleet.granted_at if time > fleet.now - 8]
    assert len(recent) >= 0.9 * 8 * RATE


def test_overload_in_one_group_uses_most_of_the_rate():
    fleet, nodes = make_grouped_fleet(window_ms=5000)
    local_nodes = [
        node for node in nodes if groups(node).group == groups(nodes[0]).group
    ]
    fleet.drive(14, 3 * RATE, random_node(fleet, local_nodes))
    recent = [time for time in fleet.granted_at if time > fleet.now - 8]
    assert len(recent) >= 0.9 * 8 * RATE
    assert fleet.max_in_window() <= window_limit()


@pytest.mark.parametrize("share", [0.6, 0.9])
def test_demand_below_rate_is_rarely_denied(share):
    fleet, nodes = make_grouped_fleet(window_ms=5000)
    fleet.drive(15, share * RATE, random_node(fleet, nodes))
    total = len(fleet.granted_at) + fleet.denied["branch"]
    assert fleet.denied["branch"] <= 0.02 * total


def test_partition_between_groups_adds_no_tokens(window_ms):
    fleet, nodes = make_grouped_fleet(window_ms=window_ms)
    fleet.drive(3, 0.6 * RATE, random_node(fleet, nodes))
    for node in nodes:
        if groups(node).group == groups(nodes[0]).group:
            fleet.isolate(node)
    fleet.drive(10, 6 * RATE, random_node(fleet, nodes))
    assert fleet.max_in_window() <= window_limit()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restart_of_all_nodes_adds_no_tokens(seed, window_ms):
    fleet, nodes = make_grouped_fleet(seed=seed, window_ms=window_ms)
    fleet.drive(6, 4 * RATE, random_node(fleet, nodes))
    nodes = [fleet.restart(node) for node in nodes]
    fleet.install(fleet.config)
    fleet.drive(8, 4 * RATE, random_node(fleet, nodes))
    assert fleet.max_in_window() <= window_limit()


@pytest.mark.parametrize("seed", [1, 2])
def test_loss_of_relays_adds_no_tokens_and_others_take_over(seed):
    fleet, nodes = make_grouped_fleet(seed=seed, window_ms=5000)
    fleet.drive(3, 0.6 * RATE, random_node(fleet, nodes))
    lost = relays(nodes)
    for node in lost:
        fleet.kill(node)
    remaining = [node for node in nodes if node not in lost]
    fleet.drive(20, 4 * RATE, random_node(fleet, remaining))
    assert fleet.max_in_window() <= window_limit()
    assert len(relays(remaining)) == RELAYS_PER_GROUP * GROUPS
    recent = [time for time in fleet.granted_at if time > fleet.now - 8]
    share = len(remaining) / len(nodes)
    assert len(recent) >= 0.9 * 8 * RATE * share


def test_loss_of_one_relay_has_no_effect():
    fleet, nodes = make_grouped_fleet(window_ms=5000)
    fleet.drive(3, 0.6 * RATE, random_node(fleet, nodes))
    lost = relays(nodes)[0]
    fleet.kill(lost)
    remaining = [node for node in nodes if node is not lost]
    fleet.granted_at.clear()
    fleet.denied["branch"] = 0
    fleet.drive(4, 0.6 * RATE, random_node(fleet, remaining))
    assert fleet.denied["branch"] <= 0.02 * len(fleet.granted_at)


def test_nodes_know_spending_of_all_groups():
    fleet, nodes = make_grouped_fleet()
    fleet.drive(3, 0.5 * RATE, random_node(fleet, nodes))
    fleet.advance(2)
    for node in nodes:
        assert node.core.quota._reports.known_share(fleet.now) == 1.0
    levels = [node.core.quota.status()["branch"] for node in nodes]
    assert max(levels) - min(levels) <= 0.1 * BURST


def test_few_reports_are_sent_between_groups():
    fleet, nodes = make_grouped_fleet()
    group_of = {node.name: groups(node).group for node in nodes}
    between_groups = []
    deliver = fleet._deliver

    def record_report(node, recipient, received):
        if isinstance(received.message, QuotaReport):
            is_between_groups = group_of[node.name] != group_of[received.node]
            between_groups.append(is_between_groups)
        return deliver(node, recipient, received)

    fleet._deliver = record_report
    fleet.drive(4, 3 * RATE, random_node(fleet, nodes))
    count = sum(between_groups)
    # If every node reported to all others, it would be three quarters of the reports.
    assert count <= 0.25 * len(between_groups)


def test_small_fleet_is_one_group():
    fleet, nodes = make_fleet(size=8, most_ungrouped=8)
    assert all(len(groups(node).nodes) == 1 for node in nodes)
    fleet.add(data_centre="south-2", region="south")
    fleet.advance(3)
    assert all(len(groups(node).nodes) == GROUPS for node in nodes)


def test_leaving_nodes_are_not_counted():
    fleet, nodes = make_grouped_fleet()
    fleet.inject(nodes[-1], DrainRequested())
    fleet.advance(3)
    assert groups(nodes[0]).size == SIZE - 1


@pytest.mark.parametrize("seed", [1, 2])
def test_small_rate_is_used_with_a_fraction_of_a_token_per_node(seed):
    fleet, nodes = make_grouped_fleet(
        rate=10.0, burst=10.0, size=40, seed=seed, window_ms=5000
    )
    fleet.drive(3, 9.0, random_node(fleet, nodes))
    fleet.denied["branch"] = 0
    fleet.granted_at.clear()
    fleet.drive(12, 9.0, random_node(fleet, nodes))
    total = len(fleet.granted_at) + fleet.denied["branch"]
    assert fleet.denied["branch"] <= 0.05 * total


@pytest.mark.parametrize("seed", [1, 2])
def test_sudden_overload_of_small_organisation_stays_within_limit(seed):
    fleet, nodes = make_grouped_fleet(
        rate=10.0, burst=10.0, size=40, seed=seed, window_ms=5000
    )
    fleet.drive(3, 5.0, random_node(fleet, nodes))
    fleet.drive(10, 80.0, random_node(fleet, nodes))
    assert fleet.max_in_window() <= window_limit(10.0, 10.0)


def test_calls_are_denied_soon_if_pool_does_not_answer():
    fleet, nodes = make_grouped_fleet(rate=10.0, burst=10.0, window_ms=5000)
    fleet.drive(3, 5.0, random_node(fleet, nodes))
    requester = nodes[0]
    holder = groups(requester).pool_holder("branch")
    local_nodes = [
        node for node in nodes if groups(node).group == groups(requester).group
    ]
    fleet.cut_links.update(
        frozenset((holder, node.name)) for node in local_nodes if node.name != holder
    )
    fleet.call_timeout_s = 4.0
    others = [node for node in local_nodes if node.name != holder]
    fleet.drive(4, 30.0, random_node(fleet, others))
    fleet.advance(2)
    assert not fleet.requested_at.keys() & fleet.organisation_of.keys()
    assert fleet.max_in_window() <= window_limit(10.0, 10.0)


def test_each_organisation_has_one_pool_holder_per_group():
    _, nodes = make_grouped_fleet()
    local_nodes = [
        node for node in nodes if groups(node).group == groups(nodes[0]).group
    ]
    names = [f"organisation-{number}" for number in range(20)]
    for name in names:
        assert len({groups(node).pool_holder(name) for node in local_nodes}) == 1
    assert len({groups(local_nodes[0]).pool_holder(name) for name in names}) > 1


@pytest.mark.parametrize(("rate", "burst"), [(RATE, BURST), (10.0, 10.0)])
def test_restart_while_groups_form_adds_no_tokens(rate, burst):
    fleet, nodes = make_fleet(
        size=40, rate=rate, burst=burst, window_ms=5000, most_ungrouped=32
    )
    fleet.drive(6, 4 * rate, random_node(fleet, nodes))
    nodes = [fleet.restart(node) for node in nodes]
    fleet.install(fleet.config)
    fleet.drive(8, 4 * rate, random_node(fleet, nodes))
    assert fleet.max_in_window() <= window_limit(rate, burst)


def test_last_node_of_a_group_may_leave():
    fleet, nodes = make_fleet(size=5, most_ungrouped=0)
    leaving = nodes[1]
    fleet.inject(leaving, DrainRequested())
    fleet.drive(2, 10.0, random_node(fleet, nodes))
    assert not groups(leaving).is_relay
