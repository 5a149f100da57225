"""Killed and suspended processes under load."""

import pytest
from pytest_bdd import scenarios, then, when

from tests.process_fleet import wait_for

pytestmark = pytest.mark.integration
scenarios("../features/host_failures.feature")

REJOIN_TIMEOUT_S = 10.0


@when("a node is killed")
def kill_node(context):
    host = context.fleet.hosts[1]
    host.node.kill()
    host.is_down = True
    context.mark_fault_change(host)


@when("a backend server is killed")
def kill_backend(context):
    host = context.fleet.hosts[1]
    host.backend.kill()
    context.mark_fault_change(host)


@when("the backend server restarts")
def restart_backend(context):
    context.fleet.start_backend(context.faulty_host)
    context.faulty_host.backend.await_ready()
    context.fleet.await_membership()
    context.mark_fault_change()


@then("the backend server executes calls again")
def backend_executes_again(context):
    def new_executions():
        executions = context.fleet.executions()
        return [
            execution
            for execution in executions
            if execution["host"] == context.faulty_host.name
            and execution["number"] > 10
        ]

    wait_for(
        new_executions, REJOIN_TIMEOUT_S, "executions at the restarted backend server"
    )


@when("a node's process is suspended")
def suspend_node(context):
    host = context.fleet.hosts[1]
    host.node.suspend()
    host.is_down = True
    context.mark_fault_change(host)


@when("the node's process resumes")
def resume_node(context):
    context.faulty_host.node.resume()
    context.faulty_host.is_down = False
    context.mark_fault_change()


@then("all nodes have the full membership within 10 seconds")
def membership_complete(context):
    context.fleet.await_membership(REJOIN_TIMEOUT_S)
