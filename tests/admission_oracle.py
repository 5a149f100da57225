"""Drives an admission decision and checks its invariants after each step."""

from collections import Counter
from math import ceil

from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    Admitted,
    CancelAdmission,
    NotAdmitted,
    SlotReleased,
)
from monsoonmill.reasons import Importance


class AdmissionOracle:
    """Tracks the state of each attempt; a violated invariant is an AssertionError."""

    def __init__(self, admission, background_share=0.5):
        self.admission = admission
        self.background_share = background_share
        self.now = 100.0
        self.waiting = {}
        self.running = {}
        self.answered = Counter()
        self.refused = {}

    def admit(self, attempt, importance, organisation="a", timeout_s=5.0, route="r"):
        call = AdmitCall(attempt, route, organisation, importance, self.now + timeout_s)
        self.waiting[attempt] = call
        self._process(self.admission.on_admit_call(call, self.now))

    def cancel(self, attempt):
        self.answered[attempt] += attempt in self.waiting
        self.waiting.pop(attempt, None)
        self.running.pop(attempt, None)
        self._process(
            self.admission.on_cancel_admission(CancelAdmission(attempt), self.now)
        )

    def release(
        self, attempt, latency_s=0.01, shed=False, timed_out=False, not_run=False
    ):
        del self.running[attempt]
        released = SlotReleased(attempt, latency_s, shed, timed_out, not_run=not_run)
        self._process(self.admission.on_slot_released(released, self.now))

    def admit_again(self, attempt, importance):
        """Request a slot again for an attempt that the backend server shed."""
        del self.answered[attempt]
        self.admit(attempt, importance)

    def advance(self, seconds):
        end = self.now + seconds
        while (due := self.admission.next_due()) is not None and due <= end:
            self.now = max(due, self.now)
            self._process(self.admission.tick(self.now))
        self.now = end

    def _process(self, signals):
        for signal in signals:
            call = self.waiting.pop(signal.attempt, None)
            assert call is not None, "an answer for an attempt that is not waiting"
            self.answered[signal.attempt] += 1
            if isinstance(signal, Admitted):
                self._check_order(call)
                self.running[signal.attempt] = call
                assert len(self.running) <= self.admission.load().limit
                if call.importance is Importance.BACKGROUND:
                    self._check_background_share()
            else:
                assert isinstance(signal, NotAdmitted)
                self.refused[signal.attempt] = signal.reason
        self._check_load()

    def _check_order(self, call):
        assert call.deadline > self.now, "an attempt was started after its deadline"
        more_important = [
            other
            for other in self.waiting.values()
            if other.importance > call.importance
        ]
        assert not more_important, "a less important attempt was admitted first"

    def _check_background_share(self):
        counts = Counter(call.importance for call in self.running.values())
        max_background = max(
            ceil(self.admission.load().limit * self.background_share), 1
        )
        assert counts[Importance.BACKGROUND] <= max_background, (
            "background attempts hold too many slots"
        )

    def _check_load(self):
        load = self.admission.load()
        assert load.running == len(self.running), (
            "the number of running attempts is wrong"
        )
        assert load.waiting == len(self.waiting), (
            "the number of waiting attempts is wrong"
        )
        assert all(count == 1 for count in self.answered.values())
