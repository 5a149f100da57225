"""What a node may spend of an organisation's tokens until its next report."""

from monsoonmill.decisions.quota.bucket import Bucket
from monsoonmill.decisions.quota.pool import POOL_SHARE
from monsoonmill.decisions.quota.reports import SpendingReports

LEAST_SHARE = 0.5
"""A node counts on at least this part of an equal share of the bucket."""
MOST_SHARE = 1.0
"""A node counts on at most this many equal shares of the bucket, unless its part
of the demand has been larger for long: others that it can't hear may want them."""
STEADY_WEIGHT = 0.1
"""Weight of one report interval in the long-term part of the demand."""
ALONE_SHARE = 0.05
"""Part of the rate that a node gives that has not heard of any other yet."""
YOUNG_S = 1.0
"""A node that has just started may know few of the others for so long."""
ALONE_S = 3.0
"""A node that has heard of no other by then is the only one."""
SCARCE_LEVEL = 0.6
"""Below this part of its burst an organisation's tokens are scarce."""
PARK_INTERVALS = 2
"""A call waits for the tokens of so many intervals, half a second, before it is
refused: less than callers accept, and sooner than they could come back."""
PLENTY_INTERVALS = 4
"""The same while the bucket is nearly full: then one node's callers came at once,
and the others leave their part."""
FLOOD = 1.3
"""Demand, in parts of the rate, above which no call waits: it would only take the
token of one that comes later, and all would be served late."""
SURE_SHARE = 0.5
"""Part of the bucket that others leave over for the next interval, at the least
while their demand does not jump."""
FLOOD_RETRY_INTERVALS = 2
"""While an organisation floods, a later return finds no more tokens than an early
one, and callers want their answers soon."""
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 2.0


class Allowance:
    """Divides the tokens that are left among the nodes, by their demand.

    Attributes
    ----------
    started_at : float
        When this node began to give tokens.
    """

    def __init__(self, reports: SpendingReports):
        self._reports = reports
        self.started_at = 0.0

    def known_share(self, now: float) -> float:
        """Return the part of the fleet whose spending is known."""
        if not self._reports.has_heard:
            return 1.0 if now - self.started_at > ALONE_S else ALONE_SHARE
        return self._reports.known_share(now)

    def is_flooded(self, bucket: Bucket) -> bool:
        """Return whether far more tokens are wanted than there will be."""
        wanted = bucket.demand + bucket.others_demand
        is_scarce = bucket.level < SCARCE_LEVEL * bucket.burst
        return is_scarce and wanted > FLOOD * bucket.pace * self._reports.interval_s()

    def most_parked(self, bucket: Bucket) -> float:
        """Return how many calls the tokens of the next intervals suffice for."""
        if self.is_flooded(bucket):
            return 0
        is_plentiful = bucket.level >= SCARCE_LEVEL * bucket.burst
        intervals = PLENTY_INTERVALS if is_plentiful else PARK_INTERVALS
        return intervals * bucket.expected + bucket.allowance

    def retry_after_s(self, bucket: Bucket) -> float:
        """Return when another try may find a token."""
        if self.is_flooded(bucket):
            return FLOOD_RETRY_INTERVALS * self._reports.interval_s()
        missing = max(1 - bucket.level, 0.0) + bucket.demand + bucket.others_demand
        wait_s = missing / max(bucket.pace, 1.0)
        return min(max(wait_s, LEAST_RETRY_S), MOST_RETRY_S)

    def allow(self, bucket: Bucket, now: float, share: float) -> None:
        """Set what this node may spend in the next interval."""
        bucket.fill(now, share)
        # What is saved is spent over the intervals until all know of it.
        saved = bucket.level / self._reports.lag if bucket.level > 0 else bucket.level
        left = saved + bucket.pace * share * self._reports.interval_s()
        if now - self.started_at < YOUNG_S or not self._reports.has_heard:
            # Others that started at the same time count on the same tokens, and
            # not all of them are known yet.
            left = min(left, bucket.rate * ALONE_SHARE * self._reports.interval_s())
        equal = 1 / max(self._reports.groups.size * share, 1.0)
        demand = bucket.demand + bucket.others_demand
        part = bucket.demand / demand if demand > 0 else equal
        bucket.steady_part += STEADY_WEIGHT * (part - bucket.steady_part)
        part = min(part, max(MOST_SHARE * equal, bucket.steady_part))
        allowed = left * max(part, LEAST_SHARE * equal)
        if self._reports.groups.has_pools:
            bucket.pool.allow(left * POOL_SHARE * self._group_part(bucket, demand))
            allowed *= 1 - POOL_SHARE
        elif bucket.level >= 1:
            allowed = max(allowed, 1.0)
        # Fractions add up over intervals, or a small organisation gets nothing.
        kept = min(max(bucket.allowance, 0.0), 1.0) if allowed < 1 else 0.0
        bucket.allowance = max(kept + allowed, 0.0)
        bucket.allowed = max(bucket.allowance, 1.0)
        earned = bucket.pace * share * self._reports.interval_s()
        spare = max(bucket.level, 0.0) * SURE_SHARE
        bucket.expected = max((earned + spare) * max(part, LEAST_SHARE * equal), 0.0)

    def _group_part(self, bucket, demand):
        """Return the own group's part of what all groups may spend."""
        groups = self._reports.groups
        equal = len(groups.own_nodes) / max(groups.size, 1)
        if demand <= 0:
            return equal
        home = bucket.demand + self._reports.own_group_demand.get(
            bucket.organisation, 0.0
        )
        return max(home / demand, LEAST_SHARE * equal)
