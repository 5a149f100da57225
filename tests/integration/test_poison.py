"""A request that crashes every backend server that executes it."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.integration.conftest import BACKEND_SETTINGS, start_fleet
from tests.process_fleet import wait_for

pytestmark = pytest.mark.integration
scenarios("../features/poison.feature")

MARKER = "poison-marker"
PATH = f"/donkeys/lookup/{MARKER}"
REFUSAL_TIMEOUT_S = 5.0


@given(
    parsers.parse("a fleet of {size:d} hosts whose backend servers crash on a marker")
)
def fleet_with_poison_marker(context, size):
    backend_settings = {**BACKEND_SETTINGS, "faults": {"poison_marker": MARKER}}
    start_fleet(context, size, backend_settings=backend_settings)


@when(parsers.parse("a caller sends the same poison request {count:d} times"))
def send_poison(context, count):
    context.mark_fault_change()
    hosts = context.fleet.hosts
    for number in range(count):
        host = hosts[number % len(hosts)]
        context.results.append(
            context.fleet.call(host, PATH, headers=context.auth_headers())
        )


@then(
    parsers.parse(
        "it was executed at most {limit:d} times and all nodes refuse it as poison"
    )
)
def refused_at_all_nodes(context, limit):
    for host in context.fleet.hosts:
        wait_for(
            lambda host=host: is_refused(context, host), REFUSAL_TIMEOUT_S, host.name
        )
    executions = [
        execution
        for execution in context.fleet.executions()
        if MARKER in execution["path"]
    ]
    assert 0 < len(executions) <= limit


def is_refused(context, host):
    response = context.fleet.call(host, PATH, headers=context.auth_headers())
    return response is not None and response.headers["Monsoon-Reason"] == "poison"
