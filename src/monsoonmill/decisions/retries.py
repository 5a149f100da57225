"""Bounds on further tries.

A call chain carries one budget. Each further try anywhere in the chain spends
one of it, so that the chain makes at most ``calls + tries`` attempts. Next to
that, each node earns a fraction of a try with each call to a service, which
bounds the sum over all calls by ``retry_ratio * calls + retry_burst``.
"""

from attrs import define

from monsoonmill.reasons import RetryReason
from monsoonmill.settings import CallSettings


@define
class RetryBalance:
    """Further tries that a node may make to one service."""

    tokens: float


class RetryLimiter:
    """Decides whether a failed attempt may be followed by another."""

    def __init__(self, cfg: CallSettings):
        self._cfg = cfg
        self._balances: dict[str, RetryBalance] = {}

    def earn(self, service: str) -> None:
        """Note a call to a service."""
        balance = self._balance(service)
        earned = balance.tokens + self._cfg.retry_ratio
        balance.tokens = min(earned, self._cfg.retry_burst)

    def check(self, service: str, tries: int) -> RetryReason | None:
        """Return why there is no further try, or None if there is one."""
        if tries <= 0:
            return RetryReason.BUDGET_SPENT
        if self._balance(service).tokens < 1:
            return RetryReason.RATIO_SPENT
        return None

    def spend(self, service: str) -> None:
        """Pay for a further try."""
        self._balance(service).tokens -= 1

    def _balance(self, service):
        if service not in self._balances:
            self._balances[service] = RetryBalance(self._cfg.retry_burst)
        return self._balances[service]
