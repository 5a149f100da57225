"""What a node knows of an organisation's tokens, and of other nodes' spending."""

from collections import deque

from attrs import define, field, frozen

from monsoonmill.decisions.quota.pool import Pool, PoolRequest


@frozen
class ParkedCall:
    """A call that waits for a token until ``give_up_at``."""

    name: str
    give_up_at: float


@frozen
class Ramp:
    """A limit on its way to another value; only a lower one takes time.

    To lower a limit at one moment would refuse all calls of its organisation until
    the bucket is out of debt.

    Attributes
    ----------
    source, target : float
        Limit at ``began_at`` and from ``ends_at`` on.
    """

    source: float
    target: float
    began_at: float
    ends_at: float

    @classmethod
    def between(cls, source: float, target: float, now: float, time_s: float) -> "Ramp":
        """Return the way from one limit to another; it takes ``time_s`` seconds."""
        return cls(max(source, target), target, now, now + time_s)

    def at(self, now: float) -> float:
        """Return the limit at a time."""
        if now >= self.ends_at:
            return self.target
        left = (self.ends_at - now) / (self.ends_at - self.began_at)
        return self.target + min(left, 1.0) * (self.source - self.target)


@define
class Bucket:
    """One organisation's tokens as this node knows them.

    Attributes
    ----------
    organisation : str
        Its name.
    level : float
        Estimate of the tokens that are left in the whole fleet.
    spent : int
        Tokens that this node has spent since its start.
    reported : int
        Of them, those that its last report told of.
    wanted : int
        Calls that asked since the last report.
    demand : float
        Calls that ask at this node in an interval, smoothed.
    steady_part : float
        This node's part of the demand, smoothed over seconds.
    others_demand : float
        The same at all other nodes together, by their reports.
    allowance : float
        Tokens that this node may spend until its next report.
    allowed : float
        What the allowance was at the last report.
    expected : float
        Tokens that the next interval will most likely bring.
    parked : deque of ParkedCall
        Calls that wait for the next interval's tokens.
    returned : int
        Spent tokens of calls that never ran. They may be spent again until the
        report after next, so that none are saved up.
    returned_lately : int
        Of them, those that came back since the last report.
    window_s : float
        The burst may be spent anew once in each window of this length; 0 if it
        only comes back while the rate is not used up.
    highest : deque of (float, float)
        Times and levels of the last window, each higher than all that follow.
    ramps : tuple of Ramp
        Ways of rate and burst to what the configuration says, if it lowered them.
    pool : Pool
        Tokens that the nodes of a group have in common, if this node keeps them.
    request : PoolRequest
        This node's request for some.
    """

    organisation: str
    rate: float
    burst: float
    level: float
    filled_at: float
    spent: int = 0
    reported: int = 0
    wanted: int = 0
    demand: float = 0.0
    steady_part: float = 0.0
    others_demand: float = 0.0
    allowance: float = 0.0
    allowed: float = 1.0
    expected: float = 0.0
    parked: deque[ParkedCall] = field(factory=deque)
    returned: int = 0
    returned_lately: int = 0
    window_s: float = 0.0
    highest: deque[tuple[float, float]] = field(factory=deque)
    ramps: tuple[Ramp, Ramp] | None = None
    pool: Pool = field(factory=Pool)
    request: PoolRequest = field(factory=PoolRequest)

    def __attrs_post_init__(self):
        # Before this node knew of the bucket it may have been full.
        self.highest.append((self.filled_at, self.burst))

    @property
    def pace(self) -> float:
        """Tokens a second: the rate, and the part of the burst that comes back.

        The bucket was never above the highest level of the last window, so what
        comes back in a window and what the bucket held at its start are a burst
        together, and no window brings more than its rate and one burst.
        """
        if self.window_s <= 0:
            return self.rate
        return self.rate + max(self.burst - self.highest[0][1], 0.0) / self.window_s

    def limit_to(self, rate: float, burst: float, now: float, ramp_s: float) -> None:
        """Follow another configuration; what is lower comes down over ``ramp_s``."""
        self.ramps = (
            Ramp.between(self.rate, rate, now, ramp_s),
            Ramp.between(self.burst, burst, now, ramp_s),
        )
        self._follow_ramps(now)

    def _follow_ramps(self, now):
        if self.ramps is not None:
            self.rate, self.burst = (one.at(now) for one in self.ramps)
            if all(now >= one.ends_at for one in self.ramps):
                self.ramps = None

    def fill(self, now: float, share: float) -> None:
        """Add the tokens that have come since the last time.

        Parameters
        ----------
        share : float
            Part of the fleet whose spending is known.
        """
        earned = self.pace * share * max(now - self.filled_at, 0.0)
        self._follow_ramps(now)
        self.level = min(self.level + earned, max(self.burst * share, 1.0))
        self.filled_at = now
        self._note_level(now)

    def _note_level(self, now):
        while self.highest and self.highest[-1][1] <= self.level:
            self.highest.pop()
        self.highest.append((now, self.level))
        while self.highest[0][0] < now - self.window_s:
            self.highest.popleft()

    @property
    def has_token(self) -> bool:
        """Whether a token may be spent now."""
        return self.returned > 0 or self.allowance >= 1

    def give_back(self) -> None:
        """Take back a token that was spent for nothing."""
        self.returned += 1
        self.returned_lately += 1

    def expire_returned(self) -> None:
        """Forget the tokens that came back before the last report."""
        self.returned = min(self.returned, self.returned_lately)
        self.returned_lately = 0

    def spend(self) -> None:
        """Take one token; one that came back is counted as spent already."""
        if self.returned > 0:
            self.returned -= 1
            return
        self.allowance -= 1
        self.spend_pooled()

    def spend_pooled(self) -> None:
        """Take one token of the group's pool."""
        self.level -= 1
        self.spent += 1
