"""Token buckets, the measure of a rate and a burst."""

from math import exp, inf

from attrs import define

from monsoonmill.model import Organisation

RATE_MEMORY_S = 1.0


@define
class TokenBucket:
    """Tokens that come at a rate up to a capacity.

    Attributes
    ----------
    reserved : float
        Tokens in flight; they count against the capacity.
    updated_at : float
        Time up to which ``level`` is worked out.
    """

    updated_at: float
    rate: float = 0.0
    capacity: float = 0.0
    level: float = 0.0
    reserved: float = 0.0

    def fill(self, now: float) -> None:
        """Add the tokens that came until ``now``."""
        elapsed_s = max(now - self.updated_at, 0.0)
        room = max(self.capacity - self.reserved, 0.0)
        self.level = min(self.level + self.rate * elapsed_s, room)
        self.updated_at = max(now, self.updated_at)

    def reshape(self, organisation: Organisation, share: float, now: float) -> None:
        """Take on a share of an organisation's rate and burst."""
        self.fill(now)
        self.rate = organisation.rate * share
        self.capacity = organisation.burst * share
        self.fill(now)

    def put(self, tokens: float) -> None:
        """Add tokens that come from another bucket."""
        self.level += tokens
        self.fill(self.updated_at)

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens if there are as many."""
        self.fill(now)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def wait_s(self, tokens: float) -> float:
        """Return how long until there are as many tokens."""
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
        self.rate = self.value(now) + events / RATE_MEMORY_S
        self.updated_at = max(now, self.updated_at)

    def value(self, now: float) -> float:
        """Return the rate in events a second."""
        elapsed_s = max(now - self.updated_at, 0.0)
        return self.rate * exp(-elapsed_s / RATE_MEMORY_S)
