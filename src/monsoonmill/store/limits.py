"""Limits of the key-value service on the size of values and the rate of calls."""

from abc import ABC, abstractmethod

MAX_VALUE_BYTES = 1 << 20
"""Maximum size of a value."""


class CallLimit(ABC):
    """Rate limit of calls."""

    @abstractmethod
    def take(self, now: float) -> bool:
        """Return whether a call is within the limit, and count it if so."""

    @staticmethod
    def from_rate(rate: float, burst_s: float) -> "CallLimit":
        """Return a limit of ``rate`` calls per second; 0 means no limit."""
        return TokenBucket(rate, rate * burst_s) if rate > 0 else Unlimited()


class Unlimited(CallLimit):
    """Permits every call."""

    def take(self, now: float) -> bool:
        """Return True."""
        return True


class TokenBucket(CallLimit):
    """Token bucket; each call takes a token.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Capacity of the bucket; at least one token.
    """

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._refilled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now):
        elapsed = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._refilled_at = now
