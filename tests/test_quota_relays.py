"""Quotas of a fleet in groups, whose relays report for them, on a virtual clock."""

import pytest

from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.quota.groups import RELAYS_PER_GROUP
from monsoonmill.quota_messages import QuotaReport
from tests.test_quota_replicated import BURST, RATE, anywhere, limit, make_fleet

GROUPS = 4
SIZE = 24
GROUPED = {"most_ungrouped": 0}


@pytest.fixture(params=[0, 5000], ids=["saved-burst", "burst-each-window"])
def window_ms(request):
    return request.param


def grouped_fleet(size=SIZE, **options):
    return make_fleet(size=size, **GROUPED, **options)


def groups(node):
    return node.core.quota._reports.groups


def relays(nodes):
    return [node for node in nodes if groups(node).is_relay]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("times", [2, 8])
def test_flood_at_all_nodes_stays_within_the_limit(seed, times, window_ms):
    fleet, nodes = grouped_fleet(seed=seed, window_ms=window_ms)
    fleet.drive(3, 0.6 * RATE, anywhere(fleet, nodes))
    fleet.drive(12, times * RATE, anywhere(fleet, nodes))
    assert fleet.most_in_a_window() <= limit()


def test_flood_uses_most_of_the_rate(window_ms):
    fleet, nodes = grouped_fleet(window_ms=window_ms)
    fleet.drive(12, 3 * RATE, anywhere(fleet, nodes))
    late = [one for one in fleet.given_at if one > fleet.now - 8]
    assert len(late) >= 0.9 * 8 * RATE


def test_flood_in_one_group_uses_most_of_the_rate():
    fleet, nodes = grouped_fleet(window_ms=5000)
    home = [one for one in nodes if groups(one).group == groups(nodes[0]).group]
    fleet.drive(14, 3 * RATE, anywhere(fleet, home))
    late = [one for one in fleet.given_at if one > fleet.now - 8]
    assert len(late) >= 0.9 * 8 * RATE
    assert fleet.most_in_a_window() <= limit()


@pytest.mark.parametrize("share", [0.6, 0.9])
def test_demand_below_the_rate_is_hardly_refused(share):
    fleet, nodes = grouped_fleet(window_ms=5000)
    fleet.drive(15, share * RATE, anywhere(fleet, nodes))
    total = len(fleet.given_at) + fleet.denied["branch"]
    assert fleet.denied["branch"] <= 0.02 * total


def test_partition_between_groups_adds_nothing(window_ms):
    fleet, nodes = grouped_fleet(window_ms=window_ms)
    fleet.drive(3, 0.6 * RATE, anywhere(fleet, nodes))
    for node in nodes:
        if groups(node).group == groups(nodes[0]).group:
            fleet.cut_off(node)
    fleet.drive(10, 6 * RATE, anywhere(fleet, nodes))
    assert fleet.most_in_a_window() <= limit()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restart_of_all_nodes_adds_nothing(seed, window_ms):
    fleet, nodes = grouped_fleet(seed=seed, window_ms=window_ms)
    fleet.drive(6, 4 * RATE, anywhere(fleet, nodes))
    nodes = [fleet.restart(node) for node in nodes]
    fleet.install(fleet.config)
    fleet.drive(8, 4 * RATE, anywhere(fleet, nodes))
    assert fleet.most_in_a_window() <= limit()


@pytest.mark.parametrize("seed", [1, 2])
def test_loss_of_relays_adds_nothing_and_others_take_over(seed):
    fleet, nodes = grouped_fleet(seed=seed, window_ms=5000)
    fleet.drive(3, 0.6 * RATE, anywhere(fleet, nodes))
    lost = relays(nodes)
    for node in lost:
        fleet.kill(node)
    left = [one for one in nodes if one not in lost]
    fleet.drive(20, 4 * RATE, anywhere(fleet, left))
    assert fleet.most_in_a_window() <= limit()
    assert len(relays(left)) == RELAYS_PER_GROUP * GROUPS
    late = [one for one in fleet.given_at if one > fleet.now - 8]
    share = len(left) / len(nodes)
    assert len(late) >= 0.9 * 8 * RATE * share


def test_one_relay_that_is_lost_is_not_missed():
    fleet, nodes = grouped_fleet(window_ms=5000)
    fleet.drive(3, 0.6 * RATE, anywhere(fleet, nodes))
    lost = relays(nodes)[0]
    fleet.kill(lost)
    left = [one for one in nodes if one is not lost]
    fleet.given_at.clear()
    fleet.denied["branch"] = 0
    fleet.drive(4, 0.6 * RATE, anywhere(fleet, left))
    assert fleet.denied["branch"] <= 0.02 * len(fleet.given_at)


def test_nodes_know_what_all_groups_spend():
    fleet, nodes = grouped_fleet()
    fleet.drive(3, 0.5 * RATE, anywhere(fleet, nodes))
    fleet.advance(2)
    for node in nodes:
        assert node.core.quota._reports.known_share(fleet.now) == 1.0
    levels = [node.core.quota.status()["branch"] for node in nodes]
    assert max(levels) - min(levels) <= 0.1 * BURST


def test_few_reports_cross_between_groups():
    fleet, nodes = grouped_fleet()
    group_of = {one.name: groups(one).group for one in nodes}
    crossed = []
    deliver = fleet._deliver

    def watch(node, other, received):
        if isinstance(received.message, QuotaReport):
            is_far = group_of[node.name] != group_of[received.node]
            crossed.append(is_far)
        return deliver(node, other, received)

    fleet._deliver = watch
    fleet.drive(4, 3 * RATE, anywhere(fleet, nodes))
    far = sum(crossed)
    # All to all would let three quarters of the reports cross.
    assert far <= 0.25 * len(crossed)


def test_small_fleet_is_one_group():
    fleet, nodes = make_fleet(size=8, most_ungrouped=8)
    assert all(len(groups(one).nodes) == 1 for one in nodes)
    fleet.add(data_centre="south-2", region="south")
    fleet.advance(3)
    assert all(len(groups(one).nodes) == GROUPS for one in nodes)


def test_leaving_nodes_are_not_counted():
    fleet, nodes = grouped_fleet()
    fleet.inject(nodes[-1], DrainRequested())
    fleet.advance(3)
    assert groups(nodes[0]).size == SIZE - 1


@pytest.mark.parametrize("seed", [1, 2])
def test_small_rate_is_used_though_each_node_has_a_fraction_of_a_token(seed):
    fleet, nodes = grouped_fleet(
        rate=10.0, burst=10.0, size=40, seed=seed, window_ms=5000
    )
    fleet.drive(3, 9.0, anywhere(fleet, nodes))
    fleet.denied["branch"] = 0
    fleet.given_at.clear()
    fleet.drive(12, 9.0, anywhere(fleet, nodes))
    total = len(fleet.given_at) + fleet.denied["branch"]
    assert fleet.denied["branch"] <= 0.05 * total


@pytest.mark.parametrize("seed", [1, 2])
def test_sudden_flood_of_a_small_organisation_stays_within_the_limit(seed):
    fleet, nodes = grouped_fleet(
        rate=10.0, burst=10.0, size=40, seed=seed, window_ms=5000
    )
    fleet.drive(3, 5.0, anywhere(fleet, nodes))
    fleet.drive(10, 80.0, anywhere(fleet, nodes))
    assert fleet.most_in_a_window() <= limit(10.0, 10.0)


def test_calls_are_denied_soon_when_the_pool_does_not_answer():
    fleet, nodes = grouped_fleet(rate=10.0, burst=10.0, window_ms=5000)
    fleet.drive(3, 5.0, anywhere(fleet, nodes))
    asking = nodes[0]
    holder = groups(asking).pool_holder("branch")
    home = [one for one in nodes if groups(one).group == groups(asking).group]
    fleet.cut_links.update(
        frozenset((holder, one.name)) for one in home if one.name != holder
    )
    fleet.call_time_s = 4.0
    others = [one for one in home if one.name != holder]
    fleet.drive(4, 30.0, anywhere(fleet, others))
    fleet.advance(2)
    assert not fleet.wanted_at.keys() & fleet.organisation_of.keys()
    assert fleet.most_in_a_window() <= limit(10.0, 10.0)


def test_each_organisation_has_one_keeper_in_a_group():
    _, nodes = grouped_fleet()
    home = [one for one in nodes if groups(one).group == groups(nodes[0]).group]
    names = [f"organisation-{number}" for number in range(20)]
    for name in names:
        assert len({groups(one).pool_holder(name) for one in home}) == 1
    assert len({groups(home[0]).pool_holder(name) for name in names}) > 1


@pytest.mark.parametrize(("rate", "burst"), [(RATE, BURST), (10.0, 10.0)])
def test_restart_of_nodes_that_form_groups_as_they_meet_adds_nothing(rate, burst):
    fleet, nodes = make_fleet(
        size=40, rate=rate, burst=burst, window_ms=5000, most_ungrouped=32
    )
    fleet.drive(6, 4 * rate, anywhere(fleet, nodes))
    nodes = [fleet.restart(node) for node in nodes]
    fleet.install(fleet.config)
    fleet.drive(8, 4 * rate, anywhere(fleet, nodes))
    assert fleet.most_in_a_window() <= limit(rate, burst)


def test_last_node_of_a_group_may_leave():
    fleet, nodes = make_fleet(size=5, most_ungrouped=0)
    alone = nodes[1]
    fleet.inject(alone, DrainRequested())
    fleet.drive(2, 10.0, anywhere(fleet, nodes))
    assert not groups(alone).is_relay
