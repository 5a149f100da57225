"""Critical calls that a backend server sheds are queued for a slot again."""

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


class SheddingServer:
    """A backend server that sheds a number of requests before it runs one."""

    def __init__(self, sheds):
        self.remaining = sheds

    def __call__(self, node, call):
        if self.remaining == 0:
            return answer_ok(node, call)
        self.remaining -= 1
        return 0.001, RunFinished(call.attempt, HttpResponse(503), None, True)


def call_once(sheds, path, method="GET", readmits=2, timeout_ms=5000):
    fleet = FakeFleet(
        run=SheddingServer(sheds),
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


def test_critical_call_that_was_shed_runs_when_there_is_capacity():
    node, answer, sent = call_once(2, "/pledges", "POST")
    assert answer.outcome is Outcome.DONE
    assert sent == 3
    assert node.core.counters.value("readmitted") == 2
    assert node.core.executions.in_progress == 0
    assert node.core.admission.load().running == 0


def test_critical_call_that_is_shed_repeatedly_is_refused_as_not_run():
    _, answer, sent = call_once(9, "/pledges", "POST")
    assert (answer.outcome, answer.reason) == (
        Outcome.NOT_RUN,
        Reason.BACKEND_SERVER_SHED,
    )
    assert sent == 3


@pytest.mark.parametrize(
    ("path", "method", "readmits"), [("/lookup/1", "GET", 2), ("/pledges", "POST", 0)]
)
def test_other_calls_are_refused_immediately(path, method, readmits):
    _, answer, sent = call_once(1, path, method, readmits)
    assert answer.reason is Reason.BACKEND_SERVER_SHED
    assert sent == 1


LIMIT = 10
"""The node's limit for a backend server whose real capacity is lower."""
CAPACITY = 6


class KnownLatency(FixedLimit):
    """A fixed limit for a backend server whose runs take a tenth of a second."""

    def recent_latency_s(self, route, now):
        return 0.1


def full_backend_server():
    overrides = {"initial_limit": LIMIT, "queue_length": 8, "queue_ms": 2000}
    cfg = Settings.from_dict({"admission": overrides}).admission
    oracle = AdmissionOracle(QueuedAdmission(cfg, KnownLatency(LIMIT)))
    for number in range(CAPACITY):
        oracle.admit(f"running-{number}", Importance.NORMAL)
    return oracle


def shed_and_admit_again(oracle, name):
    oracle.admit(name, Importance.CRITICAL)
    assert name in oracle.running
    oracle.release(name, shed=True, not_run=True)
    oracle.admit_again(name, Importance.CRITICAL)


def test_critical_call_that_was_shed_waits_until_another_one_ends():
    oracle = full_backend_server()
    shed_and_admit_again(oracle, "critical")
    assert "critical" not in oracle.running
    oracle.admit("normal", Importance.NORMAL)
    assert "normal" not in oracle.running
    oracle.release("running-0")
    assert "critical" in oracle.running
    assert "normal" not in oracle.running


def test_full_backend_server_is_tried_again_after_the_recent_latency():
    oracle = full_backend_server()
    shed_and_admit_again(oracle, "critical")
    oracle.advance(0.15)
    assert "critical" in oracle.running


def test_refusals_not_reported_as_not_run_withhold_one_slot_each():
    oracle = full_backend_server()
    oracle.admit("failed", Importance.NORMAL)
    oracle.release("failed", shed=True)
    oracle.admit("normal", Importance.NORMAL)
    assert "normal" in oracle.running
