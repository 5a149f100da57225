"""Deliberately broken variants that the tests of admission must detect."""

import pytest
from hypothesis import Phase

from monsoonmill.decisions.admission.fair_queue import ClassQueue, FairQueue
from monsoonmill.decisions.admission.queued import QueuedAdmission
from monsoonmill.decisions.calls.call import Call
from monsoonmill.decisions.calls.contexts import ContextTable
from monsoonmill.reasons import Importance
from monsoonmill.settings import Settings
from tests import test_admission_queue, test_retry_bound
from tests.test_admission_fuzz import SMALL, AdmissionMachine, run_machine

CFG = Settings.from_dict({"admission": SMALL}).admission


class ForgetsEvicted(FairQueue):
    def offer(self, call):
        super().offer(call)
        return None


class OldestFirst(FairQueue):
    def pop(self, lowest):
        heads = [call for call in self._calls.values() if call.importance >= lowest]
        oldest = min(heads, key=lambda call: call.queued_at, default=None)
        return None if oldest is None else self.remove(oldest.attempt)


class IgnoresLimit(QueuedAdmission):
    def _has_slot(self, importance):
        return True


class IgnoresBackgroundShare(QueuedAdmission):
    def _has_slot(self, importance):
        return len(self._running) < self._limit.limit


class LeaksSlots(QueuedAdmission):
    def _release(self, attempt):
        run = self._running.get(attempt)
        if run is not None and run.importance is not Importance.CRITICAL:
            return super()._release(attempt)
        return run


class NeverTicks(QueuedAdmission):
    def next_due(self):
        return None


class RunsExpired(QueuedAdmission):
    def _would_miss_deadline(self, call, now):
        return False

    def _expiry(self, call, now):
        return now + 9.0

    def _max_wait_s(self, importance, now):
        return 9.0


def with_queue(queue_class):
    admission = QueuedAdmission.adaptive(CFG)
    admission._queue = queue_class(CFG.queue_length)
    return admission


MUTANT_EXAMPLES = 200
MUTANTS = {
    "evicted attempts get no answer": lambda: with_queue(ForgetsEvicted),
    "age takes precedence over importance": lambda: with_queue(OldestFirst),
    "the limit is ignored": lambda: IgnoresLimit.adaptive(CFG),
    "background calls use all slots": lambda: IgnoresBackgroundShare.adaptive(CFG),
    "slots of critical calls leak": lambda: LeaksSlots.adaptive(CFG),
    "timers never fire": lambda: NeverTicks.adaptive(CFG),
    "expired attempts are run": lambda: RunsExpired.adaptive(CFG),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_of_admission_is_caught_by_the_fuzz_oracle(name):
    class Machine(AdmissionMachine):
        make_admission = staticmethod(MUTANTS[name])

    with pytest.raises(AssertionError):
        run_machine(Machine, MUTANT_EXAMPLES, (Phase.generate,))


def test_mutant_without_fairness_is_caught(monkeypatch):
    monkeypatch.setattr(ClassQueue, "charge", lambda self, organisation: None)
    with pytest.raises(AssertionError):
        test_admission_queue.test_busy_organisation_leaves_others_an_equal_share()


def test_mutant_that_accumulates_credit_is_caught(monkeypatch):
    def start_tag(self, organisation):
        return self.finish_tags.get(organisation, 0.0)

    monkeypatch.setattr(ClassQueue, "_start_tag", start_tag)
    with pytest.raises(AssertionError):
        test_admission_queue.test_idle_organisation_accumulates_no_credit_for_slots()


def test_mutant_with_a_retry_budget_per_hop_is_caught(monkeypatch):
    monkeypatch.setattr(ContextTable, "take_retries", lambda self, token: 3)
    monkeypatch.setattr(Call, "reclaim_retries", lambda self, left: None)
    fleet = test_retry_bound.ChainFleet(
        4, call={"retry_ratio": 1.0, "retry_burst": 1000.0}
    )
    fleet.start_chain(fleet.members[0])
    fleet.advance(5)
    with pytest.raises(AssertionError):
        test_retry_bound.check_retry_limit(fleet)


def test_mutant_that_keeps_delegated_retries_is_caught(monkeypatch):
    def delegate_retries(self):
        self.delegated_retries = self.retries_left

    monkeypatch.setattr(Call, "delegate_retries", delegate_retries)
    with pytest.raises(AssertionError):
        test_retry_bound.test_lost_nodes_do_not_renew_the_retry_budget()
