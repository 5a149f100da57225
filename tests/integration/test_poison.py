"""A request that crashes each backend server that runs it."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.integration.conftest import BACKEND_TABLES, start_fleet
from tests.process_fleet import wait_for

pytestmark = pytest.mark.integration
scenarios("../features/poison.feature")

MARKER = "poison-marker"
PATH = f"/donkeys/lookup/{MARKER}"
REFUSED_S = 5.0


@given(
    parsers.parse("a fleet of {size:d} hosts whose backend servers crash on a marker")
)
def marked_fleet(world, size):
    tables = {**BACKEND_TABLES, "faults": {"poison_marker": MARKER}}
    start_fleet(world, size, backend_tables=tables)


@when(parsers.parse("a caller sends the same poison request {times:d} times"))
def send_poison(world, times):
    world.note_fault()
    hosts = world.fleet.hosts
    for number in range(times):
        host = hosts[number % len(hosts)]
        world.answers.append(world.fleet.call(host, PATH, headers=world.auth()))


@then(
    parsers.parse(
        "it ran at most {limit:d} times and is refused as poison at every node"
    )
)
def refused(world, limit):
    for host in world.fleet.hosts:
        wait_for(lambda host=host: is_refused(world, host), REFUSED_S, host.name)
    ran = [one for one in world.fleet.executions() if MARKER in one["path"]]
    assert 0 < len(ran) <= limit


def is_refused(world, host):
    response = world.fleet.call(host, PATH, headers=world.auth())
    return response is not None and response.headers["Monsoon-Reason"] == "poison"
