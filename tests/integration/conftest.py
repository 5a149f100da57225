"""Steps that the scenarios share."""

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, then, when

from tests.integration.load import CLOCK, Load, Oracle, Plan
from tests.integration.release_notes import SECRETS, first_note
from tests.process_fleet import Fleet, NodeHost

SETTLE_CALLS = 150
"""Calls that show that traffic flows."""
CALL_LIMIT_S = 9.0
"""Time limit of a call, and a second for its answer to travel."""
ANSWER_S = 1.0
GO_ON_S = 5.0
"""Traffic goes on within this time of a fault."""
NODE_TABLES = {"drain": {"settle_ms": 1500, "limit_s": 20}}
BACKEND_TABLES = {
    "work": {
        "slots": 16,
        "routes": [
            {"path": "/", "mean_ms": 20, "jitter_ms": 10, "answer_bytes": 2000},
            {"path": "/browse", "mean_ms": 50, "answer_bytes": 60_000},
        ],
    },
}


@define
class World:
    """What the steps of one scenario share."""

    directory: object
    fleet: Fleet | None = None
    load: Load | None = None
    seed: int = 1
    victim: NodeHost | None = None
    fault_at: float = 0.0
    answers: list = field(factory=list)

    def auth(self, organisation="branch"):
        return {"Authorization": f"Bearer {SECRETS[organisation]}"}

    def troubles(self):
        """Return, by host, what its node has counted besides served calls."""
        plain = ("calls", "answered")
        return {
            host.name: {
                name: count
                for name, count in (host.ask("counters") or {}).items()
                if name not in plain
            }
            for host in self.fleet.hosts
        }

    def note_fault(self, host=None):
        """Remember when and where a fault began."""
        self.fault_at = CLOCK.now()
        if host is not None:
            self.victim = host

    def end(self):
        """End the callers and the fleet, also those of a scenario that failed."""
        if self.load is not None:
            self.load.ask_to_stop()
        if self.fleet is not None:
            self.fleet.__exit__()
        if self.load is not None:
            self.load.stop()

    def oracle(self):
        """Stop the load and return what became of it."""
        return Oracle(self.load.stop(), self.fleet.executions())


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.end()


def start_fleet(world, size, proxied=False, **options):
    options = {
        "node_tables": NODE_TABLES,
        "backend_tables": BACKEND_TABLES,
        **options,
    }
    services = options.pop("services", ("donkeys",))
    world.fleet = Fleet(world.directory, **options)
    world.fleet.start(size, proxied=proxied, services=services)
    assert world.fleet.hosts[0].admin.accept_note(first_note()) == 1
    world.fleet.await_revision(1)


@given(parsers.parse("a fleet of {size:d} hosts under the first release note"))
def fleet_in_force(world, size):
    start_fleet(world, size)


@given(parsers.parse("a fleet of {size:d} hosts whose links can be cut"))
def proxied_fleet(world, size):
    start_fleet(world, size, proxied=True)


@given(parsers.parse("branches send lookups and pledges, seed {seed:d}"))
def mixed_load(world, seed):
    start_load(world, Plan(), seed)


@given(parsers.parse("branches send pledges again until they are sure, seed {seed:d}"))
def resending_load(world, seed):
    start_load(world, Plan(resends=4, again_share=0.3), seed)


def start_load(world, plan, seed):
    world.seed = seed
    world.load = Load(world.fleet, plan, seed)
    world.load.await_more(SETTLE_CALLS)


@when(parsers.parse("{calls:d} more calls have ended"))
def more_calls(world, calls):
    world.load.await_more(calls)


@then("from 5 seconds after the fault lookups at other nodes are answered in a second")
def lookups_go_on(world):
    since = world.fault_at + GO_ON_S
    world.load.go_on(max(since - CLOCK.now(), 0.0))

    def counts(sent):
        is_elsewhere = world.victim is None or sent.host != world.victim.name
        return is_elsewhere and sent.kind == "lookup" and sent.sent_at >= since

    world.load.await_more(SETTLE_CALLS, where=counts)
    wrong = [
        one
        for one in filter(counts, world.load.sent)
        if not one.is_done or one.ended_at - one.sent_at > ANSWER_S
    ]
    assert wrong == []


@then("every call has an end within its time")
@then("every call to another node has an end within its time")
def all_calls_resolve(world):
    unheard = world.victim.name if world.victim and world.victim.is_down else ""
    late = [
        one
        for one in world.load.stop()
        if one.ended_at - one.sent_at > CALL_LIMIT_S and one.host != unheard
    ]
    assert late == []


@then("no pledge ran twice and no refusal was wrong")
def oracle_agrees(world):
    oracle = world.oracle()
    print(sorted(oracle.ends(world.fault_at).items()))
    oracle.check()


@then("every answer is whole and no backend server saw a key")
def whole_and_keyless(world):
    oracle = world.oracle()
    assert oracle.broken_answers() == []
    assert oracle.key_leaks() == []
    assert any(one.is_done for one in oracle.sent)
