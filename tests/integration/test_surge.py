"""Overload by callers that send their next call without backing off."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.integration.conftest import RECOVERY_S, start_fleet
from tests.integration.load import CLOCK, LoadGenerator, LoadProfile

pytestmark = pytest.mark.integration
scenarios("../features/surge.feature")

MEAN_WORK_MS = 100
WARM_UP_CALLS = 300
"""Calls during which the nodes learn the capacity of the backend servers."""
SURGE_TIMEOUT_S = 40.0
RECOVERY_CALLS = 60
SURGE_WEIGHTS = {"lookup": 39, "pledges": 1}


@given(parsers.parse("a fleet of {size:d} hosts with {slots:d} slow slots each"))
def slow_fleet(context, size, slots):
    route = {
        "path": "/",
        "mean_ms": MEAN_WORK_MS,
        "jitter_ms": 10,
        "answer_bytes": 2000,
    }
    backend_settings = {"work": {"slots": slots, "queue_length": 4, "routes": [route]}}
    start_fleet(context, size, backend_settings=backend_settings)


@given(
    parsers.parse(
        "{callers:d} callers that send requests without backoff, seed {seed:d}"
    )
)
def start_surge(context, callers, seed):
    profile = LoadProfile(weights=SURGE_WEIGHTS, callers=callers, think_time_s=0.02)
    context.seed = seed
    context.load = LoadGenerator(context.fleet, profile, seed)
    context.load.await_results(WARM_UP_CALLS, SURGE_TIMEOUT_S)


@when(parsers.parse("{calls:d} calls have ended during the surge"))
def await_surge_calls(context, calls):
    context.mark_fault_change()
    context.load.await_results(calls, SURGE_TIMEOUT_S)


def success_share(context, kind):
    requests = [
        request
        for request in context.load.requests
        if request.kind == kind and request.sent_at >= context.fault_changed_at
    ]
    return sum(request.is_done for request in requests) / len(requests)


@then(
    parsers.parse("at least {share:d} of 100 pledges succeed and most lookups do not")
)
def pledges_preferred(context, share):
    failed = [
        request
        for request in context.load.requests
        if request.kind == "pledges" and not request.is_done
    ]
    print(*failed, context.diagnostic_counters(), sep="\n")
    assert success_share(context, "pledges") >= share / 100
    assert success_share(context, "lookup") < 0.5


@then("lookups succeed again from 5 seconds after the surge")
def lookups_recover(context):
    surge_requests = list(context.load.stop())
    ended_at = CLOCK.now()
    profile = LoadProfile(weights={"lookup": 1}, callers=2)
    context.load = LoadGenerator(context.fleet, profile, context.seed + 1000, "quiet-")
    context.load.run_for(RECOVERY_S)
    context.load.await_results(RECOVERY_CALLS)
    recovered = [
        request
        for request in context.load.stop()
        if request.sent_at >= ended_at + RECOVERY_S
    ]
    context.load.requests = surge_requests + context.load.requests
    assert recovered
    assert all(request.is_done for request in recovered)
