"""Order of admission, queueing and refusals."""

from collections import Counter

from monsoonmill.decisions.admission.fair_queue import FairQueue, QueuedCall
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import Settings
from tests.admission_oracle import AdmissionOracle


def make_oracle(limit=1, length=8, queue_ms=500):
    overrides = {"initial_limit": limit, "queue_length": length, "queue_ms": queue_ms}
    cfg = Settings.from_dict({"admission": overrides}).admission
    return AdmissionOracle(QueuedAdmission.fixed(cfg))


def make_call(name, organisation="a", importance=Importance.NORMAL):
    return QueuedCall(name, "r", organisation, importance, 9.0, 0.0)


def test_critical_call_is_admitted_before_earlier_normal_calls():
    oracle = make_oracle()
    oracle.admit("running", Importance.NORMAL)
    oracle.admit("normal", Importance.NORMAL)
    oracle.admit("critical", Importance.CRITICAL)
    oracle.release("running")
    assert list(oracle.running) == ["critical"]


def test_full_queue_evicts_a_normal_call_for_a_critical_one():
    oracle = make_oracle(length=2)
    for name in ("running", "older", "newer"):
        oracle.admit(name, Importance.NORMAL)
    oracle.admit("critical", Importance.CRITICAL)
    assert oracle.refused == {"newer": Reason.QUEUE_FULL}
    oracle.admit("late", Importance.NORMAL)
    assert oracle.refused["late"] is Reason.QUEUE_FULL


def test_busy_organisation_leaves_others_an_equal_share():
    oracle = make_oracle(length=64)
    oracle.admit("first", Importance.NORMAL)
    for number in range(40):
        oracle.admit(f"busy-{number}", Importance.NORMAL, "busy")
    for number in range(8):
        oracle.admit(f"modest-{number}", Importance.NORMAL, "modest")
    served = Counter()
    for _ in range(16):
        oracle.release(next(iter(oracle.running)))
        served[next(iter(oracle.running)).split("-")[0]] += 1
    assert served["modest"] == 8


def test_idle_organisation_accumulates_no_credit_for_slots():
    queue = FairQueue(100)
    for number in range(20):
        queue.offer(make_call(f"a{number}", "a"))
    for _ in range(10):
        queue.charge(queue.pop(Importance.BACKGROUND))
    for number in range(10):
        queue.offer(make_call(f"b{number}", "b"))
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


def test_call_that_expires_in_the_queue_is_never_started():
    oracle = make_oracle(queue_ms=5000)
    oracle.admit("running", Importance.NORMAL)
    oracle.admit("waiting", Importance.NORMAL, timeout_s=0.1)
    oracle.advance(0.2)
    assert oracle.refused == {"waiting": Reason.DEADLINE}


def test_background_calls_leave_slots_to_others():
    oracle = make_oracle(limit=4)
    for number in range(4):
        oracle.admit(f"background-{number}", Importance.BACKGROUND)
    assert len(oracle.running) == 2
    oracle.admit("normal", Importance.NORMAL)
    assert "normal" in oracle.running


def test_level_rises_while_a_class_gets_no_slot_and_falls_with_the_queue():
    oracle = make_oracle(queue_ms=500)
    oracle.admit("running", Importance.INTERACTIVE)
    for number in range(40):
        oracle.admit(f"normal-{number}", Importance.NORMAL)
        oracle.admit(f"interactive-{number}", Importance.INTERACTIVE)
        oracle.admit(f"extra-{number}", Importance.INTERACTIVE)
        oracle.advance(0.02)
        oracle.release(next(iter(oracle.running)))
    assert oracle.admission.load().level is Importance.INTERACTIVE
    oracle.advance(1)
    assert oracle.admission.load().level is Importance.BACKGROUND


def test_cancelling_an_admitted_attempt_frees_its_slot():
    oracle = make_oracle()
    oracle.admit("running", Importance.NORMAL)
    oracle.cancel("running")
    oracle.admit("next", Importance.NORMAL)
    assert list(oracle.running) == ["next"]
