"""Links between nodes that go silent or are cut."""

import pytest
from pytest_bdd import scenarios, then, when

from tests.process_fleet import wait_for

pytestmark = pytest.mark.integration
scenarios("../features/link_faults.feature")

KNOWN_S = 10.0


@when("all open connections between nodes go silent")
def silence(world):
    world.fleet.set_link("freeze", scope="existing")
    world.note_fault()


@when("all connections to a node are cut")
def cut(world):
    world.fleet.set_link("cut", pair=world.fleet.hosts[1].name)
    world.note_fault(world.fleet.hosts[1])


@when("the connections work again")
def restore(world):
    world.fleet.set_link("pass")
    world.note_fault()


@then("calls reach the other nodes over new connections")
def in_use_again(world):
    before = [runs_at(world, host) for host in world.fleet.hosts]

    def has_grown():
        now = [runs_at(world, host) for host in world.fleet.hosts]
        return all(late > early + 10 for early, late in zip(before, now, strict=True))

    wait_for(has_grown, KNOWN_S, "new executions at all hosts")


def runs_at(world, host):
    return sum(one["host"] == host.name for one in world.fleet.executions())


@then("all nodes know one another within 10 seconds")
def known_again(world):
    world.fleet.await_known(KNOWN_S)
