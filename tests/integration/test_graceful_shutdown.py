"""Graceful shutdown of nodes and backend servers under load."""

from contextlib import suppress
from time import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from monsoonmill.admin_client import AdminError
from monsoonmill.task import Task
from tests.integration.conftest import start_fleet
from tests.integration.release_notes import note_header, organisation_table
from tests.integration.test_configuration import long_timeout_admin

pytestmark = pytest.mark.integration
scenarios("../features/graceful_shutdown.feature")

MAX_START_DELAY_S = 3.0
EXIT_TIMEOUT_S = 15.0


class SubmissionTask(Task):
    """Submits one release note and ignores the result."""

    def __init__(self, admin, text):
        super().__init__("submission")
        self._admin = admin
        self._text = text

    def run(self):
        with suppress(AdminError):
            self._admin.accept_note(self._text)


@when("a node is asked to shut down", target_fixture="stopped_process")
def drain_node(context):
    context.mark_fault_change(context.fleet.hosts[1])
    context.faulty_host.node.terminate()
    return context.faulty_host.node, time()


@given(
    parsers.parse("a fleet of {size:d} hosts with a drain limit of {limit:d} seconds")
)
def fleet_with_drain_limit(context, size, limit):
    drain = {"settle_ms": 500, "limit_s": limit}
    start_fleet(context, size, node_settings={"drain": drain})


@when("an operator submits a release note while the platform does not respond")
def submit_note_that_waits(context):
    context.fleet.set_platform_mode("slow", delay_ms=60_000)
    text = f"{note_header('waits', 1)}\n{organisation_table('branch', 5000, 'changed')}"
    SubmissionTask(long_timeout_admin(context.fleet.hosts[1]), text).start()


@when("a backend server is asked to shut down", target_fixture="stopped_process")
def drain_backend(context):
    context.mark_fault_change(context.fleet.hosts[1])
    context.faulty_host.backend.terminate()
    return context.faulty_host.backend, time()


@then(parsers.parse("its process exits with status 0 within {limit:d} seconds"))
def process_exits(context, stopped_process, limit):
    process, _ = stopped_process
    assert process.popen.wait(limit) == 0


@then("its backend server started no request later than 3 seconds after the signal")
def no_late_start(context, stopped_process):
    _, signalled_at = stopped_process
    context.load.await_results(150)
    late = [
        execution
        for execution in context.fleet.executions()
        if execution["host"] == context.faulty_host.name
        and execution["started_s"] > signalled_at + MAX_START_DELAY_S
    ]
    assert late == []


@then("no request was interrupted")
def no_request_interrupted(context):
    # A backend server records an end after it has answered, so that the record of the
    # last calls may follow their answers.
    context.load.stop()
    context.fleet.await_ended_executions()
    oracle = context.oracle()
    assert [
        execution for execution in oracle.executions if not execution["finished"]
    ] == []
    assert oracle.cut_off_requests() == []
    assert oracle.unknown_outcomes() == []


@when("each node is restarted in turn")
def restart_all_nodes(context):
    for host in context.fleet.hosts:
        host.is_down = True
        host.node.terminate()
        assert host.node.popen.wait(EXIT_TIMEOUT_S) == 0
        context.fleet.start_node(host)
        context.fleet.await_membership()
        context.load.await_results(50)


@then("all nodes have the same revision in force")
def revisions_equal(context):
    context.fleet.await_revision(1, EXIT_TIMEOUT_S)


@then("every pledge was executed")
def all_pledges_executed(context):
    requests = context.load.stop()
    done = {request.id for request in requests if request.is_done}
    pledges = {request.id for request in requests if request.kind == "pledges"}
    print(*(request for request in requests if request.id in pledges - done), sep="\n")
    assert pledges - done == set()
