"""Watchers that the store turns away, while it serves the other nodes."""

from itertools import count

import pytest

from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.signals import StoreReachChanged
from monsoonmill.decisions.configuration.store_reach import StoreReach
from monsoonmill.decisions.members.seed_directory import SEED_LEASE_S
from monsoonmill.decisions.members.watchers import STAND_INS
from monsoonmill.decisions.signals import PlatformDone, PlatformFailed
from monsoonmill.errors import (
    PlatformConflictError,
    PlatformRateLimitError,
    PlatformUnavailableError,
)
from monsoonmill.reasons import Reason
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet
from tests.test_key_withdrawal import withdraw_key

DATA_CENTRES = (("r1", "a"), ("r1", "b"), ("r2", "c"), ("r2", "d"))
WATCHERS_PER_DATA_CENTRE = 3
MAX_CANDIDATES = WATCHERS_PER_DATA_CENTRE * (1 + STAND_INS) * len(DATA_CENTRES)
IN_FORCE_LIMIT_S = 7.5
"""A change takes effect within 2.5 s, and within 5 s more while the store turns away
some nodes."""
LARGEST_SHARE = 0.35
"""Share of the nodes that the store may turn away."""


def make_fleet(size, seed=1, claims="none"):
    fleet = FakeFleet(
        seed=seed,
        platform={"max_watchers_per_data_centre": WATCHERS_PER_DATA_CENTRE},
        policy={"quota": "unlimited", "claims": claims},
        members={"gossip_ms": 700},
    )
    fleet.install(small_config())
    nodes = [
        fleet.add(region, data_centre, service="donkeys")
        for number in range(size)
        for region, data_centre in [DATA_CENTRES[number % len(DATA_CENTRES)]]
    ]
    fleet.advance(8.0)
    assert {node.core.view.config.revision for node in nodes} == {1}
    return fleet, nodes


def watchers(nodes):
    return [node for node in nodes if node.core.watchers.status()["is_watcher"]]


def turn_away(fleet, nodes):
    fleet.platform_unreachable_from |= {node.name for node in nodes}


def assert_key_stops_working(fleet, nodes):
    """Withdraw the key and check that each node refuses it in time."""
    fleet.install(withdraw_key(small_config()))
    fleet.advance(IN_FORCE_LIMIT_S)
    for node in nodes:
        name = fleet.call(node, "donkeys", "/lookup/1", bearer=SECRET)
        fleet.advance(0.1)
        assert node.answers[name].reason is Reason.KEY_WITHDRAWN


# Nodes that the store served kept a withdrawn key while it turned all watchers away.
@pytest.mark.parametrize("silent_s", [0.0, 1.5], ids=["refused", "no response"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_key_is_withdrawn_while_the_store_turns_all_watchers_away(seed, silent_s):
    fleet, nodes = make_fleet(36, seed)
    away = watchers(nodes)
    assert 0 < len(away) <= LARGEST_SHARE * len(nodes)
    fleet.unreachable_delay_s = silent_s
    turn_away(fleet, away)
    fleet.advance(0.3)
    assert_key_stops_working(fleet, [node for node in nodes if node not in away])


# A stand-in that the store turns away as well was not replaced in its turn.
def test_key_is_withdrawn_while_stand_ins_are_turned_away_as_well():
    fleet, nodes = make_fleet(64)
    away = watchers(nodes)
    turn_away(fleet, away)
    fleet.advance(2.0)
    stand_ins = [node for node in watchers(nodes) if node not in away]
    away += stand_ins[: int(LARGEST_SHARE * len(nodes)) - len(away)]
    turn_away(fleet, away)
    assert_key_stops_working(fleet, [node for node in nodes if node not in away])


# A node that only watchers tell about the store would never be asked again.
def test_first_choice_watches_again_once_the_store_serves_it():
    fleet, nodes = make_fleet(36)
    first_choice = watchers(nodes)
    turn_away(fleet, first_choice)
    fleet.advance(5.0)
    assert not set(watchers(nodes)) & set(first_choice)
    fleet.platform_unreachable_from.clear()
    fleet.advance(10.0)
    assert watchers(nodes) == first_choice
    members = nodes[0].core.members.live()
    assert all(member.reaches_store for member in members)


# The addresses of nodes that were turned away lapsed, and a newcomer found nobody.
def test_stand_ins_register_as_seeds():
    fleet, nodes = make_fleet(36)
    turn_away(fleet, watchers(nodes))
    fleet.advance(SEED_LEASE_S + 10.0)
    newcomer = fleet.add(*DATA_CENTRES[0], port=60_000, seeds=["127.0.0.1:6999"])
    fleet.advance(5.0)
    assert len(list(newcomer.core.members.live())) == len(nodes) + 1


def test_store_that_serves_nobody_is_watched_by_few_nodes():
    fleet, nodes = make_fleet(64)
    callers = set()
    send = fleet._send_to_platform

    def record_and_send(node, *args):
        callers.add(node.name)
        send(node, *args)

    fleet._send_to_platform = record_and_send
    fleet.platform.is_down = True
    fleet.advance(20.0)
    assert 0 < len(callers) <= MAX_CANDIDATES
    fleet.platform.is_down = False
    fleet.advance(1.0)
    assert_key_stops_working(fleet, nodes)


# Each node told the fleet of an outage that all of them saw.
def test_outage_seen_by_all_nodes_is_announced_by_few():
    fleet, nodes = make_fleet(64, claims="paired")
    fleet.platform.is_down = True
    fleet.advance(60.0)
    states = [node.core.store_reach.status()["state"] for node in nodes]
    assert states.count("lost") > MAX_CANDIDATES
    members = nodes[0].core.members.live()
    lost = [member for member in members if not member.reaches_store]
    assert 0 < len(lost) <= MAX_CANDIDATES


# Single calls.
def failed(error):
    return PlatformFailed("config-watch", error)


DONE = PlatformDone("config-read", (), 0.0)
LOST, REGAINED = StoreReachChanged(False), StoreReachChanged(True)
UNAVAILABLE = failed(PlatformUnavailableError("503"))
LIMITED = failed(PlatformRateLimitError("429"))
CONFLICT = failed(PlatformConflictError("key", 1, 2))


@pytest.mark.parametrize(
    ("calls", "reports"),
    [
        ((UNAVAILABLE, DONE, UNAVAILABLE), []),
        ((UNAVAILABLE, UNAVAILABLE), [LOST]),
        ((LIMITED, UNAVAILABLE, LIMITED), [LOST]),
        ((UNAVAILABLE, CONFLICT, UNAVAILABLE), []),
        ((CONFLICT, CONFLICT, CONFLICT), []),
        ((UNAVAILABLE, UNAVAILABLE, DONE, UNAVAILABLE), [LOST, REGAINED]),
    ],
    ids=["one", "two", "rate limit", "conflict between", "conflicts", "regained"],
)
def test_store_is_lost_after_two_calls_in_a_row_that_it_did_not_carry_out(
    calls, reports
):
    reach = StoreReach(Counters())
    handlers = reach.handlers()
    now = count()
    signals = [
        signal for call in calls for signal in handlers[type(call)](call, next(now))
    ]
    assert signals == reports
