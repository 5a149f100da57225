"""Release notes and key withdrawal, also while the platform fails."""

from functools import partial
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from monsoonmill.admin_client import AdminClient
from monsoonmill.errors import StaleNoteError
from monsoonmill.model import Address
from tests.integration.connections import PersistentConnection
from tests.integration.load import CLOCK
from tests.integration.operators import submit_conflicting_notes
from tests.integration.release_notes import note_header, organisation_table
from tests.process_fleet import HOST, wait_for

pytestmark = pytest.mark.integration
scenarios("../features/configuration.feature")

APPLY_TIMEOUT_S = 5.0
NOTE_TIMEOUT_S = 35.0


def long_timeout_admin(host):
    """Return an admin client whose timeout allows for a slow platform."""
    port = host.node_settings["node"]["admin_port"]
    return AdminClient.from_address(Address(HOST, port), NOTE_TIMEOUT_S)


@when(
    parsers.parse(
        "{count:d} operators submit conflicting release notes at once, seed {seed:d}"
    )
)
def submit_notes(context, count, seed):
    rng = Random(seed)
    admins = [long_timeout_admin(rng.choice(context.fleet.hosts)) for _ in range(count)]
    context.results = submit_conflicting_notes(admins, 1)


@then("exactly one release note was accepted and the other errors name the conflict")
def one_note_accepted(context):
    accepted = [
        submission for submission in context.results if submission.revision is not None
    ]
    assert [submission.revision for submission in accepted] == [2]
    for submission in context.results:
        if submission not in accepted:
            assert isinstance(submission.error, StaleNoteError)
            assert submission.error.conflicts == ("organisations/branch",)


@then("the accepted release note is in force at all nodes within 5 seconds")
def accepted_note_in_force(context):
    context.fleet.await_revision(2, APPLY_TIMEOUT_S)
    (submission,) = [
        submission for submission in context.results if submission.revision is not None
    ]
    rate = 1000.0 + int(submission.name.rpartition("-")[2])
    for host in context.fleet.running_hosts:
        assert host.admin.config().organisations["branch"].rate == rate


@when(
    parsers.parse(
        "the platform loses {share:d} of 100 responses to writes, seed {seed:d}"
    )
)
def lose_responses(context, share, seed):
    context.fleet.set_platform_mode("lost-answers", lost_percent=share, seed=seed)


@when(parsers.parse("the platform delays each call by {delay:d} ms"))
def delay_platform(context, delay):
    context.fleet.set_platform_mode("slow", delay_ms=delay)
    context.mark_fault_change()


@when("the platform goes down")
def stop_platform(context):
    context.fleet.set_platform_mode("down")
    context.mark_fault_change()


@when("the platform is available again")
def restore_platform(context):
    context.fleet.set_platform_mode("up")


@when("a node is killed")
def kill_node(context):
    host = context.fleet.hosts[2]
    host.node.kill()
    host.is_down = True
    context.mark_fault_change(host)


@when("the node restarts while the platform is down")
def restart_node(context):
    context.fleet.start_node(context.faulty_host)
    context.fleet.await_membership()


@then("all nodes have the same revision in force")
def revisions_equal(context):
    context.fleet.await_revision(1, APPLY_TIMEOUT_S)


@when("an operator submits a release note twice")
def submit_note_twice(context):
    host = context.fleet.hosts[0]
    base = host.admin.config().revision
    table = organisation_table("branch", 50_000 + base, "changed")
    text = f"{note_header('changed', base)}\n{table}"
    context.results = [long_timeout_admin(host).accept_note(text) for _ in range(2)]
    context.results.append(base + 1)


@then("it was accepted once and is in force at all nodes within 5 seconds")
def note_accepted_once(context):
    first, second, expected = context.results
    assert first == second == expected
    context.fleet.await_revision(expected, APPLY_TIMEOUT_S)
    assert context.fleet.hosts[-1].admin.config().revision == expected


@given("callers have open connections to all nodes", target_fixture="connections")
def open_connections(context):
    connections = [PersistentConnection(host) for host in context.fleet.hosts]
    assert {
        connection.lookup(context.auth_headers()).status for connection in connections
    } == {200}
    return connections


@when("an operator withdraws the callers' key")
def withdraw_key(context):
    text = note_header("withdraw", 1) + '\n[withdrawn]\nkeys = ["key-of-branch"]'
    assert context.fleet.hosts[0].admin.accept_note(text) == 2
    context.mark_fault_change()


@then("requests on each open connection are refused as key-withdrawn within 5 seconds")
def refused_at_all_nodes(context, connections):
    for connection in connections:
        remaining_s = context.fault_changed_at + APPLY_TIMEOUT_S - CLOCK.now()
        response = wait_for(
            partial(refused_lookup, context, connection),
            remaining_s,
            "the key is refused",
        )
        assert response.headers["Monsoon-Reason"] == "key-withdrawn"
        assert response.headers["Monsoon-Outcome"] == "not-run"


def refused_lookup(context, connection):
    """Return the response to a lookup if it was refused, else None."""
    response = connection.lookup(context.auth_headers())
    return response if response.status == 401 else None


@then("no request with the key is executed any more")
def no_further_executions(context, connections):
    before = len(context.fleet.executions())
    for connection in connections:
        assert {
            connection.lookup(context.auth_headers()).status for _ in range(10)
        } == {401}
        connection.close()
    assert len(context.fleet.executions()) == before
