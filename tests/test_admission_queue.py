"""Who gets a slot, who waits and who is refused."""

from collections import Counter

from monsoonmill.decisions.admission.fair_queue import FairQueue, QueuedCall
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import Settings
from tests.admission_oracle import AdmissionOracle


def make_oracle(limit=1, length=8, queue_ms=500):
    own = {"initial_limit": limit, "queue_length": length, "queue_ms": queue_ms}
    cfg = Settings.from_dict({"admission": own}).admission
    return AdmissionOracle(QueuedAdmission.fixed(cfg))


def queued(name, organisation="a", importance=Importance.NORMAL):
    return QueuedCall(name, "r", organisation, importance, 9.0, 0.0)


def test_pledge_goes_before_lookups_that_came_earlier():
    oracle = make_oracle()
    oracle.admit("running", Importance.NORMAL)
    oracle.admit("lookup", Importance.NORMAL)
    oracle.admit("pledge", Importance.CRITICAL)
    oracle.release("running")
    assert list(oracle.running) == ["pledge"]


def test_full_queue_gives_up_a_lookup_for_a_pledge():
    oracle = make_oracle(length=2)
    for name in ("running", "older", "newer"):
        oracle.admit(name, Importance.NORMAL)
    oracle.admit("pledge", Importance.CRITICAL)
    assert oracle.refused == {"newer": Reason.QUEUE_FULL}
    oracle.admit("late", Importance.NORMAL)
    assert oracle.refused["late"] is Reason.QUEUE_FULL


def test_greedy_organisation_leaves_others_their_equal_share():
    oracle = make_oracle(length=64)
    oracle.admit("first", Importance.NORMAL)
    for number in range(40):
        oracle.admit(f"greedy-{number}", Importance.NORMAL, "greedy")
    for number in range(8):
        oracle.admit(f"modest-{number}", Importance.NORMAL, "modest")
    served = Counter()
    for _ in range(16):
        oracle.release(next(iter(oracle.running)))
        served[next(iter(oracle.running)).split("-")[0]] += 1
    assert served["modest"] == 8


def test_idle_organisation_saves_up_no_claim_on_slots():
    queue = FairQueue(100)
    for number in range(20):
        queue.offer(queued(f"a{number}", "a"))
    for _ in range(10):
        queue.charge(queue.pop(Importance.BACKGROUND))
    for number in range(10):
        queue.offer(queued(f"b{number}", "b"))
    order = []
    for _ in range(6):
        call = queue.pop(Importance.BACKGROUND)
        queue.charge(call)
        order.append(call.organisation)
    assert sorted(order) == ["a", "a", "a", "b", "b", "b"]


def test_call_that_waited_too_long_is_refused_as_not_run():
    oracle = make_oracle(queue_ms=100)
    oracle.admit("running", Importance.NORMAL)
    oracle.admit("waiting", Importance.NORMAL)
    oracle.advance(0.2)
    assert oracle.refused == {"waiting": Reason.SHED}


def test_call_whose_time_is_up_in_the_queue_is_never_started():
    oracle = make_oracle(queue_ms=5000)
    oracle.admit("running", Importance.NORMAL)
    oracle.admit("waiting", Importance.NORMAL, timeout_s=0.1)
    oracle.advance(0.2)
    assert oracle.refused == {"waiting": Reason.DEADLINE}


def test_background_work_leaves_slots_to_others():
    oracle = make_oracle(limit=4)
    for number in range(4):
        oracle.admit(f"background-{number}", Importance.BACKGROUND)
    assert len(oracle.running) == 2
    oracle.admit("lookup", Importance.NORMAL)
    assert "lookup" in oracle.running


def test_level_rises_while_a_class_gets_nothing_and_falls_with_the_queue():
    oracle = make_oracle(queue_ms=500)
    oracle.admit("running", Importance.INTERACTIVE)
    for number in range(40):
        oracle.admit(f"lookup-{number}", Importance.NORMAL)
        oracle.admit(f"order-{number}", Importance.INTERACTIVE)
        oracle.admit(f"other-{number}", Importance.INTERACTIVE)
        oracle.advance(0.02)
        oracle.release(next(iter(oracle.running)))
    assert oracle.admission.load().level is Importance.INTERACTIVE
    oracle.advance(1)
    assert oracle.admission.load().level is Importance.BACKGROUND


def test_leaving_a_slot_that_was_given_meanwhile_frees_it():
    oracle = make_oracle()
    oracle.admit("running", Importance.NORMAL)
    oracle.leave("running")
    oracle.admit("next", Importance.NORMAL)
    assert list(oracle.running) == ["next"]
