"""Quotas whose spending every node knows: each tells all others what it spent.

Each node keeps an estimate of every organisation's bucket: its own spending
counts at once, that of others when their reports come. Between two reports a
node spends at most its share of the bucket, by its part of the demand, so that
all nodes together stay within what is left. A node that hears of only some of
the fleet takes the others' parts of the rate as spent: a partition loses
capacity and adds none.

How the reports travel is told in reports.py, how what is left is divided in
allowance.py, and what the nodes of a group have in common in pool.py.
"""

from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.quota.allowance import (
    LEAST_RETRY_S,
    MOST_SHARE,
    SCARCE_LEVEL,
    Allowance,
)
from monsoonmill.decisions.quota.bucket import Bucket, ParkedCall
from monsoonmill.decisions.quota.pool import MOST_WANTED, PendingRequest
from monsoonmill.decisions.quota.quota import Quota
from monsoonmill.decisions.quota.reports import SpendingReports
from monsoonmill.decisions.quota.signals import (
    TokenDenied,
    TokenGranted,
    TokenRequested,
    TokenReturned,
)
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.model import Organisation
from monsoonmill.quota_messages import (
    PooledTokenRequest,
    PooledTokens,
    QuotaReport,
    ReportScope,
)
from monsoonmill.settings import QuotaSettings

REPORT = "report"
FIRST_LEVEL_SHARE = 0.1
"""Part of the burst that a fleet without memory starts with; the rest may have
been spent just before all nodes were lost."""
DEMAND_WEIGHT = 0.3
"""Weight of one report interval in the estimate of the demand."""
SCARCE_DEMAND = 0.6
"""Tokens are scarce too if this part of an interval's allowance was wanted."""
LEAST_DEMAND = 0.01
"""Calls an interval below which a demand is not reported."""
PARK_TIME_SHARE = 0.25
"""Part of its time that a call waits for a token at the most; the rest is for its
run and what it calls."""


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
        self._allowance = Allowance(reports)

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
        self._allowance.started_at = now
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
        return self._reports.groups.size

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
    def on_token_requested(self, signal: TokenRequested, now: float):
        """Give a token if this node may spend one now."""
        organisation = self._view.config.organisations.get(signal.organisation)
        if organisation is None or organisation.rate <= 0:
            yield TokenGranted(signal.call)
            return
        bucket = self._bucket(organisation, now)
        bucket.wanted += 1
        if bucket.has_token and not bucket.parked:
            bucket.spend()
            yield TokenGranted(signal.call, organisation.name)
            return
        room = self._allowance.most_parked(bucket)
        if self._may_ask(bucket, now) or len(bucket.parked) + 1 <= room:
            give_up_at = now + PARK_TIME_SHARE * max(signal.deadline - now, 0.0)
            bucket.parked.append(ParkedCall(signal.call, give_up_at))
            yield from self._ask_pool(bucket, now)
        else:
            yield self._deny(signal.call, bucket)

    # The group's pool.
    def _may_ask(self, bucket, now):
        """Return whether calls may wait for an answer of the pool."""
        return self._reports.groups.has_pools and bucket.request.state(now) != "resting"

    def _ask_pool(self, bucket, now):
        """Ask for tokens for the calls that wait, one request at a time."""
        holder = self._reports.groups.pool_holder(bucket.organisation)
        wanted = min(len(bucket.parked), MOST_WANTED)
        if holder and wanted and bucket.request.state(now) == "idle":
            bucket.request.ask(wanted, now)
            self._counters.add("pooled-token-requests")
            yield Send(holder, PooledTokenRequest(bucket.organisation, wanted))

    def on_pooled_request(self, signal: Received, now: float):
        """Give tokens of the pool; another node may keep it by now."""
        name, wanted = signal.message.organisation, signal.message.wanted
        organisation = self._view.config.organisations.get(name)
        tokens = 0
        if organisation is not None and organisation.rate > 0:
            bucket = self._bucket(organisation, now)
            tokens = bucket.pool.take(wanted)
            request = PendingRequest(signal.node, wanted, now)
            if not tokens and not self._allowance.is_flooded(bucket):
                if bucket.pool.enqueue(request):
                    return
        yield Send(signal.node, PooledTokens(name, tokens))

    def on_pooled_tokens(self, signal: Received, now: float):
        """Give the tokens to the calls that wait; those in vain are denied."""
        bucket = self._buckets.get(signal.message.organisation)
        if bucket is None:
            return
        tokens = signal.message.tokens
        bucket.request.on_answer(tokens, self._interval_s(), now)
        for _ in range(min(tokens, len(bucket.parked))):
            bucket.spend_pooled()
            yield TokenGranted(bucket.parked.popleft().name, bucket.organisation)
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
        return TokenDenied(call, self._allowance.retry_after_s(bucket), detail)

    def _serve_parked(self, bucket, now):
        """Give tokens to the calls that wait for them, and deny those in vain."""
        while bucket.parked and bucket.has_token:
            call = bucket.parked.popleft()
            if call.give_up_at < now:
                yield self._deny(call.name, bucket)
                continue
            bucket.spend()
            yield TokenGranted(call.name, bucket.organisation)
        while not self._may_ask(bucket, now) and (
            len(bucket.parked) > self._allowance.most_parked(bucket)
        ):
            yield self._deny(bucket.parked.pop().name, bucket)
        while bucket.parked and bucket.parked[0].give_up_at < now:
            yield self._deny(bucket.parked.popleft().name, bucket)

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
            self._allowance.allow(bucket, now, self._allowance.known_share(now))
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
        share = self._allowance.known_share(now)
        for name, bucket in self._buckets.items():
            bucket.fill(now, share)
            limits = organisations[name]
            bucket.limit_to(limits.rate, limits.burst, now, self._cfg.ramp_ms / 1000)
            self._allowance.allow(bucket, now, share)

    # Reports.
    def tick(self, now):
        """Tell all other nodes what was spent, and allow the next interval's."""
        for _ in self._timers.pop_due(now):
            self._timers.set(REPORT, now + self._interval_s())
            self._note_scarcity(now)
            yield from self._report(now)
            self._charge_silent(now)
            share = self._allowance.known_share(now)
            for name, bucket in self._buckets.items():
                bucket.demand += DEMAND_WEIGHT * (bucket.wanted - bucket.demand)
                bucket.wanted = 0
                bucket.others_demand = self._reports.others_demand.get(name, 0.0)
                self._allowance.allow(bucket, now, share)
                for request, tokens in bucket.pool.serve(now):
                    yield Send(request.node, PooledTokens(name, tokens))
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
