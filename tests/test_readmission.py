"""Critical calls that a backend server sheds wait for a slot again."""

import pytest

from monsoonmill.decisions.admission.concurrency_limit import FixedLimit
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.decisions.calls.signals import RunFinished
from monsoonmill.model import HttpResponse
from monsoonmill.reasons import Importance, Outcome, Reason
from monsoonmill.settings import Settings
from tests.admission_oracle import AdmissionOracle
from tests.configs import SECRET, small_config
from tests.fleet import FakeFleet, answer_ok


class Shedding:
    """A backend server that sheds so many requests before it runs one."""

    def __init__(self, sheds):
        self.left = sheds

    def __call__(self, node, call):
        if self.left == 0:
            return answer_ok(node, call)
        self.left -= 1
        return 0.001, RunFinished(call.attempt, HttpResponse(503), None, True)


def call_once(sheds, path, method="GET", readmits=2, timeout_ms=5000):
    fleet = FakeFleet(
        run=Shedding(sheds),
        admission={"readmits": readmits},
        call={"tries": 0},
    )
    fleet.install(small_config())
    node = fleet.add(service="donkeys")
    fleet.advance(5)
    name = fleet.call(
        node, "donkeys", path, method, bearer=SECRET, timeout_ms=timeout_ms
    )
    fleet.advance(10)
    return node, node.answers[name], len(fleet.executed)


def test_pledge_that_was_shed_runs_once_there_is_room():
    node, answer, sent = call_once(2, "/pledges", "POST")
    assert answer.outcome is Outcome.DONE
    assert sent == 3
    assert node.core.counters.value("readmitted") == 2
    assert node.core.executions.in_progress == 0
    assert node.core.admission.load().running == 0


def test_pledge_that_is_shed_again_and_again_is_refused_as_not_run():
    _, answer, sent = call_once(9, "/pledges", "POST")
    assert (answer.outcome, answer.reason) == (
        Outcome.NOT_RUN,
        Reason.BACKEND_SERVER_SHED,
    )
    assert sent == 3


@pytest.mark.parametrize(
    ("path", "method", "readmits"), [("/lookup/1", "GET", 2), ("/pledges", "POST", 0)]
)
def test_others_are_refused_at_once(path, method, readmits):
    _, answer, sent = call_once(1, path, method, readmits)
    assert answer.reason is Reason.BACKEND_SERVER_SHED
    assert sent == 1


LIMIT = 10
"""What the node takes for the limit of a backend server that holds fewer."""
HELD = 6


class KnownLatency(FixedLimit):
    """A fixed limit beside a backend server whose runs take a tenth of a second."""

    def recent_latency_s(self, route, now):
        return 0.1


def full_backend_server():
    own = {"initial_limit": LIMIT, "queue_length": 8, "queue_ms": 2000}
    cfg = Settings.from_dict({"admission": own}).admission
    oracle = AdmissionOracle(QueuedAdmission(cfg, KnownLatency(LIMIT)))
    for number in range(HELD):
        oracle.admit(f"held-{number}", Importance.NORMAL)
    return oracle


def shed_and_ask_again(oracle, name):
    oracle.admit(name, Importance.CRITICAL)
    assert name in oracle.running
    oracle.release(name, shed=True, not_run=True)
    oracle.admit_again(name, Importance.CRITICAL)


def test_pledge_that_was_shed_waits_until_something_has_left_the_backend_server():
    oracle = full_backend_server()
    shed_and_ask_again(oracle, "pledge")
    assert "pledge" not in oracle.running
    oracle.admit("lookup", Importance.NORMAL)
    assert "lookup" not in oracle.running
    oracle.release("held-0")
    assert "pledge" in oracle.running
    assert "lookup" not in oracle.running


def test_backend_server_is_tried_again_after_a_usual_run():
    oracle = full_backend_server()
    shed_and_ask_again(oracle, "pledge")
    oracle.advance(0.15)
    assert "pledge" in oracle.running


def test_refusals_without_a_word_that_nothing_ran_hold_back_one_slot_each():
    oracle = full_backend_server()
    oracle.admit("failed", Importance.NORMAL)
    oracle.release("failed", shed=True)
    oracle.admit("lookup", Importance.NORMAL)
    assert "lookup" in oracle.running
