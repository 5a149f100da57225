"""Claims: the right to run an at-most-once call, found by its key."""

from abc import abstractmethod

from monsoonmill.decisions.claims.signals import ClaimDone, ClaimGiven, ClaimWanted
from monsoonmill.decisions.decision import Decision


class Claims(Decision):
    """Lets a call with an ``Idempotency-Key`` run once."""

    @abstractmethod
    def on_claim_wanted(self, signal: ClaimWanted, now: float):
        """Yield ``ClaimGiven`` or ``ClaimDenied``, at once or later."""

    @abstractmethod
    def on_claim_done(self, signal: ClaimDone, now: float):
        """Keep the end of a call that had its claim."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {ClaimWanted: self.on_claim_wanted, ClaimDone: self.on_claim_done}


class NoClaims(Claims):
    """Lets everything run; the baseline to compare with."""

    def on_claim_wanted(self, signal: ClaimWanted, now: float):
        """Give the claim at once."""
        yield ClaimGiven(signal.call)

    def on_claim_done(self, signal: ClaimDone, now: float):
        """Keep nothing."""
        return ()
