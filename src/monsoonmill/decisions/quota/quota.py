"""Base class of the fleet-wide rate limits of organisations."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.quota.signals import TokenGranted, TokenRequested


class Quota(Decision):
    """Grants each call of an organisation a token, or denies it."""

    @abstractmethod
    def on_token_requested(self, signal: TokenRequested, now: float):
        """Yield ``TokenGranted`` or ``TokenDenied``, at once or later."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {TokenRequested: self.on_token_requested}


class UnlimitedQuota(Quota):
    """Grants every call a token; the baseline for comparisons."""

    def on_token_requested(self, signal: TokenRequested, now: float):
        """Grant the token at once."""
        yield TokenGranted(signal.call)
