"""Evacuation of data centres, by the orders that operators keep in the store."""

from random import Random
from urllib.parse import urlencode

import pytest
from attrs import evolve, field, frozen

from monsoonmill.decisions.configuration.configuration import WATCH, ConfigView
from monsoonmill.decisions.configuration.evacuation_register import EvacuationRegister
from monsoonmill.decisions.configuration.evacuations import (
    EVACUATION_PREFIX,
    Evacuations,
)
from monsoonmill.decisions.configuration.pending_note import CONFIG_KEY
from monsoonmill.decisions.signals import (
    PlatformDone,
    PlatformWatch,
    Received,
    StoredListing,
    StoredValue,
)
from monsoonmill.messages import EvacuationsReply, EvacuationsRequest, Forward
from monsoonmill.model import Address, HttpRequest
from monsoonmill.platform.store_client import KvClient
from monsoonmill.reasons import Outcome, Reason
from monsoonmill.settings import Settings
from monsoonmill.standin.kv_store import KvApp, KvStore, PendingWatch, StoreFaults
from tests.configs import PLATFORM_POLICY, SECRET, small_config
from tests.fleet import FakeFleet, answer_ok

BOUND_S = 5.0
"""Time after the order from which no request may reach a server there."""
SECTIONS = {
    "policy": PLATFORM_POLICY,
    "platform": {"evacuation_ms": 5000, "max_watchers_per_data_centre": 2},
    "members": {"gossip_ms": 700, "suspect_ms": 3000},
    "call": {"tries": 1, "placements": 3},
}


def start_fleet(run=None, data_centres=("z1", "z2"), per_centre=3, **sections):
    fleet = FakeFleet(run, **{**SECTIONS, **sections})
    fleet.install(small_config())
    for index in range(per_centre * len(data_centres)):
        name = data_centres[index % len(data_centres)]
        fleet.add(f"r-{name[0]}", name, "donkeys")
    fleet.advance(8.0)
    return fleet


def order(fleet, data_centre, value=b"{}"):
    fleet.platform.order(EVACUATION_PREFIX + data_centre, value, fleet.now)


def nodes_in(fleet, data_centre):
    return [
        node
        for node in fleet.nodes.values()
        if node.core.members.own.data_centre == data_centre
    ]


def evacuated(node):
    return node.core.view.evacuated


def call(fleet, node, path="/lookup", **fields):
    fields.setdefault("bearer", SECRET)
    return fleet.call(node, "donkeys", path, **fields)


def runs_in(fleet, data_centre, since=0):
    names = {node.name for node in nodes_in(fleet, data_centre)}
    return [name for name, _ in fleet.executed[since:] if name in names]


def run_calls(fleet, count=24, critical=True):
    nodes = list(fleet.nodes.values())
    names = []
    for index in range(count):
        node = nodes[index % len(nodes)]
        names.append((node, call(fleet, node)))
        if critical:
            names.append((node, call(fleet, node, "/pledges", method="POST")))
    fleet.advance(2.0)
    return [node.answers.get(name) for node, name in names]


def test_no_request_reaches_an_evacuated_data_centre_until_the_order_is_withdrawn():
    # Critical calls too: no class may use the servers there as a last resort.
    fleet = start_fleet()
    order(fleet, "z1")
    fleet.advance(BOUND_S)
    before = len(fleet.executed)
    answers = run_calls(fleet)
    assert {answer.outcome for answer in answers} == {Outcome.DONE}
    assert runs_in(fleet, "z1", before) == []
    order(fleet, "z1", None)
    fleet.advance(BOUND_S)
    assert not any(evacuated(node) for node in fleet.nodes.values())
    run_calls(fleet)
    assert runs_in(fleet, "z1", before)


def test_evacuation_of_all_data_centres_refuses_calls_as_not_run():
    fleet = start_fleet()
    order(fleet, "z1")
    order(fleet, "z2")
    fleet.advance(BOUND_S)
    before = len(fleet.executed)
    answers = run_calls(fleet)
    assert {answer.outcome for answer in answers} == {Outcome.NOT_RUN}
    assert {answer.reason for answer in answers} == {Reason.NO_BACKEND_SERVER}
    assert len(fleet.executed) == before


@pytest.mark.parametrize("lost_ratio", [0.0, 0.4])
def test_order_reaches_a_large_fleet_that_the_store_mostly_turns_away(lost_ratio):
    # All of the evacuated data centre and most of the others learn it by gossip, also
    # if many messages are lost.
    fleet = FakeFleet(None, **SECTIONS)
    fleet.install(small_config())
    for index in range(88):
        centre = index % 4
        fleet.add(f"r{centre // 2}", f"z{centre}", "donkeys")
    fleet.advance(12.0)
    allowed = {node.name for node in nodes_in(fleet, "z3")}
    fleet.platform_unreachable_from = set(fleet.nodes) - allowed
    fleet.latency_s = 0.03
    fleet.advance(6.0)
    rng, deliver = Random(1), fleet._deliver

    def lose_some(*args):
        if rng.random() >= lost_ratio:
            deliver(*args)

    fleet._deliver = lose_some
    order(fleet, "z0")
    assert fleet.advance_until(
        lambda: all(evacuated(node) == {"z0"} for node in fleet.nodes.values()),
        BOUND_S,
    )


def test_waiting_calls_are_refused_at_once_and_placed_elsewhere_for_free():
    # The senders there are cut off, so that only the nodes beside the servers know.
    def run(node, call):
        in_z1 = node.core.members.own.data_centre == "z1"
        return answer_ok(node, call, 3.0 if in_z1 else 0.01)

    fleet = start_fleet(run, per_centre=1)
    (near,), (far,) = nodes_in(fleet, "z1"), nodes_in(fleet, "z2")
    near.core.router.choose = lambda *args: (
        near.name if near.name not in args[2] else far.name
    )
    names = [call(fleet, near, timeout_ms=8000) for _ in range(12)]
    fleet.advance(0.05)
    load = near.core.admission.load()
    assert (load.running, load.waiting) == (8, 4)
    order(fleet, "z1")
    fleet.advance(0.5)
    assert near.core.admission.load().waiting == 0
    done = [near.answers[name] for name in names if name in near.answers]
    assert [answer.outcome for answer in done] == [Outcome.DONE] * 4
    counters = near.core.counters.snapshot()
    assert (counters["evacuated"], counters["retry-evacuated"]) == (4, 4)
    fleet.advance(4.0)
    # What ran already ends as usual.
    outcomes = {near.answers[name].outcome for name in names}
    assert outcomes == {Outcome.DONE}


def test_one_refusal_excludes_the_data_centre_and_costs_no_retry():
    # Other refusals by nodes would use up placements and retries, of which it has none.
    fleet = start_fleet(per_centre=6, call={"tries": 0, "placements": 0})
    sender = nodes_in(fleet, "z2")[0]
    for node in nodes_in(fleet, "z1"):
        state = Evacuations(99, frozenset({"z1"}))
        node.core.view.evacuations = state
    chosen, tried = sender.core.router.choose, []

    def choose_evacuated_first(*args):
        near = [n.name for n in nodes_in(fleet, "z1") if n.name not in args[2]]
        tried.append(near[0] if near else chosen(*args))
        return tried[-1]

    sender.core.router.choose = choose_evacuated_first
    name = call(fleet, sender)
    fleet.advance(0.3)
    assert sender.answers[name].outcome is Outcome.DONE
    assert len(tried) == 2


def test_old_orders_do_not_come_back():
    # Guards against a late reply that restores an order that was withdrawn.
    fleet = start_fleet(per_centre=1)
    node = nodes_in(fleet, "z1")[0]
    order(fleet, "z2")
    fleet.advance(BOUND_S)
    version = node.core.view.evacuations.version
    order(fleet, "z2", None)
    fleet.advance(BOUND_S)
    assert node.core.view.evacuations.version > version
    for old in (version, 1):
        late = Received("other", EvacuationsReply(old, ("z2",)))
        fleet.inject(node, late)
    assert evacuated(node) == frozenset()


def test_restarted_node_runs_nothing_before_it_knows_the_orders():
    # The store turns the new process away, so that only gossip can tell it.
    fleet = start_fleet()
    order(fleet, "z1")
    fleet.advance(BOUND_S)
    node = nodes_in(fleet, "z1")[0]
    fleet.platform_unreachable_from.add(node.name)
    before = len(fleet.executed)
    started = fleet.restart(node, service="donkeys")
    sender = nodes_in(fleet, "z2")[0]
    req = HttpRequest("GET", "/lookup")
    forward = Forward(
        "a/1/1", "donkeys", "lookup", req, "branch", 1, False, 1000, 0, 0, 1
    )
    fleet.inject(started, Received(sender.name, forward))
    assert fleet.advance_until(lambda: evacuated(started) == {"z1"}, BOUND_S)
    fleet.inject(started, Received(sender.name, evolve(forward, attempt="a/1/2")))
    fleet.advance(1.0)
    assert len(fleet.executed) == before
    counters = started.core.counters.snapshot()
    assert (counters["no-backend-server"], counters["evacuated"]) == (1, 1)


def test_without_the_setting_nothing_is_read_or_sent():
    sections = {**SECTIONS, "platform": {}}
    fleet = FakeFleet(None, **sections)
    fleet.install(small_config())
    nodes = [fleet.add("r", f"z{index}", "donkeys") for index in range(2)]
    order(fleet, "z0")
    fleet.advance(8.0)
    assert {node.core.view.evacuations.version for node in nodes} == {0}
    run_calls(fleet, critical=False)
    assert runs_in(fleet, "z0")


def test_watch_goes_on_at_once_after_an_order():
    # Guards against the delay that follows the removal of the configuration.
    fleet = start_fleet(per_centre=1)
    node = nodes_in(fleet, "z1")[0]
    changed = StoredValue(f"{EVACUATION_PREFIX}z2", 99, b"")
    signals = node.core.handle(PlatformDone(WATCH, (changed,), fleet.now), fleet.now)
    assert any(isinstance(signal, PlatformWatch) for signal in signals)
    assert evacuated(node) == {"z2"}


def test_changes_of_one_transaction_all_count_and_older_ones_do_not():
    state = Evacuations(5, frozenset({"z1"}))
    key = EVACUATION_PREFIX
    changes = (
        StoredValue(f"{key}z1", 7, None),
        StoredValue(f"{key}z2", 7, b""),
        StoredValue(f"{key}z3", 7, b""),
        StoredValue(f"{key}z4", 5, b""),
    )
    expected = Evacuations(7, frozenset({"z2", "z3"}))
    assert state.with_changes(changes) == expected
    assert expected.with_changes(changes) == expected


class FakeClock:
    """A clock that a test advances."""

    time = 100.0

    def now(self):
        return self.time


@frozen
class StoreResponse:
    status: int
    data: bytes
    headers: dict = field(factory=dict)


class DirectClient(KvClient):
    """A client that calls the stand-in of the platform's store without sockets."""

    def __init__(self):
        super().__init__(Address("127.0.0.1", 1), 1.0, "monsoonmill/")
        self.store = KvStore()
        self.clock = FakeClock()
        self.app = KvApp(self.store, StoreFaults(), self.clock)

    def _request(self, call):
        path = f"/monsoonmill/{call.path}?{urlencode(call.fields)}"
        resp = self.app.handle("watch", HttpRequest(call.method, path))
        if isinstance(resp, PendingWatch):
            self.clock.time += 10.0
            (answer,) = self.app.due_answers()
            resp = answer.response
        return StoreResponse(resp.status, resp.body, dict(resp.headers))

    def watch_orders(self):
        return self.watch_with(CONFIG_KEY, EVACUATION_PREFIX, 0)


def test_watch_reports_orders_with_no_more_store_calls():
    client = DirectClient()
    config = client.store.put("op/config", b"c")
    client.store.put("op/evacuate/z1", b"{}")
    stored = StoredValue(CONFIG_KEY, config, b"c")
    listing = StoredListing(EVACUATION_PREFIX, 3, (f"{EVACUATION_PREFIX}z1",))
    assert client.read_with(CONFIG_KEY, EVACUATION_PREFIX) == (stored, listing)
    assert client.watch_orders() == (stored, listing)
    assert client.watch_orders() == ()
    client.store.revision += 1
    client.store.write("op/evacuate/z1", None)
    client.store.put("op/evacuate/z2", b"\xff odd")
    client.store.put("op/other", b"")
    gone = StoredValue(f"{EVACUATION_PREFIX}z1", 4, None)
    assert client.watch_orders() == (
        gone,
        StoredValue(f"{EVACUATION_PREFIX}z2", 5, b""),
    )
    newer = client.store.put("op/config", b"d")
    assert client.watch_orders() == (StoredValue(CONFIG_KEY, newer, b"d"),)
    assert client.app.calls == ["range", "range", "watch", "watch", "watch"]


def test_watch_lists_the_orders_again_when_the_store_has_dropped_its_history():
    # Guards against an order that was withdrawn in the part that was dropped.
    client = DirectClient()
    client.store.put("op/evacuate/z1", b"{}")
    (listing,) = client.watch_orders()
    before = Evacuations.from_listing(listing)
    assert before.data_centres == {"z1"}
    client.store.revision += 1
    client.store.write("op/evacuate/z1", None)
    client.store.put("op/evacuate/z2", b"{}")
    client.store.compact()
    (listing,) = client.watch_orders()
    after = Evacuations.from_listing(listing)
    assert after.data_centres == {"z2"}
    assert after.version > before.version
    assert client.app.calls == ["range", "watch", "range"]


def test_orders_on_many_pages_are_all_listed():
    client = DirectClient()
    for number in range(1100):
        client.store.put(f"op/evacuate/z{number}", b"{}")
    _, listing = client.read_with(CONFIG_KEY, EVACUATION_PREFIX)
    assert len(listing.names) == 1100


# Calls went to a data centre again whose order the store had lost with its return.
@pytest.mark.parametrize("is_told", [False, True])
def test_orders_that_a_returned_store_has_lost_hold_for_a_time(is_told):
    client, view = DirectClient(), ConfigView()
    cfg = Settings.from_dict({"platform": {"evacuation_ms": 5000}})
    register = EvacuationRegister(cfg, view)

    def learn(now):
        """Take what a watch reports, or what another node tells after it."""
        values = client.watch_orders()
        if not is_told:
            list(register.on_platform_done(PlatformDone(WATCH, values, now), now))
            return
        other = EvacuationRegister(cfg, ConfigView())
        list(other.on_platform_done(PlatformDone(WATCH, values, now), now))
        (reply,) = other.on_request(Received("n", EvacuationsRequest(0)), now)
        list(register.on_reply(Received("n", reply.message), now))

    copy = client.store.copy()
    client.store.put("op/evacuate/z1", b"{}")
    learn(0.0)
    client.store.return_from(copy)
    client.store.put("op/evacuate/z2", b"{}")
    learn(1.0)
    assert view.evacuated == {"z1", "z2"}
    list(register.tick(register.next_due() - 0.1))
    assert view.evacuated == {"z1", "z2"}
    list(register.tick(register.next_due()))
    assert view.evacuated == {"z2"}
    assert register.next_due() is None


def test_withdrawal_ends_an_order_that_a_returned_store_has_lost():
    client, view = DirectClient(), ConfigView()
    cfg = Settings.from_dict({"platform": {"evacuation_ms": 5000}})
    register = EvacuationRegister(cfg, view)

    def learn(now):
        done = PlatformDone(WATCH, client.watch_orders(), now)
        list(register.on_platform_done(done, now))

    copy = client.store.copy()
    client.store.put("op/evacuate/z1", b"{}")
    learn(0.0)
    client.store.return_from(copy)
    client.store.put("op/evacuate/z2", b"{}")
    learn(1.0)
    client.store.put("op/evacuate/z1", b"{}")
    client.store.put("op/evacuate/z1", None)
    learn(2.0)
    assert view.evacuated == {"z2"}
