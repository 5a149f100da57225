"""The way of calls through real processes."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, is_intact
from tests.integration.conftest import BACKEND_TABLES, start_fleet
from tests.integration.load import Oracle

pytestmark = pytest.mark.integration
scenarios("../features/call_path.feature")

NESTED = [
    {"path": "/lookup", "service": "care", "target": "/record/1", "count": 2},
    {"path": "/pledges", "service": "care", "target": "/record/2", "parallel": True},
]


@given("a fleet whose donkeys service calls the care service")
def nested_fleet(world):
    tables = {**BACKEND_TABLES, "nested": {"calls": NESTED}}
    start_fleet(world, 4, services=("donkeys", "care"), backend_tables=tables)


@when(parsers.parse("callers of each sort send {calls:d} calls, seed {seed:d}"))
def send_calls(world, calls, seed):
    rng = Random(seed)
    for number in range(calls):
        path, method, headers = rng.choice(
            (
                ("/donkeys/lookup/1?x=1", "GET", world.auth()),
                ("/donkeys/public/1", "GET", {}),
                ("/donkeys/public/2", "GET", world.auth("clinic")),
                ("/donkeys/pledges/1", "POST", world.auth("clinic")),
                ("/donkeys/clinic/1", "GET", world.auth("clinic")),
            )
        )
        name = f"whole-{number}"
        headers = {**headers, ID_HEADER: name, "X-Api-Extra": "kept"}
        response = world.fleet.call(
            rng.choice(world.fleet.hosts), path, method, headers, b"body"
        )
        world.answers.append((name, path, response))


@then("every caller got the whole answer to its own request")
def answers_whole(world):
    for name, _, response in world.answers:
        assert response.status == 200, response.data
        assert response.headers["Monsoon-Outcome"] == "done"
        assert is_intact(response.data, response.headers[CRC_HEADER], name)


@then("each call made its nested calls once")
def nested_once(world):
    oracle = Oracle([], world.fleet.executions())
    for name, path, _ in world.answers:
        nested = {"/donkeys/lookup": 2, "/donkeys/pledges": 1}
        expected = nested.get(path[: path.index("/", 9)], 0)
        assert oracle.runs[name] == 1, world.troubles()
        assert oracle.runs[f"{name}/care.0"] == (expected > 0), world.troubles()
        assert oracle.runs[f"{name}/care.1"] == (expected > 1), world.troubles()


@then("no backend server has seen a key")
def keyless(world):
    executions = world.fleet.executions()
    assert Oracle([], executions).key_leaks() == []
    for one in executions:
        assert "monsoon-context" in one["headers"]
