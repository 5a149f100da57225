"""Graceful shutdown of nodes and backend servers under load."""

from contextlib import suppress
from time import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from monsoonmill.admin_client import AdminError
from monsoonmill.task import Task
from tests.integration.conftest import start_fleet
from tests.integration.release_notes import note_head, organisation_table
from tests.integration.test_configuration import patient_admin

pytestmark = pytest.mark.integration
scenarios("../features/graceful_shutdown.feature")

NO_NEW_WORK_S = 3.0
EXIT_S = 15.0


class HandIn(Task):
    """An operator who hands one note in and waits."""

    def __init__(self, admin, text):
        super().__init__("hand-in")
        self._admin = admin
        self._text = text

    def run(self):
        with suppress(AdminError):
            self._admin.accept_note(self._text)


@when("a node is told to end", target_fixture="leaving")
def drain_node(world):
    world.note_fault(world.fleet.hosts[1])
    world.victim.node.terminate()
    return world.victim.node, time()


@given(
    parsers.parse("a fleet of {size:d} hosts that have {limit:d} seconds for a stop")
)
def fleet_with_limit(world, size, limit):
    drain = {"settle_ms": 500, "limit_s": limit}
    start_fleet(world, size, node_tables={"drain": drain})


@when("the platform does not answer and an operator hands a note in")
def hand_in_waiting_note(world):
    world.fleet.set_platform("slow", delay_ms=60_000)
    text = f"{note_head('waits', 1)}\n{organisation_table('branch', 5000, 'changed')}"
    HandIn(patient_admin(world.fleet.hosts[1]), text).start()


@when("a backend server is told to end", target_fixture="leaving")
def drain_backend(world):
    world.note_fault(world.fleet.hosts[1])
    world.victim.backend.terminate()
    return world.victim.backend, time()


@then(parsers.parse("its process ends with status 0 within {limit:d} seconds"))
def ends(world, leaving, limit):
    process, _ = leaving
    assert process.popen.wait(limit) == 0


@then("its backend server got no new work later than 3 seconds after")
def no_new_work(world, leaving):
    _, told_at = leaving
    world.load.await_more(150)
    late = [
        one
        for one in world.fleet.executions()
        if one["host"] == world.victim.name
        and one["started_s"] > told_at + NO_NEW_WORK_S
    ]
    assert late == []


@then("nothing was cut off")
def nothing_cut_off(world):
    oracle = world.oracle()
    assert [one for one in oracle.executions if not one["finished"]] == []
    assert oracle.cut_off() == []
    assert oracle.unknown() == []


@when("each node is replaced in turn")
def replace_all(world):
    for host in world.fleet.hosts:
        host.is_down = True
        host.node.terminate()
        assert host.node.popen.wait(EXIT_S) == 0
        world.fleet.start_node(host)
        world.fleet.await_known()
        world.load.await_more(50)


@then("the revision in force is the same at all nodes")
def same_revision(world):
    world.fleet.await_revision(1, EXIT_S)


@then("every pledge was recorded")
def all_recorded(world):
    sent = world.load.stop()
    done = {one.id for one in sent if one.is_done}
    asked = {one.id for one in sent if one.kind == "pledges"}
    print(*(one for one in sent if one.id in asked - done), sep="\n")
    assert asked - done == set()
