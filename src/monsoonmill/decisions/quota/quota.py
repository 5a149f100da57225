"""Rates and bursts of organisations over the whole fleet."""

from abc import abstractmethod

from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.quota.signals import TokenGranted, TokenRequested


class Quota(Decision):
    """Gives each call of an organisation a token, or denies it."""

    @abstractmethod
    def on_token_requested(self, signal: TokenRequested, now: float):
        """Yield ``TokenGranted`` or ``TokenDenied``, at once or later."""

    def handlers(self):
        """Return the handlers of this decision."""
        return {TokenRequested: self.on_token_requested}


class UnlimitedQuota(Quota):
    """Gives every call a token; the baseline to compare with."""

    def on_token_requested(self, signal: TokenRequested, now: float):
        """Give the token at once."""
        yield TokenGranted(signal.call)
