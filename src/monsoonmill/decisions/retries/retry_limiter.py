"""Bounds on further tries.

A call chain carries one budget. Each further try anywhere in the chain spends
one of it, so that the chain makes at most ``calls + tries`` attempts. Next to
that, each node earns a fraction of a try with each call to a service, which
bounds the sum over all calls by ``retry_ratio * calls + retry_burst``.
"""

from attrs import define

from monsoonmill.reasons import Importance, RetryReason
from monsoonmill.settings import CallSettings

CRITICAL_SHARE = 0.5
"""Part of the largest balance that only critical calls may use."""


@define
class RetryBalance:
    """Further tries that a node may make to one service."""

    tokens: float


class RetryLimiter:
    """Decides whether a failed attempt may be followed by another."""

    def __init__(self, cfg: CallSettings):
        self._cfg = cfg
        self._balances: dict[str, RetryBalance] = {}

    def deposit(self, service: str) -> None:
        """Note a call to a service."""
        balance = self._balance(service)
        earned = balance.tokens + self._cfg.retry_ratio
        balance.tokens = min(earned, self._cfg.retry_burst)

    def refusal(
        self, service: str, tries: int, importance: Importance = Importance.NORMAL
    ) -> RetryReason | None:
        """Return why there is no further try, or None if there is one.

        Half of the balance is kept for critical calls.
        """
        if tries <= 0:
            return RetryReason.BUDGET_SPENT
        is_critical = importance is Importance.CRITICAL
        kept = 0 if is_critical else self._cfg.retry_burst * CRITICAL_SHARE
        if self._balance(service).tokens < 1 + kept:
            return RetryReason.RATIO_SPENT
        return None

    def withdraw(self, service: str) -> None:
        """Pay for a further try."""
        self._balance(service).tokens -= 1

    def _balance(self, service):
        if service not in self._balances:
            self._balances[service] = RetryBalance(self._cfg.retry_burst)
        return self._balances[service]
