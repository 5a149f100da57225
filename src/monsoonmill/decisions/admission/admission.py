"""Admission of calls to the own backend server."""

from abc import abstractmethod

from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    Admitted,
    CancelAdmission,
    SlotReleased,
)
from monsoonmill.decisions.decision import Decision
from monsoonmill.messages import Load


class Admission(Decision):
    """Gives attempts a slot at the backend server, in order of worth."""

    @abstractmethod
    def on_admit_call(self, signal: AdmitCall, now: float):
        """Yield ``Admitted`` or ``NotAdmitted``, at once or later."""

    @abstractmethod
    def on_cancel_admission(self, signal: CancelAdmission, now: float):
        """Forget an attempt that waits."""

    @abstractmethod
    def on_slot_released(self, signal: SlotReleased, now: float):
        """Take a slot back and give it to the next attempt."""

    @abstractmethod
    def load(self) -> Load:
        """Return the load to tell others of."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            AdmitCall: self.on_admit_call,
            CancelAdmission: self.on_cancel_admission,
            SlotReleased: self.on_slot_released,
        }


class AdmitAll(Admission):
    """Admits everything at once; the baseline to compare with."""

    def __init__(self):
        self._running = set()

    def on_admit_call(self, signal: AdmitCall, now: float):
        """Give a slot at once."""
        self._running.add(signal.attempt)
        yield Admitted(signal.attempt)

    def on_cancel_admission(self, signal: CancelAdmission, now: float):
        """Forget nothing, since nothing waits."""
        return ()

    def on_slot_released(self, signal: SlotReleased, now: float):
        """Count one attempt less."""
        self._running.discard(signal.attempt)
        return ()

    def load(self) -> Load:
        """Return the number of attempts at the backend server."""
        running = len(self._running)
        return Load(running=running, limit=max(running, 1))
