"""Computes how many of an organisation's tokens a node may spend per interval."""

from monsoonmill.decisions.quota.bucket import Bucket
from monsoonmill.decisions.quota.pool import POOL_SHARE
from monsoonmill.decisions.quota.report_exchange import ReportExchange

MIN_EQUAL_SHARES = 0.5
"""Lower bound of a node's part of the bucket, in equal shares."""
MAX_EQUAL_SHARES = 1.0
"""Upper bound of a node's part of the bucket, in equal shares, unless its long-term
part of the demand is larger. Nodes that can't be reached may need the rest."""
LONG_TERM_WEIGHT = 0.1
"""Smoothing weight of one report interval in the long-term part of the demand."""
NO_PEERS_SHARE = 0.05
"""Part of the rate that a node spends before it has a report of any other node."""
STARTUP_S = 1.0
"""Time after the start in which a node may know few of the others."""
NO_PEERS_TIMEOUT_S = 3.0
"""A node without a report of any other node by then is the only one."""
SCARCE_LEVEL = 0.6
"""Tokens are scarce below this part of the burst."""
PARK_INTERVALS = 2
"""Calls are parked as long as the tokens of this many intervals (half a second)
suffice for them. This is less than callers accept, and a refused caller could not
retry sooner."""
PLENTIFUL_PARK_INTERVALS = 4
"""The same while the bucket is nearly full: a burst has then reached a single node,
and the other nodes leave their parts unspent."""
OVERLOAD_FACTOR = 1.3
"""Demand, relative to the rate, above which no call is parked. A parked call would
only take the token of a later one, and all calls would be served late."""
EXPECTED_LEVEL_SHARE = 0.5
"""Part of the bucket that the other nodes leave for the next interval, at least
while their demand does not jump."""
OVERLOAD_RETRY_INTERVALS = 2
"""Intervals after which a denied caller may retry under overload. A later retry finds
no more tokens than an early one, and callers need their answers soon."""
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
"""Bounds of the retry delay sent to a denied caller without overload."""


class AllowanceCalculator:
    """Divides the remaining tokens among the nodes in proportion to their demand.

    Attributes
    ----------
    started_at : float
        Time at which this node began to grant tokens.
    """

    def __init__(self, reports: ReportExchange):
        self._reports = reports
        self.started_at = 0.0

    def known_share(self, now: float) -> float:
        """Return the part of the fleet whose spending is known."""
        if not self._reports.has_reports:
            return 1.0 if now - self.started_at > NO_PEERS_TIMEOUT_S else NO_PEERS_SHARE
        return self._reports.known_share(now)

    def is_overloaded(self, bucket: Bucket) -> bool:
        """Return whether tokens are scarce and the demand far exceeds the rate."""
        total_demand = bucket.demand + bucket.remote_demand
        is_scarce = bucket.level < SCARCE_LEVEL * bucket.burst
        return (
            is_scarce
            and total_demand
            > OVERLOAD_FACTOR * bucket.refill_rate * self._reports.interval_s()
        )

    def max_parked(self, bucket: Bucket) -> float:
        """Return how many calls the tokens of the next intervals suffice for."""
        if self.is_overloaded(bucket):
            return 0
        is_plentiful = bucket.level >= SCARCE_LEVEL * bucket.burst
        intervals = PLENTIFUL_PARK_INTERVALS if is_plentiful else PARK_INTERVALS
        return intervals * bucket.expected_tokens + bucket.allowance

    def retry_after_s(self, bucket: Bucket) -> float:
        """Return the delay after which a retry may get a token."""
        if self.is_overloaded(bucket):
            return OVERLOAD_RETRY_INTERVALS * self._reports.interval_s()
        missing = max(1 - bucket.level, 0.0) + bucket.demand + bucket.remote_demand
        wait_s = missing / max(bucket.refill_rate, 1.0)
        return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)

    def update_allowance(self, bucket: Bucket, now: float, share: float) -> None:
        """Set what this node may spend in the next interval."""
        bucket.refill(now, share)
        # Saved tokens are spread over the intervals until all nodes know of their use.
        saved = bucket.level / self._reports.lag if bucket.level > 0 else bucket.level
        available = saved + bucket.refill_rate * share * self._reports.interval_s()
        if now - self.started_at < STARTUP_S or not self._reports.has_reports:
            # Nodes that started at the same time count on the same tokens, and not
            # all of them are known yet.
            available = min(
                available, bucket.rate * NO_PEERS_SHARE * self._reports.interval_s()
            )
        equal_share = 1 / max(self._reports.groups.size * share, 1.0)
        total_demand = bucket.demand + bucket.remote_demand
        part = bucket.demand / total_demand if total_demand > 0 else equal_share
        bucket.long_term_part += LONG_TERM_WEIGHT * (part - bucket.long_term_part)
        part = min(part, max(MAX_EQUAL_SHARES * equal_share, bucket.long_term_part))
        tokens = available * max(part, MIN_EQUAL_SHARES * equal_share)
        if self._reports.groups.has_pools:
            bucket.pool.refill(
                available * POOL_SHARE * self._group_part(bucket, total_demand)
            )
            tokens *= 1 - POOL_SHARE
        elif bucket.level >= 1:
            tokens = max(tokens, 1.0)
        # Fractions accumulate over intervals; otherwise an organisation with a small
        # rate would never get a token.
        carried = min(max(bucket.allowance, 0.0), 1.0) if tokens < 1 else 0.0
        bucket.allowance = max(carried + tokens, 0.0)
        bucket.interval_allowance = max(bucket.allowance, 1.0)
        earned = bucket.refill_rate * share * self._reports.interval_s()
        spare = max(bucket.level, 0.0) * EXPECTED_LEVEL_SHARE
        bucket.expected_tokens = max(
            (earned + spare) * max(part, MIN_EQUAL_SHARES * equal_share), 0.0
        )

    def _group_part(self, bucket, total_demand):
        """Return the part of the available tokens that this group may spend."""
        groups = self._reports.groups
        equal_share = len(groups.local_nodes) / max(groups.size, 1)
        if total_demand <= 0:
            return equal_share
        group_demand = bucket.demand + self._reports.local_group_demand.get(
            bucket.organisation, 0.0
        )
        return max(group_demand / total_demand, MIN_EQUAL_SHARES * equal_share)
