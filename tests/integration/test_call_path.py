"""Calls and nested calls through running nodes and backend servers."""

from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, is_intact
from tests.integration.conftest import BACKEND_SETTINGS, start_fleet
from tests.integration.load import Oracle

pytestmark = pytest.mark.integration
scenarios("../features/call_path.feature")

NESTED_CALLS = [
    {"path": "/lookup", "service": "care", "target": "/record/1", "count": 2},
    {"path": "/pledges", "service": "care", "target": "/record/2", "parallel": True},
]


@given("a fleet whose donkeys service calls the care service")
def nested_fleet(context):
    backend_settings = {**BACKEND_SETTINGS, "nested": {"calls": NESTED_CALLS}}
    start_fleet(
        context, 4, services=("donkeys", "care"), backend_settings=backend_settings
    )


@when(parsers.parse("callers with different keys send {calls:d} calls, seed {seed:d}"))
def send_calls(context, calls, seed):
    rng = Random(seed)
    for number in range(calls):
        path, method, headers = rng.choice(
            (
                ("/donkeys/lookup/1?x=1", "GET", context.auth_headers()),
                ("/donkeys/public/1", "GET", {}),
                ("/donkeys/public/2", "GET", context.auth_headers("clinic")),
                ("/donkeys/pledges/1", "POST", context.auth_headers("clinic")),
                ("/donkeys/clinic/1", "GET", context.auth_headers("clinic")),
            )
        )
        call_id = f"call-{number}"
        headers = {**headers, ID_HEADER: call_id, "X-Api-Extra": "kept"}
        response = context.fleet.call(
            rng.choice(context.fleet.hosts), path, method, headers, b"body"
        )
        context.results.append((call_id, path, response))


@then("every caller received the complete response to its own request")
def responses_intact(context):
    for call_id, _, response in context.results:
        assert response.status == 200, response.data
        assert response.headers["Monsoon-Outcome"] == "done"
        assert is_intact(response.data, response.headers[CRC_HEADER], call_id)


@then("each call made its nested calls exactly once")
def nested_calls_executed_once(context):
    oracle = Oracle([], context.fleet.executions())
    for call_id, path, _ in context.results:
        nested_counts = {"/donkeys/lookup": 2, "/donkeys/pledges": 1}
        expected = nested_counts.get(path[: path.index("/", 9)], 0)
        assert oracle.execution_counts[call_id] == 1, context.diagnostic_counters()
        assert oracle.execution_counts[f"{call_id}/care.0"] == (expected > 0), (
            context.diagnostic_counters()
        )
        assert oracle.execution_counts[f"{call_id}/care.1"] == (expected > 1), (
            context.diagnostic_counters()
        )


@then("no backend server received a key")
def no_key_received(context):
    executions = context.fleet.executions()
    assert Oracle([], executions).key_leaks() == []
    for execution in executions:
        assert "monsoon-context" in execution["headers"]
