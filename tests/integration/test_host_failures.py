"""Hosts that die or pause under load."""

import pytest
from pytest_bdd import scenarios, then, when

from tests.process_fleet import wait_for

pytestmark = pytest.mark.integration
scenarios("../features/host_failures.feature")

IN_USE_S = 10.0


@when("a node is killed")
def kill_node(world):
    host = world.fleet.hosts[1]
    host.node.kill()
    host.is_down = True
    world.note_fault(host)


@when("a backend server is killed")
def kill_backend(world):
    host = world.fleet.hosts[1]
    host.backend.kill()
    world.note_fault(host)


@when("the backend server starts again")
def restart_backend(world):
    world.fleet.start_backend(world.victim)
    world.victim.backend.await_ready()
    world.fleet.await_known()
    world.note_fault()


@then("the backend server runs calls again")
def backend_runs_again(world):
    def ran():
        records = world.fleet.executions()
        return [
            one
            for one in records
            if one["host"] == world.victim.name and one["number"] > 10
        ]

    wait_for(ran, IN_USE_S, "executions at the new backend server")


@when("a node is frozen")
def freeze_node(world):
    host = world.fleet.hosts[1]
    host.node.suspend()
    host.is_down = True
    world.note_fault(host)


@when("the node thaws")
def thaw_node(world):
    world.victim.node.resume()
    world.victim.is_down = False
    world.note_fault()


@then("the node is in use again within 10 seconds")
def node_in_use(world):
    world.fleet.await_known(IN_USE_S)
