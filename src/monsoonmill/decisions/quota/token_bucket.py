"""Token buckets with a refill rate and a capacity."""

from math import exp, inf

from attrs import define

from monsoonmill.model import Organisation

RATE_DECAY_S = 1.0
"""Time within which the weight of an event in a rate estimate falls to 1/e."""


@define
class TokenBucket:
    """Bucket that is refilled at a rate up to a capacity.

    Attributes
    ----------
    reserved : float
        Tokens in flight; they count against the capacity.
    updated_at : float
        Time of the last refill.
    """

    updated_at: float
    rate: float = 0.0
    capacity: float = 0.0
    level: float = 0.0
    reserved: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens earned until ``now``."""
        elapsed_s = max(now - self.updated_at, 0.0)
        max_level = max(self.capacity - self.reserved, 0.0)
        self.level = min(self.level + self.rate * elapsed_s, max_level)
        self.updated_at = max(now, self.updated_at)

    def resize(self, organisation: Organisation, share: float, now: float) -> None:
        """Set rate and capacity to a share of an organisation's rate and burst."""
        self.refill(now)
        self.rate = organisation.rate * share
        self.capacity = organisation.burst * share
        self.refill(now)

    def deposit(self, tokens: float) -> None:
        """Add tokens from another bucket, up to the capacity."""
        self.level += tokens
        self.refill(self.updated_at)

    def take(self, tokens: float, now: float) -> bool:
        """Remove tokens; return False and remove none if there are too few."""
        self.refill(now)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def wait_s(self, tokens: float) -> float:
        """Return the time until the bucket contains this many tokens."""
        missing = tokens - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else inf


@define
class RateEstimate:
    """Recent rate of events, with exponential decay."""

    updated_at: float
    rate: float = 0.0

    def add(self, events: float, now: float) -> None:
        """Count events."""
        self.rate = self.value(now) + events / RATE_DECAY_S
        self.updated_at = max(now, self.updated_at)

    def value(self, now: float) -> float:
        """Return the rate in events per second."""
        elapsed_s = max(now - self.updated_at, 0.0)
        return self.rate * exp(-elapsed_s / RATE_DECAY_S)
