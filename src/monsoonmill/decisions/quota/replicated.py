"""Quotas whose spending every node knows: each tells all others what it spent.

Each node keeps an estimate of every organisation's bucket: its own spending
counts at once, that of others when their reports come. Between two reports a
node spends at most its share of the bucket, by its part of the demand, so that
all nodes together stay within what is left. A node that hears of only some of
the fleet takes the others' parts of the rate as spent: a partition loses
capacity and adds none.

How the reports travel varies, see reports.py.
"""

from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.quota.bucket import Bucket, ParkedCall
from monsoonmill.decisions.quota.pool import MOST_WANTED, POOL_SHARE, Wish
from monsoonmill.decisions.quota.quota import Quota
from monsoonmill.decisions.quota.reports import SpendingReports
from monsoonmill.decisions.quota.signals import (
    TokenDenied,
    TokenGiven,
    TokenReturned,
    TokenWanted,
)
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.messages import (
    PooledTokenRequest,
    PooledTokens,
    QuotaReport,
    ReportScope,
)
from monsoonmill.model import Organisation
from monsoonmill.settings import QuotaSettings

REPORT = "report"
FIRST_LEVEL_SHARE = 0.1
"""Part of the burst that a fleet without memory starts with; the rest may have
been spent just before all nodes were lost."""
DEMAND_WEIGHT = 0.3
"""Weight of one report interval in the estimate of the demand."""
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
SCARCE_DEMAND = 0.6
"""They are too if this part of an interval's allowance was wanted."""
LEAST_DEMAND = 0.01
"""Calls an interval below which a demand is not reported."""
PARK_INTERVALS = 2
"""A call waits for the tokens of so many intervals, half a second, before it is
refused: less than callers accept, and sooner than they could come back."""
PARK_TIME_SHARE = 0.25
"""Part of its time that a call waits for a token at the most; the rest is for its
run and what it calls."""
FLOOD = 1.3
"""Demand, in parts of the rate, above which no call waits: it would only take the
token of one that comes later, and all would be served late."""
SURE_SHARE = 0.5
"""Part of the bucket that others leave over for the next interval, at the least
while their demand does not jump."""
PLENTY_INTERVALS = 4
"""The same while the bucket is nearly full: then one node's callers came at once,
and the others leave their part."""
FLOOD_RETRY_INTERVALS = 2
"""While an organisation floods, a later return finds no more tokens than an early
one, and callers want their answers soon."""
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 2.0


class ReplicatedQuota(Quota):
    """Gives tokens by an estimate of the fleet's buckets."""

    def __init__(
        self,
        cfg: QuotaSettings,
        members: Membership,
        view: ConfigView,
        counters: Counters,
        reports: SpendingReports,
    ):
        self._cfg = cfg
        self._reports = reports
        self._members = members
        self._view = view
        self._counters = counters
        self._buckets: dict[str, Bucket] = {}
        self._timers = Timers()
        self._started_at = 0.0

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            QuotaReport: self.on_report,
            PooledTokenRequest: self.on_pooled_request,
            PooledTokens: self.on_pooled_tokens,
            TokenReturned: self.on_token_returned,
            ConfigChanged: self.on_config_changed,
            MembersChanged: self.on_members_changed,
        }

    def start(self, now):
        """Begin to report."""
        self._started_at = now
        self._timers.set(REPORT, now + self._interval_s())
        return ()

    def next_due(self):
        """Return when the next report is due."""
        return self._timers.next_due()

    def on_members_changed(self, signal: MembersChanged, now: float):
        """Count the nodes that may spend anew."""
        self._reports.count_members()
        return ()

    def _interval_s(self):
        return self._reports.interval_s()

    def _fleet_size(self):
        return self._reports.census.size

    def _known_share(self, now):
        """Return the part of the fleet whose spending is known."""
        if not self._reports.has_heard:
            return 1.0 if now - self._started_at > ALONE_S else ALONE_SHARE
        return self._reports.known_share(now)

    def _charge_silent(self, now):
        """Take what nodes may have spent that were heard of until now."""
        lost = self._reports.look(now)
        if not lost:
            return
        unseen = lost * MOST_SHARE / max(self._fleet_size(), 1)
        unseen_s = self._reports.contact_s(ReportScope.NODE, now)
        for bucket in self._buckets.values():
            spent = unseen * (bucket.burst + bucket.rate * unseen_s)
            bucket.level = max(bucket.level - spent, -bucket.burst)

    # Calls.
    def on_token_wanted(self, signal: TokenWanted, now: float):
        """Give a token if this node may spend one now."""
        organisation = self._view.config.organisations.get(signal.organisation)
        if organisation is None or organisation.rate <= 0:
            yield TokenGiven(signal.call)
            return
        bucket = self._bucket(organisation, now)
        bucket.wanted += 1
        if bucket.has_token and not bucket.parked:
            bucket.spend()
            yield TokenGiven(signal.call, organisation.name)
            return
        if self._may_ask(bucket, now) or len(bucket.parked) + 1 <= self._most_parked(
            bucket
        ):
            give_up_at = now + PARK_TIME_SHARE * max(signal.deadline - now, 0.0)
            bucket.parked.append(ParkedCall(signal.call, give_up_at))
            yield from self._ask_pool(bucket, now)
        else:
            yield self._deny(signal.call, bucket)

    # The group's pool.
    def _may_ask(self, bucket, now):
        return self._reports.census.has_pools and bucket.pool.may_ask(now)

    def _ask_pool(self, bucket, now):
        """Ask for tokens for the calls that wait, one request at a time."""
        pool = bucket.pool
        keeper = self._reports.census.pool_keeper(bucket.organisation)
        wanted = min(len(bucket.parked), MOST_WANTED)
        if not (keeper and wanted and pool.may_ask(now)) or pool.is_asked(now):
            return
        pool.note_asked(wanted, now)
        self._counters.add("pooled-token-requests")
        yield Send(keeper, PooledTokenRequest(bucket.organisation, wanted))

    def on_pooled_request(self, signal: Received, now: float):
        """Give tokens of the pool; another node may keep it by now."""
        name, wanted = signal.message.organisation, signal.message.wanted
        organisation = self._view.config.organisations.get(name)
        tokens = 0
        if organisation is not None and organisation.rate > 0:
            bucket = self._bucket(organisation, now)
            tokens = bucket.pool.take(wanted)
            wish = Wish(signal.node, wanted, now)
            if not tokens and not self._is_flooded(bucket):
                if bucket.pool.let_wait(wish):
                    return
        yield Send(signal.node, PooledTokens(name, tokens))

    def on_pooled_tokens(self, signal: Received, now: float):
        """Give the tokens to the calls that wait; those in vain are denied."""
        bucket = self._buckets.get(signal.message.organisation)
        if bucket is None:
            return
        tokens = signal.message.tokens
        bucket.pool.note_answer(tokens, now, self._interval_s())
        for _ in range(min(tokens, len(bucket.parked))):
            bucket.spend_pooled()
            yield TokenGiven(bucket.parked.popleft().name, bucket.organisation)
        yield from self._serve_parked(bucket, now)
        yield from self._ask_pool(bucket, now)

    def on_token_returned(self, signal: TokenReturned, now: float):
        """Let another call have the token of one that never ran."""
        bucket = self._buckets.get(signal.organisation)
        if bucket is not None:
            bucket.give_back()
            yield from self._serve_parked(bucket, now)

    def _deny(self, call, bucket):
        self._counters.add("tokens-denied")
        detail = (
            f"level {bucket.level:.1f} of {bucket.burst:g} at {bucket.rate:g}/s, "
            f"waiting {len(bucket.parked)}, nodes heard {self._reports.heard}"
        )
        return TokenDenied(call, self._retry_after_s(bucket), detail)

    def _serve_parked(self, bucket, now):
        """Give tokens to the calls that wait for them, and deny those in vain."""
        while bucket.parked and bucket.has_token:
            call = bucket.parked.popleft()
            if call.give_up_at < now:
                yield self._deny(call.name, bucket)
                continue
            bucket.spend()
            yield TokenGiven(call.name, bucket.organisation)
        while not self._may_ask(bucket, now) and (
            len(bucket.parked) > self._most_parked(bucket)
        ):
            yield self._deny(bucket.parked.pop().name, bucket)
        while bucket.parked and bucket.parked[0].give_up_at < now:
            yield self._deny(bucket.parked.popleft().name, bucket)

    def _is_flooded(self, bucket):
        """Return whether far more tokens are wanted than there will be."""
        wanted = bucket.demand + bucket.others_demand
        is_scarce = bucket.level < SCARCE_LEVEL * bucket.burst
        return is_scarce and wanted > FLOOD * bucket.pace * self._interval_s()

    def _most_parked(self, bucket):
        """Return how many calls the tokens of the next intervals suffice for."""
        if self._is_flooded(bucket):
            return 0
        is_plentiful = bucket.level >= SCARCE_LEVEL * bucket.burst
        intervals = PLENTY_INTERVALS if is_plentiful else PARK_INTERVALS
        return intervals * bucket.expected + bucket.allowance

    def _retry_after_s(self, bucket):
        if self._is_flooded(bucket):
            return FLOOD_RETRY_INTERVALS * self._interval_s()
        missing = max(1 - bucket.level, 0.0) + bucket.demand + bucket.others_demand
        wait_s = missing / max(bucket.pace, 1.0)
        return min(max(wait_s, LEAST_RETRY_S), MOST_RETRY_S)

    def _bucket(self, organisation: Organisation, now):
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = Bucket(
                organisation.name,
                organisation.rate,
                organisation.burst,
                organisation.burst * FIRST_LEVEL_SHARE,
                now,
                window_s=self._cfg.window_ms / 1000,
            )
            self._buckets[organisation.name] = bucket
            self._allow(bucket, now, self._known_share(now))
        return bucket

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Take other rates over; forget organisations that are gone."""
        organisations = signal.new.organisations
        for organisation in organisations.values():
            if organisation.rate > 0:
                self._bucket(organisation, now)
        for name in [one for one in self._buckets if one not in organisations]:
            for call in self._buckets.pop(name).parked:
                yield TokenDenied(call.name, LEAST_RETRY_S)
        share = self._known_share(now)
        for name, bucket in self._buckets.items():
            bucket.fill(now, share)
            limits = organisations[name]
            bucket.limit_to(limits.rate, limits.burst, now, self._cfg.ramp_ms / 1000)
            self._allow(bucket, now, share)

    # Reports.
    def tick(self, now):
        """Tell all other nodes what was spent, and allow the next interval's."""
        for _ in self._timers.pop_due(now):
            self._timers.set(REPORT, now + self._interval_s())
            self._note_scarcity(now)
            yield from self._report(now)
            self._charge_silent(now)
            share = self._known_share(now)
            for name, bucket in self._buckets.items():
                bucket.demand += DEMAND_WEIGHT * (bucket.wanted - bucket.demand)
                bucket.wanted = 0
                bucket.others_demand = self._reports.others_demand.get(name, 0.0)
                self._allow(bucket, now, share)
                for wish, tokens in bucket.pool.serve(now):
                    yield Send(wish.node, PooledTokens(name, tokens))
                yield from self._serve_parked(bucket, now)
                yield from self._ask_pool(bucket, now)
                bucket.expire_returned()

    def _note_scarcity(self, now):
        is_scarce = any(
            one.level < SCARCE_LEVEL * one.burst
            or one.wanted > SCARCE_DEMAND * one.allowed
            for one in self._buckets.values()
            if one.wanted or one.demand > LEAST_DEMAND
        )
        self._reports.note_scarce(is_scarce, now)

    def _allow(self, bucket, now, share):
        """Set what this node may spend in the next interval."""
        bucket.fill(now, share)
        # What is saved is spent over the intervals until all know of it.
        saved = bucket.level / self._reports.lag if bucket.level > 0 else bucket.level
        left = saved + bucket.pace * share * self._interval_s()
        if now - self._started_at < YOUNG_S or not self._reports.has_heard:
            # Others that started at the same time count on the same tokens, and
            # not all of them are known yet.
            left = min(left, bucket.rate * ALONE_SHARE * self._interval_s())
        equal = 1 / max(self._fleet_size() * share, 1.0)
        demand = bucket.demand + bucket.others_demand
        part = bucket.demand / demand if demand > 0 else equal
        bucket.steady_part += STEADY_WEIGHT * (part - bucket.steady_part)
        part = min(part, max(MOST_SHARE * equal, bucket.steady_part))
        allowed = left * max(part, LEAST_SHARE * equal)
        if self._reports.census.has_pools:
            bucket.pool.allow(left * POOL_SHARE * self._group_part(bucket, demand))
            allowed *= 1 - POOL_SHARE
        elif bucket.level >= 1:
            allowed = max(allowed, 1.0)
        # Fractions add up over intervals, or a small organisation gets nothing.
        kept = min(max(bucket.allowance, 0.0), 1.0) if allowed < 1 else 0.0
        bucket.allowance = max(kept + allowed, 0.0)
        bucket.allowed = max(bucket.allowance, 1.0)
        earned = bucket.pace * share * self._interval_s()
        spare = max(bucket.level, 0.0) * SURE_SHARE
        bucket.expected = max((earned + spare) * max(part, LEAST_SHARE * equal), 0.0)

    def _group_part(self, bucket, demand):
        """Return the own group's part of what all groups may spend."""
        census = self._reports.census
        equal = len(census.at_home) / max(census.size, 1)
        if demand <= 0:
            return equal
        home = bucket.demand + self._reports.home_demand.get(bucket.organisation, 0.0)
        return max(home / demand, LEAST_SHARE * equal)

    def _report(self, now):
        if not self._reports.is_due(now):
            return
        report = self._make_report()
        for bucket in self._buckets.values():
            bucket.reported = bucket.spent
        yield from self._reports.report(report, now)

    def _make_report(self):
        buckets = self._buckets.items()
        return QuotaReport(
            self._members.own.incarnation,
            {name: one.spent for name, one in buckets if one.spent != one.reported},
            {
                name: one.spent - one.reported
                for name, one in buckets
                if one.spent != one.reported
            },
            {
                name: round(one.demand, 2)
                for name, one in buckets
                if one.demand > LEAST_DEMAND
            },
        )

    def on_report(self, signal: Received, now: float):
        """Count what others have spent since their last report."""
        for one in self._reports.take(signal, now):
            organisation = self._view.config.organisations.get(one.organisation)
            if organisation is not None and organisation.rate > 0:
                self._bucket(organisation, now).level -= one.tokens
        if self._reports.wants_answer(signal.message, now):
            yield Send(signal.node, self._make_report())

    def status(self):
        """Return the estimated level of each organisation's bucket."""
        return {name: round(one.level, 1) for name, one in self._buckets.items()}
