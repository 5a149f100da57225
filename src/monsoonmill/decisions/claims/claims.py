"""Claims: the right to run an at-most-once call, found by its key."""

from abc import abstractmethod

from monsoonmill.decisions.claims.signals import (
    ClaimedCallEnded,
    ClaimGranted,
    ClaimNeeded,
)
from monsoonmill.decisions.decision import Decision


class Claims(Decision):
    """Lets a call with an ``Idempotency-Key`` run once."""

    @abstractmethod
    def on_claim_wanted(self, signal: ClaimNeeded, now: float):
        """Yield ``ClaimGranted`` or ``ClaimDenied``, at once or later."""

    @abstractmethod
    def on_claim_done(self, signal: ClaimedCallEnded, now: float):
        """Keep the end of a call that had its claim."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {ClaimNeeded: self.on_claim_wanted, ClaimedCallEnded: self.on_claim_done}


class NoClaims(Claims):
    """Lets everything run; the baseline to compare with."""

    def on_claim_wanted(self, signal: ClaimNeeded, now: float):
        """Give the claim at once."""
        yield ClaimGranted(signal.call)

    def on_claim_done(self, signal: ClaimedCallEnded, now: float):
        """Keep nothing."""
        return ()
