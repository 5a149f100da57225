"""A node's estimate of an organisation's token bucket in the whole fleet."""

from collections import deque

from attrs import define, field, frozen

from monsoonmill.decisions.quota.pool import PoolRequest, TokenPool

MIN_DEMAND = 0.01
"""Smoothed calls per interval below which there is no demand."""


@frozen
class ParkedCall:
    """A call that waits for a token until ``expires_at``."""

    call: str
    expires_at: float


@frozen
class Ramp:
    """Linear transition of a limit to another value; only a decrease takes time.

    A sudden decrease would refuse all calls of the organisation until its bucket
    is out of debt.

    Attributes
    ----------
    start_value, end_value : float
        Limit at ``starts_at`` and from ``ends_at`` on.
    """

    start_value: float
    end_value: float
    starts_at: float
    ends_at: float

    @classmethod
    def create(
        cls, current: float, target: float, now: float, duration_s: float
    ) -> "Ramp":
        """Return a transition between two limits that takes ``duration_s``."""
        return cls(max(current, target), target, now, now + duration_s)

    def value_at(self, now: float) -> float:
        """Return the limit at a time."""
        if now >= self.ends_at:
            return self.end_value
        remaining = (self.ends_at - now) / (self.ends_at - self.starts_at)
        return self.end_value + min(remaining, 1.0) * (
            self.start_value - self.end_value
        )


@define
class Bucket:
    """One organisation's token bucket as this node knows it.

    Attributes
    ----------
    organisation : str
        Name of the organisation.
    level : float
        Estimate of the tokens that are left in the whole fleet.
    spent : int
        Tokens that this node has spent since its start.
    reported_spent : int
        Those of ``spent`` that the last report included.
    requested : int
        Calls that requested a token since the last report.
    demand : float
        Calls per interval that request a token at this node, smoothed.
    long_term_part : float
        This node's part of the demand, smoothed over seconds.
    remote_demand : float
        Sum of the demand at all other nodes, from their reports.
    allowance : float
        Tokens that this node may spend until its next report.
    interval_allowance : float
        The allowance as it was at the last report.
    expected_tokens : float
        Tokens that the next interval will most likely bring.
    parked : deque of ParkedCall
        Calls that wait for the next interval's tokens.
    returned : int
        Spent tokens of calls that never ran. They may be spent again until the
        report after next, so that they don't accumulate.
    returned_since_report : int
        Those of ``returned`` that came back since the last report.
    window_s : float
        The burst may be spent again in each window of this length; 0 if it is
        refilled only while the rate is not used up.
    level_maxima : deque of (float, float)
        Times and levels of the last window, each level higher than all later ones.
    ramps : tuple of Ramp
        Transitions of rate and burst if the configuration has lowered them.
    pool : TokenPool
        Tokens shared by the nodes of the group, if this node holds the pool.
    pool_request : PoolRequest
        This node's requests to the pool.
    """

    organisation: str
    rate: float
    burst: float
    level: float
    refilled_at: float
    spent: int = 0
    reported_spent: int = 0
    requested: int = 0
    demand: float = 0.0
    long_term_part: float = 0.0
    remote_demand: float = 0.0
    allowance: float = 0.0
    interval_allowance: float = 1.0
    expected_tokens: float = 0.0
    parked: deque[ParkedCall] = field(factory=deque)
    returned: int = 0
    returned_since_report: int = 0
    window_s: float = 0.0
    level_maxima: deque[tuple[float, float]] = field(factory=deque)
    ramps: tuple[Ramp, Ramp] | None = None
    pool: TokenPool = field(factory=TokenPool)
    pool_request: PoolRequest = field(factory=PoolRequest)

    def __attrs_post_init__(self):
        # The bucket may have been full before this node knew of it.
        self.level_maxima.append((self.refilled_at, self.burst))

    @property
    def refill_rate(self) -> float:
        """Tokens per second: the rate plus the part of the burst that is refilled.

        The bucket was never above the highest level of the last window. So the
        refill of a window and the level at its start add up to one burst, and no
        window brings more than its rate and one burst.
        """
        if self.window_s <= 0:
            return self.rate
        return (
            self.rate + max(self.burst - self.level_maxima[0][1], 0.0) / self.window_s
        )

    def change_limits(
        self, rate: float, burst: float, now: float, ramp_s: float
    ) -> None:
        """Apply another configuration; decreases take ``ramp_s``."""
        self.ramps = (
            Ramp.create(self.rate, rate, now, ramp_s),
            Ramp.create(self.burst, burst, now, ramp_s),
        )
        self._apply_ramps(now)

    def _apply_ramps(self, now):
        if self.ramps is not None:
            self.rate, self.burst = (ramp.value_at(now) for ramp in self.ramps)
            if all(now >= ramp.ends_at for ramp in self.ramps):
                self.ramps = None

    def refill(self, now: float, share: float) -> None:
        """Add the tokens earned since the last refill.

        Parameters
        ----------
        share : float
            Part of the fleet whose spending is known.
        """
        earned = self.refill_rate * share * max(now - self.refilled_at, 0.0)
        self._apply_ramps(now)
        self.level = min(self.level + earned, max(self.burst * share, 1.0))
        self.refilled_at = now
        self._record_level(now)

    def _record_level(self, now):
        while self.level_maxima and self.level_maxima[-1][1] <= self.level:
            self.level_maxima.pop()
        self.level_maxima.append((now, self.level))
        while self.level_maxima[0][0] < now - self.window_s:
            self.level_maxima.popleft()

    @property
    def is_at_rest(self) -> bool:
        """Whether the next interval changes nothing: full, unused and reported."""
        return (
            not self.requested
            and self.demand < MIN_DEMAND
            and self.remote_demand < MIN_DEMAND
            and not self.parked
            and not self.returned
            and self.pool.is_full
            and self.allowance >= 1
            and self.ramps is None
            and self.spent == self.reported_spent
            and self.level >= self.burst
        )

    @property
    def has_token(self) -> bool:
        """Whether a token may be spent now."""
        return self.returned > 0 or self.allowance >= 1

    def return_token(self) -> None:
        """Accept the token of a call that never ran."""
        self.returned += 1
        self.returned_since_report += 1

    def expire_returned(self) -> None:
        """Discard the tokens that were returned before the last report."""
        self.returned = min(self.returned, self.returned_since_report)
        self.returned_since_report = 0

    def spend(self) -> None:
        """Spend one token; a returned one is already counted as spent."""
        if self.returned > 0:
            self.returned -= 1
            return
        self.allowance -= 1
        self.spend_pooled()

    def spend_pooled(self) -> None:
        """Spend one token of the group's pool."""
        self.level -= 1
        self.spent += 1
