"""Claims: the exclusive right to run an at-most-once call, identified by its key."""

from abc import abstractmethod

from monsoonmill.decisions.claims.signals import (
    ClaimedCallEnded,
    ClaimGranted,
    ClaimNeeded,
)
from monsoonmill.decisions.decision import Decision


class Claims(Decision):
    """Ensures that a call with an ``Idempotency-Key`` runs at most once."""

    @abstractmethod
    def on_claim_needed(self, signal: ClaimNeeded, now: float):
        """Yield ``ClaimGranted`` or ``ClaimDenied``, at once or later."""

    @abstractmethod
    def on_claimed_call_ended(self, signal: ClaimedCallEnded, now: float):
        """Store the outcome of a call that held its claim."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            ClaimNeeded: self.on_claim_needed,
            ClaimedCallEnded: self.on_claimed_call_ended,
        }


class NoClaims(Claims):
    """Grants every claim; the baseline for comparisons."""

    def on_claim_needed(self, signal: ClaimNeeded, now: float):
        """Grant the claim at once."""
        yield ClaimGranted(signal.call)

    def on_claimed_call_ended(self, signal: ClaimedCallEnded, now: float):
        """Do nothing; no outcome is stored."""
        return ()
