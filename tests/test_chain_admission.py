"""Under overload, whole chains are kept by their standing, and no caller is starved.

The load is that of a service that is called directly and by chains of four and eight
lookups, at 1.6 times its capacity.
"""

from functools import cache
from random import Random

import pytest
from attrs import evolve

from monsoonmill.decisions.admission.chain_admission import (
    FLOOR_RANK,
    MAX_RETURNING,
    RANKS,
    TOP_RANK,
    ReturningCallers,
    RouteThresholds,
    ThresholdController,
)
from monsoonmill.decisions.admission.fair_queue import FairQueue, QueuedCall
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.decisions.admission.signals import AdmitCall
from monsoonmill.decisions.admission.slots_limit import SlotsLimit
from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.model import Config
from monsoonmill.platform.callers import CallerApp
from monsoonmill.reasons import Importance, Outcome, Reason
from monsoonmill.settings import Settings
from tests.chain_load import ORGANISATIONS, SLOTS, ChainLoad, Kind, make_config

BACKGROUND, NORMAL = Importance.BACKGROUND, Importance.NORMAL
OVERLOAD = 1.6
CHAINS_FIRST = (
    Kind("direct", BACKGROUND, 300, 1200, 0.4),
    Kind("report", BACKGROUND, 1200, 2400, 0.3, lookups=4),
    Kind("order", Importance.CRITICAL, 1500, 2400, 0.3, lookups=8, groups=2),
)
DIRECT_FIRST = (
    Kind("direct", Importance.CRITICAL, 300, 1200, 0.4),
    Kind("report", BACKGROUND, 1200, 2400, 0.3, lookups=4),
    Kind("order", NORMAL, 1500, 2400, 0.3, lookups=8, groups=2),
)
MOSTLY_CRITICAL = tuple(
    evolve(kind, load=load)
    for kind, load in zip(DIRECT_FIRST, (1.1, 0.2, 0.2), strict=True)
)


def run_overload(kinds=CHAINS_FIRST, entry="objectives", load=OVERLOAD, **options):
    """Return a fleet after an overload, and the time span to evaluate.

    Calls of the last 1.5 s may be answered when the overload has ended.
    """
    fleet = ChainLoad(entry, kinds, **options)
    fleet.drive(1, 0.8)
    started_at = fleet.now
    fleet.drive(5, load)
    return fleet, (started_at + 1, fleet.now - 1.5)


run_overload_once = cache(run_overload)
"""For tests that do not use the fleet further."""


@pytest.mark.parametrize("seed", [1, 2])
def test_more_whole_chains_are_served_than_by_shares_of_routes(seed):
    fleet, span = run_overload_once(seed=seed)
    plain, plain_span = run_overload(entry="adaptive", seed=seed)
    assert fleet.served(*span, "report") > 1.3 * plain.served(*plain_span, "report")
    assert fleet.served(*span, "order") >= 0.97


@pytest.mark.parametrize("kinds", [CHAINS_FIRST, DIRECT_FIRST, MOSTLY_CRITICAL])
@pytest.mark.parametrize("max_tries", [1, 3])
def test_kinds_are_served_by_importance_and_none_below_a_quarter(kinds, max_tries):
    fleet, span = run_overload_once(kinds=kinds, max_tries=max_tries)
    everyone = fleet.served(*span)
    shares = {kind: fleet.served(*span, kind.name) for kind in kinds}
    for kind, share in shares.items():
        assert share >= everyone / 4
        for other, other_share in shares.items():
            if kind.importance > other.importance:
                assert share >= other_share - 0.05, (kind.name, other.name)
    for name in ORGANISATIONS:
        assert fleet.served(*span, organisation=name) >= everyone / 2


@pytest.mark.parametrize("kinds", [CHAINS_FIRST, DIRECT_FIRST])
def test_all_calls_are_admitted_within_two_seconds_after_an_overload(kinds):
    fleet, _ = run_overload(kinds)
    ended_at = fleet.now
    fleet.drive(4, 0.5)
    fleet.advance(2)
    assert fleet.served(ended_at + 2, fleet.now) >= 0.99
    assert fleet.threshold == 0


def test_returning_caller_is_served_at_least_as_often_as_a_first_attempt():
    fleet, (since, until) = run_overload(max_tries=2)
    callers = [
        caller
        for caller in fleet.callers
        if since <= caller.started_at < until and caller.kind.name != "order"
    ]
    first = [caller.tries == 1 and caller.served_at > 0 for caller in callers]
    returned = [caller.served_at > 0 for caller in callers if caller.tries == 2]
    assert sum(returned) / len(returned) >= sum(first) / len(first)


def test_callers_that_repeat_at_once_gain_nothing_and_harm_no_critical_call():
    fleet, span = run_overload(max_tries=2, eager_share=0.2)
    patient = fleet.served(*span, "direct", is_eager=False)
    assert fleet.served(*span, "direct", is_eager=True) <= patient + 0.02
    assert fleet.served(*span, "order") >= 0.97


def test_told_waits_differ_and_are_at_most_a_third_of_the_time_left():
    fleet, _ = run_overload_once(kinds=CHAINS_FIRST, max_tries=3)
    waits = []
    for caller, answer in fleet.refusals:
        headers = dict(CallerApp("stock").render(answer).headers)
        assert answer.retry_after_s <= caller.kind.timeout_ms / 3000
        assert float(headers["Retry-After"]) <= caller.kind.timeout_ms / 3000
        waits.append(round(answer.retry_after_s, 2))
    assert len(set(waits)) > 10
    short = Answer("c", Outcome.NOT_RUN, None, Reason.SHED, "", 0.05, 0.05)
    assert dict(CallerApp("stock").render(short).headers)["Retry-After"] == "0.05"


def test_restarted_node_forgets_thresholds_and_learns_them_again():
    fleet, _ = run_overload()
    assert fleet.threshold > 0
    stock = fleet.restart(fleet.stocks.pop(), service="stock", slots=SLOTS)
    assert stock.core.admission.threshold(fleet.now) == 0
    fleet.stocks = [*fleet.stocks, stock]
    restarted_at = fleet.now
    thresholds = []
    for _ in range(10):
        fleet.drive(0.5, OVERLOAD)
        thresholds.append(stock.core.admission.threshold(fleet.now))
    assert any(thresholds)
    assert fleet.served(restarted_at + 2, fleet.now - 1.5, "order") >= 0.95


def test_partition_from_half_of_the_servers_sheds_by_the_capacity_in_reach():
    fleet, _ = run_overload(load=0.8)
    for stock in fleet.stocks[:3]:
        for node in [*fleet.shops, *fleet.stocks[3:]]:
            fleet.cut_links.add(frozenset((stock.name, node.name)))
    fleet.drive(8, 0.8)
    assert fleet.served(fleet.now - 4, fleet.now - 1.5, "order") >= 0.95


def test_without_mixed_objectives_nothing_changes():
    kinds = [evolve(kind, aim_ms=1000) for kind in CHAINS_FIRST]
    counters = []
    for entry in ("adaptive", "objectives"):
        fleet, _ = run_overload(kinds, entry)
        assert fleet.threshold == 0
        nodes = fleet.nodes.values()
        counters.append([node.core.counters.snapshot() for node in nodes])
    assert counters[0] == counters[1]


def test_queue_serves_by_rank_before_organisation_and_age():
    queue = FairQueue(3)
    for name, rank in (("low", 3), ("high", 40), ("middle", 20)):
        queue.offer(QueuedCall(name, "r", "a", NORMAL, 9.0, 0.0, rank))
    evicted = queue.offer(QueuedCall("new", "r", "b", NORMAL, 9.0, 0.0, 30))
    assert evicted.attempt == "low"
    order = [queue.pop(BACKGROUND).attempt for _ in range(3)]
    assert order == ["high", "new", "middle"]


def test_last_slots_of_a_server_stay_free_only_with_mixed_objectives():
    for kinds, expected in ((CHAINS_FIRST, 23), ((CHAINS_FIRST[0],), 25)):
        # Without the ramp of a server that has just started.
        admission = QueuedAdmission(Settings.from_dict({}).admission, SlotsLimit(16))
        changed = ConfigChanged(Config(), make_config(kinds))
        assert not list(admission.on_config_changed(changed, 1.0))
        list(admission.on_backend_announced(BackendAnnounced("stock", None, 25), 1.0))
        for number in range(30):
            call = AdmitCall(f"a{number}", "r", "a", NORMAL, 9.0)
            list(admission.on_admit_call(call, 1.0))
        assert admission.load().running == admission.load().limit == expected


def test_one_noisy_window_does_not_close_a_class():
    controller = ThresholdController()
    for number in range(200):
        controller.record_arrival(number % FLOOR_RANK, 1, 10.0 + number / 2000)
    controller.record_refusal(10.1)
    controller.evaluate(10.2)
    assert 0 < controller.threshold <= FLOOR_RANK / 3


def test_next_class_is_not_touched_at_once_when_a_class_is_closed():
    controller = ThresholdController()
    reached = {}
    for number in range(2000):
        now = 10.0 + number / 1000
        controller.record_arrival(number % 2 * RANKS + number % FLOOR_RANK, 1, now)
        controller.record_refusal(now)
        reached.setdefault(controller.threshold, now)
    closed_at = min(at for value, at in reached.items() if value >= FLOOR_RANK)
    next_at = min(at for value, at in reached.items() if value > RANKS)
    assert next_at - closed_at >= 0.4


def test_threshold_of_a_route_decays_within_a_second_without_replies():
    thresholds = RouteThresholds()
    for number in range(50):
        # Replies of another service do not lower the threshold.
        for service, threshold in (("stock", 40), ("ample", 0)):
            thresholds.record("view", service, threshold, 10.0 + number / 100)
    values = [thresholds.highest("view", 10.5 + age) for age in (0.0, 0.4, 0.7, 1.0)]
    assert thresholds.value("view", "ample", 10.5) == 0
    assert values[0] == pytest.approx(40, abs=1)
    assert values[0] > values[1] > values[2] > values[3] == 0


def test_table_of_refused_requests_is_bounded_and_expires():
    returning = ReturningCallers(Random(1))
    for fingerprint in range(MAX_RETURNING + 100):
        returning.record_refusal(fingerprint, 5, 0.3, 10.0)
    assert len(returning) == MAX_RETURNING
    assert returning.derive_rank(500, "id", NORMAL, 10.4) == (TOP_RANK, True)
    assert not returning.derive_rank(501, "id", NORMAL, 20.0)[1]
    returning.record_refusal(1, 5, 0.3, 20.0)
    assert len(returning) == 1
