"""Random sequences of admissions, checked by an oracle."""

from os import environ

from hypothesis import Phase
from hypothesis import settings as fuzz_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.reasons import Importance
from monsoonmill.settings import Settings
from tests.admission_oracle import AdmissionOracle

EXAMPLES = int(environ.get("MONSOON_FUZZ_EXAMPLES", "40"))
SMALL = {"initial_limit": 2, "min_limit": 2, "max_limit": 12, "queue_length": 6}


def small_admission():
    return QueuedAdmission.adaptive(Settings.from_dict({"admission": SMALL}).admission)


class AdmissionMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.oracle = AdmissionOracle(self.make_admission())
        self.count = 0

    make_admission = staticmethod(small_admission)

    @rule(
        importances=st.lists(st.sampled_from(list(Importance)), min_size=1, max_size=6),
        organisation=st.sampled_from("abc"),
        timeout_s=st.floats(0.01, 3),
    )
    def arrive(self, importances, organisation, timeout_s):
        for importance in importances:
            self.count += 1
            self.oracle.admit(f"a{self.count}", importance, organisation, timeout_s)

    @rule(
        pick=st.integers(0, 99), latency_s=st.floats(0.001, 2), fault=st.integers(0, 5)
    )
    def finish(self, pick, latency_s, fault):
        if self.oracle.running:
            names = list(self.oracle.running)
            self.oracle.release(
                names[pick % len(names)],
                latency_s,
                shed=fault == 0,
                timed_out=fault == 1,
            )

    @rule(pick=st.integers(0, 99))
    def cancel(self, pick):
        names = [*self.oracle.waiting, *self.oracle.running]
        if names:
            self.oracle.cancel(names[pick % len(names)])

    @rule(seconds=st.floats(0.001, 1))
    def wait(self, seconds):
        self.oracle.advance(seconds)

    @invariant()
    def bounds_hold(self):
        load = self.oracle.admission.load()
        assert SMALL["min_limit"] <= load.limit <= SMALL["max_limit"]
        assert load.waiting <= SMALL["queue_length"]

    def teardown(self):
        self.oracle.advance(10)
        assert not self.oracle.waiting, "attempts are never answered"


def run_machine(machine, examples=EXAMPLES, phases=tuple(Phase)):
    machine.TestCase.settings = fuzz_settings(
        max_examples=examples,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        phases=phases,
        report_multiple_bugs=False,
    )
    machine.TestCase("runTest").runTest()


def test_fuzz_each_attempt_is_answered_once_and_in_order_of_importance():
    run_machine(AdmissionMachine)
