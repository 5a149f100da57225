"""Release notes, keys and the platform's failures."""

from functools import partial
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from monsoonmill.admin_client import AdminClient
from monsoonmill.errors import StaleNoteError
from monsoonmill.model import Address
from tests.integration.connections import KeptConnection
from tests.integration.load import CLOCK
from tests.integration.operators import race
from tests.integration.release_notes import note_head, organisation_table
from tests.process_fleet import HOST, wait_for

pytestmark = pytest.mark.integration
scenarios("../features/configuration.feature")

FORCE_S = 5.0
NOTE_TIMEOUT_S = 35.0


def patient_admin(host):
    port = host.tables["node"]["admin_port"]
    return AdminClient.from_address(Address(HOST, port), NOTE_TIMEOUT_S)


@when(
    parsers.parse(
        "{count:d} operators send conflicting notes at the same time, seed {seed:d}"
    )
)
def conflicting_notes(world, count, seed):
    rng = Random(seed)
    admins = [patient_admin(rng.choice(world.fleet.hosts)) for _ in range(count)]
    world.answers = race(admins, 1)


@then("exactly one note was accepted and the others name the conflict")
def one_winner(world):
    winners = [one for one in world.answers if one.revision is not None]
    assert [one.revision for one in winners] == [2]
    for loser in world.answers:
        if loser not in winners:
            assert isinstance(loser.error, StaleNoteError)
            assert loser.error.conflicts == ("organisations/branch",)


@then("the accepted note is in force everywhere within 5 seconds")
def winner_in_force(world):
    world.fleet.await_revision(2, FORCE_S)
    (winner,) = [one for one in world.answers if one.revision is not None]
    rate = 1000.0 + int(winner.name.rpartition("-")[2])
    for host in world.fleet.up:
        assert host.admin.config().organisations["branch"].rate == rate


@when(
    parsers.parse(
        "the platform loses {share:d} of 100 answers to changes, seed {seed:d}"
    )
)
def lose_answers(world, share, seed):
    world.fleet.set_platform("lost-answers", lost_percent=share, seed=seed)


@when(parsers.parse("the platform takes {delay:d} ms for each call"))
def slow_platform(world, delay):
    world.fleet.set_platform("slow", delay_ms=delay)
    world.note_fault()


@when("the platform goes down")
def platform_down(world):
    world.fleet.set_platform("down")
    world.note_fault()


@when("the platform comes back")
def platform_up(world):
    world.fleet.set_platform("up")


@when("a node is killed")
def kill_node(world):
    host = world.fleet.hosts[2]
    host.node.kill()
    host.is_down = True
    world.note_fault(host)


@when("the node starts again without the platform")
def restart_node(world):
    world.fleet.start_node(world.victim)
    world.fleet.await_known()


@then("the revision in force is the same at all nodes")
def same_revision(world):
    world.fleet.await_revision(1, FORCE_S)


@when("an operator sends a note")
def send_note(world):
    host = world.fleet.hosts[0]
    base = host.admin.config().revision
    table = organisation_table("branch", 50_000 + base, "changed")
    text = f"{note_head('changed', base)}\n{table}"
    world.answers = [patient_admin(host).accept_note(text) for _ in range(2)]
    world.answers.append(base + 1)


@then("it is accepted once and in force everywhere within 5 seconds")
def accepted_once(world):
    first, again, expected = world.answers
    assert first == again == expected
    world.fleet.await_revision(expected, FORCE_S)
    assert world.fleet.hosts[-1].admin.config().revision == expected


@given("callers hold open connections to every node", target_fixture="conns")
def hold_connections(world):
    conns = [KeptConnection(host) for host in world.fleet.hosts]
    assert {conn.lookup(world.auth()).status for conn in conns} == {200}
    return conns


@when("an operator withdraws their key")
def withdraw_key(world):
    text = note_head("withdraw", 1) + '\n[withdrawn]\nkeys = ["key-of-branch"]'
    assert world.fleet.hosts[0].admin.accept_note(text) == 2
    world.note_fault()


@then("each open connection is refused with key-withdrawn within 5 seconds")
def refused_everywhere(world, conns):
    for conn in conns:
        left_s = world.fault_at + FORCE_S - CLOCK.now()
        response = wait_for(partial(refusal, world, conn), left_s, "refusal")
        assert response.headers["Monsoon-Reason"] == "key-withdrawn"
        assert response.headers["Monsoon-Outcome"] == "not-run"


def refusal(world, conn):
    response = conn.lookup(world.auth())
    return response if response.status == 401 else None


@then("nothing has run for the key since it was refused everywhere")
def nothing_more(world, conns):
    before = len(world.fleet.executions())
    for conn in conns:
        assert {conn.lookup(world.auth()).status for _ in range(10)} == {401}
        conn.close()
    assert len(world.fleet.executions()) == before
