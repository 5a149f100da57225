"""Stalled and reset connections between nodes."""

import pytest
from pytest_bdd import scenarios, then, when

from tests.process_fleet import wait_for

pytestmark = pytest.mark.integration
scenarios("../features/link_faults.feature")

REJOIN_TIMEOUT_S = 10.0


@when("all open connections between nodes stall")
def stall_connections(context):
    context.fleet.set_link_fault("freeze", scope="existing")
    context.mark_fault_change()


@when("all connections to a node are reset and refused")
def reset_connections(context):
    context.fleet.set_link_fault("cut", pair=context.fleet.hosts[1].name)
    context.mark_fault_change(context.fleet.hosts[1])


@when("the connections work again")
def restore_connections(context):
    context.fleet.set_link_fault("pass")
    context.mark_fault_change()


@then("calls reach all backend servers over new connections")
def all_backends_execute(context):
    before = [count_executions(context, host) for host in context.fleet.hosts]

    def all_have_increased():
        now = [count_executions(context, host) for host in context.fleet.hosts]
        return all(new > old + 10 for old, new in zip(before, now, strict=True))

    wait_for(all_have_increased, REJOIN_TIMEOUT_S, "new executions at all hosts")


def count_executions(context, host):
    return sum(
        execution["host"] == host.name for execution in context.fleet.executions()
    )


@then("all nodes have the full membership within 10 seconds")
def membership_complete(context):
    context.fleet.await_membership(REJOIN_TIMEOUT_S)
