"""Admission of calls to the node's own backend server."""

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
    """Assigns the backend server's slots to attempts by priority."""

    @abstractmethod
    def on_admit_call(self, signal: AdmitCall, now: float):
        """Yield ``Admitted`` or ``NotAdmitted``, immediately or later."""

    @abstractmethod
    def on_cancel_admission(self, signal: CancelAdmission, now: float):
        """Remove an attempt from the queue, or free its slot."""

    @abstractmethod
    def on_slot_released(self, signal: SlotReleased, now: float):
        """Free a slot and assign it to the next attempt."""

    @abstractmethod
    def load(self) -> Load:
        """Return the load to report to other nodes."""

    def record_return(self, now: float) -> None:
        """Record that the backend server gets calls again after an evacuation."""
        return

    def threshold(self, now: float) -> int:
        """Return the lowest standing for which there is capacity; 0 for all."""
        return 0

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            AdmitCall: self.on_admit_call,
            CancelAdmission: self.on_cancel_admission,
            SlotReleased: self.on_slot_released,
        }


class AdmitAll(Admission):
    """Admits every attempt immediately; a baseline for comparisons."""

    def __init__(self):
        self._running = set()

    def on_admit_call(self, signal: AdmitCall, now: float):
        """Assign a slot immediately."""
        self._running.add(signal.attempt)
        yield Admitted(signal.attempt)

    def on_cancel_admission(self, signal: CancelAdmission, now: float):
        """Do nothing, since no attempt is ever queued."""
        return ()

    def on_slot_released(self, signal: SlotReleased, now: float):
        """Remove the attempt from those that run."""
        self._running.discard(signal.attempt)
        return ()

    def load(self) -> Load:
        """Return the number of attempts at the backend server."""
        running = len(self._running)
        return Load(running=running, limit=max(running, 1))
