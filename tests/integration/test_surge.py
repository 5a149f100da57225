"""A surge of callers that try again at once."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.integration.conftest import GO_ON_S, start_fleet
from tests.integration.load import CLOCK, Load, Plan

pytestmark = pytest.mark.integration
scenarios("../features/surge.feature")

SLOW_MS = 100
WARM_UP_CALLS = 300
"""Calls in which the nodes find out what the backend servers can do."""
SURGE_TIMEOUT_S = 40.0
QUIET_CALLS = 60
SURGE = {"lookup": 39, "pledges": 1}


@given(parsers.parse("a fleet of {size:d} hosts with {slots:d} slow slots each"))
def slow_fleet(world, size, slots):
    route = {"path": "/", "mean_ms": SLOW_MS, "jitter_ms": 10, "answer_bytes": 2000}
    tables = {"work": {"slots": slots, "queue_length": 4, "routes": [route]}}
    start_fleet(world, size, backend_settings=tables)


@given(parsers.parse("{callers:d} callers that do not let up, seed {seed:d}"))
def surge(world, callers, seed):
    plan = Plan(weights=SURGE, callers=callers, pace_s=0.02)
    world.seed = seed
    world.load = Load(world.fleet, plan, seed)
    world.load.await_more(WARM_UP_CALLS, SURGE_TIMEOUT_S)


@when(parsers.parse("the surge has gone on for {calls:d} calls"))
def surge_goes_on(world, calls):
    world.note_fault()
    world.load.await_more(calls, SURGE_TIMEOUT_S)


def done_share(world, kind):
    sent = [
        one
        for one in world.load.sent
        if one.kind == kind and one.sent_at >= world.fault_at
    ]
    return sum(one.is_done for one in sent) / len(sent)


@then(
    parsers.parse(
        "at least {share:d} of 100 pledges were recorded and lookups were shed instead"
    )
)
def pledges_come_first(world, share):
    lost = [one for one in world.load.sent if one.kind == "pledges" and not one.is_done]
    print(*lost, world.troubles(), sep="\n")
    assert done_share(world, "pledges") >= share / 100
    assert done_share(world, "lookup") < 0.5


@then("lookups are answered again from 5 seconds after the surge")
def lookups_recover(world):
    surge_sent = list(world.load.stop())
    ended_at = CLOCK.now()
    plan = Plan(weights={"lookup": 1}, callers=2)
    world.load = Load(world.fleet, plan, world.seed + 1000, "quiet-")
    world.load.go_on(GO_ON_S)
    world.load.await_more(QUIET_CALLS)
    later = [one for one in world.load.stop() if one.sent_at >= ended_at + GO_ON_S]
    world.load.sent = surge_sent + world.load.sent
    assert later
    assert all(one.is_done for one in later)
