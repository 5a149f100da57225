"""Limits on retries.

Each call chain carries a retry budget. Every retry anywhere in the chain uses one
unit of it, so a chain makes at most ``calls + tries`` attempts. In addition, each
call to a service adds a fraction of a retry to the node's balance for that service,
which limits the retries of all calls to ``retry_ratio * calls + retry_burst``.
"""

from attrs import define

from monsoonmill.reasons import Importance, RetryReason
from monsoonmill.settings import CallSettings

CRITICAL_RESERVE_RATIO = 0.5
"""Share of the maximum balance that is reserved for critical calls."""


@define
class RetryBalance:
    """Retries that a node may still make to one service."""

    tokens: float


class RetryLimiter:
    """Decides whether a failed attempt may be retried."""

    def __init__(self, cfg: CallSettings):
        self._cfg = cfg
        self._balances: dict[str, RetryBalance] = {}

    def deposit(self, service: str) -> None:
        """Add a call's fraction of a retry to the service's balance."""
        balance = self._balance(service)
        increased = balance.tokens + self._cfg.retry_ratio
        balance.tokens = min(increased, self._cfg.retry_burst)

    def refusal(
        self,
        service: str,
        retries_left: int,
        importance: Importance = Importance.NORMAL,
    ) -> RetryReason | None:
        """Return why a retry is refused, or None if it is allowed.

        Half of the maximum balance is reserved for critical calls.

        Parameters
        ----------
        retries_left : int
            Retries left in the budget of the call chain.
        """
        if retries_left <= 0:
            return RetryReason.BUDGET_SPENT
        is_critical = importance is Importance.CRITICAL
        reserved = 0 if is_critical else self._cfg.retry_burst * CRITICAL_RESERVE_RATIO
        if self._balance(service).tokens < 1 + reserved:
            return RetryReason.RATIO_SPENT
        return None

    def withdraw(self, service: str) -> None:
        """Charge a retry to the service's balance."""
        self._balance(service).tokens -= 1

    def _balance(self, service):
        if service not in self._balances:
            self._balances[service] = RetryBalance(self._cfg.retry_burst)
        return self._balances[service]
