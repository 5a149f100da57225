"""Quotas with replicated spending: each node reports its spending to all others.

Each node keeps an estimate of every organisation's bucket. Its own spending counts
at once, that of other nodes when their reports arrive. Between two reports a node
spends at most its part of the bucket, in proportion to its demand, so that all
nodes together stay within what is left. A node that gets reports of only a part of the
fleet counts the other nodes' parts of the rate as spent: a partition loses capacity
and adds none.

report_exchange.py implements the exchange of reports, allowance.py the division of
what is left, and pool.py the tokens shared by the nodes of a group.
"""

from monsoonmill.counters import Counters
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import ConfigChanged
from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.members.signals import MembersChanged
from monsoonmill.decisions.quota.allowance import (
    MAX_EQUAL_SHARES,
    MIN_RETRY_S,
    SCARCE_LEVEL,
    AllowanceCalculator,
)
from monsoonmill.decisions.quota.bucket import MIN_DEMAND, Bucket, ParkedCall
from monsoonmill.decisions.quota.pool import MAX_REQUESTED, PendingRequest
from monsoonmill.decisions.quota.quota import Quota
from monsoonmill.decisions.quota.report_exchange import ReportExchange
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
INITIAL_LEVEL_SHARE = 0.1
"""Part of the burst that a fleet without stored state starts with; the rest may have
been spent just before all nodes were lost."""
DEMAND_WEIGHT = 0.3
"""Smoothing weight of one report interval in the estimate of the demand."""
SCARCE_DEMAND = 0.6
"""Tokens are also scarce if this part of an interval's allowance was requested."""
REST_INTERVALS = 16
"""A bucket that is full and unused is updated once in this many intervals, and when
the number of nodes that may spend has changed."""
MAX_PARK_SHARE = 0.25
"""Part of a call's remaining time that it may be parked; the rest is for its
execution and the calls it makes."""


class ReplicatedQuota(Quota):
    """Grants tokens by an estimate of the fleet's buckets."""

    def __init__(
        self,
        cfg: QuotaSettings,
        members: Membership,
        view: ConfigView,
        counters: Counters,
        reports: ReportExchange,
    ):
        self._cfg = cfg
        self._reports = reports
        self._members = members
        self._view = view
        self._counters = counters
        self._buckets: dict[str, Bucket] = {}
        self._timers = Timers()
        self._allowances = AllowanceCalculator(reports)
        self._intervals = 0
        self._updated_for = (0, 0.0)

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
        """Schedule the first report."""
        self._allowances.started_at = now
        self._timers.set(REPORT, now + self._interval_s())
        return ()

    def next_due(self):
        """Return when the next report is due."""
        return self._timers.next_due()

    def on_members_changed(self, signal: MembersChanged, now: float):
        """Update the set of nodes that may spend."""
        self._reports.update_members()
        return ()

    def _interval_s(self):
        return self._reports.interval_s()

    def _fleet_size(self):
        return self._reports.groups.size

    def _charge_silent_nodes(self, now):
        """Charge what nodes that have just become silent may have spent."""
        silent_nodes = self._reports.update_sources(now)
        if not silent_nodes:
            return
        share = silent_nodes * MAX_EQUAL_SHARES / max(self._fleet_size(), 1)
        silence_s = self._reports.silence_timeout_s(ReportScope.NODE, now)
        for bucket in self._buckets.values():
            spent = share * (bucket.burst + bucket.rate * silence_s)
            bucket.level = max(bucket.level - spent, -bucket.burst)

    # Calls.
    def on_token_requested(self, signal: TokenRequested, now: float):
        """Grant a token at once, or park or deny the call."""
        organisation = self._view.config.organisations.get(signal.organisation)
        if organisation is None or organisation.rate <= 0:
            yield TokenGranted(signal.call)
            return
        bucket = self._bucket(organisation, now)
        bucket.requested += 1
        if bucket.has_token and not bucket.parked:
            bucket.spend()
            yield TokenGranted(signal.call, organisation.name)
            return
        max_parked = self._allowances.max_parked(bucket)
        if self._may_request(bucket, now) or len(bucket.parked) + 1 <= max_parked:
            expires_at = now + MAX_PARK_SHARE * max(signal.deadline - now, 0.0)
            bucket.parked.append(ParkedCall(signal.call, expires_at))
            yield from self._request_pooled(bucket, now)
        else:
            yield self._deny(signal.call, bucket)

    # The group's pool.
    def _may_request(self, bucket, now):
        """Return whether calls may wait for an answer of the pool."""
        return (
            self._reports.groups.has_pools
            and bucket.pool_request.state(now) != "resting"
        )

    def _request_pooled(self, bucket, now):
        """Request tokens for the parked calls, one request at a time."""
        holder = self._reports.groups.pool_holder(bucket.organisation)
        wanted = min(len(bucket.parked), MAX_REQUESTED)
        if holder and wanted and bucket.pool_request.state(now) == "idle":
            bucket.pool_request.request(wanted, now)
            self._counters.add("pooled-token-requests")
            yield Send(holder, PooledTokenRequest(bucket.organisation, wanted))

    def on_pooled_request(self, signal: Received, now: float):
        """Grant tokens of the pool, also if another node holds it by now."""
        name, wanted = signal.message.organisation, signal.message.wanted
        organisation = self._view.config.organisations.get(name)
        tokens = 0
        if organisation is not None and organisation.rate > 0:
            bucket = self._bucket(organisation, now)
            tokens = bucket.pool.take(wanted)
            request = PendingRequest(signal.node, wanted, now)
            if not tokens and not self._allowances.is_overloaded(bucket):
                if bucket.pool.enqueue(request):
                    return
        yield Send(signal.node, PooledTokens(name, tokens))

    def on_pooled_tokens(self, signal: Received, now: float):
        """Grant the tokens to parked calls, and deny those that can't get one."""
        bucket = self._buckets.get(signal.message.organisation)
        if bucket is None:
            return
        tokens = signal.message.tokens
        bucket.pool_request.on_answer(tokens, self._interval_s(), now)
        for _ in range(min(tokens, len(bucket.parked))):
            bucket.spend_pooled()
            yield TokenGranted(bucket.parked.popleft().call, bucket.organisation)
        yield from self._serve_parked(bucket, now)
        yield from self._request_pooled(bucket, now)

    def on_token_returned(self, signal: TokenReturned, now: float):
        """Grant the token of a call that never ran to another call."""
        bucket = self._buckets.get(signal.organisation)
        if bucket is not None:
            bucket.return_token()
            yield from self._serve_parked(bucket, now)

    def _deny(self, call, bucket):
        self._counters.add("tokens-denied")
        detail = (
            f"level {bucket.level:.1f} of {bucket.burst:g} at {bucket.rate:g}/s, "
            f"parked calls {len(bucket.parked)}, "
            f"reporting nodes {self._reports.known_node_count}"
        )
        return TokenDenied(call, self._allowances.retry_after_s(bucket), detail)

    def _serve_parked(self, bucket, now):
        """Grant tokens to parked calls, and deny those that can't get one in time."""
        while bucket.parked and bucket.has_token:
            parked = bucket.parked.popleft()
            if parked.expires_at < now:
                yield self._deny(parked.call, bucket)
                continue
            bucket.spend()
            yield TokenGranted(parked.call, bucket.organisation)
        while not self._may_request(bucket, now) and (
            len(bucket.parked) > self._allowances.max_parked(bucket)
        ):
            yield self._deny(bucket.parked.pop().call, bucket)
        while bucket.parked and bucket.parked[0].expires_at < now:
            yield self._deny(bucket.parked.popleft().call, bucket)

    def _bucket(self, organisation: Organisation, now):
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = Bucket(
                organisation.name,
                organisation.rate,
                organisation.burst,
                organisation.burst * INITIAL_LEVEL_SHARE,
                now,
                window_s=self._cfg.window_ms / 1000,
            )
            self._buckets[organisation.name] = bucket
            self._allowances.update_allowance(
                bucket, now, self._allowances.known_share(now)
            )
        return bucket

    def on_config_changed(self, signal: ConfigChanged, now: float):
        """Apply changed rates, and remove the buckets of removed organisations."""
        organisations = signal.new.organisations
        for organisation in organisations.values():
            if organisation.rate > 0:
                self._bucket(organisation, now)
        for name in [key for key in self._buckets if key not in organisations]:
            for parked in self._buckets.pop(name).parked:
                yield TokenDenied(parked.call, MIN_RETRY_S)
        share = self._allowances.known_share(now)
        for name, bucket in self._buckets.items():
            bucket.refill(now, share)
            limits = organisations[name]
            bucket.change_limits(
                limits.rate, limits.burst, now, self._cfg.ramp_ms / 1000
            )
            self._allowances.update_allowance(bucket, now, share)

    # Reports.
    def tick(self, now):
        """Report what was spent, and set the allowances of the next interval."""
        for _ in self._timers.pop_due(now):
            self._timers.set(REPORT, now + self._interval_s())
            self._update_scarcity(now)
            yield from self._send_report(now)
            self._charge_silent_nodes(now)
            share = self._allowances.known_share(now)
            updates_all = self._is_update_of_all_due(share)
            for name, bucket in self._buckets.items():
                bucket.remote_demand = self._reports.remote_demand.get(name, 0.0)
                if bucket.is_at_rest and not updates_all:
                    continue
                bucket.demand += DEMAND_WEIGHT * (bucket.requested - bucket.demand)
                bucket.requested = 0
                self._allowances.update_allowance(bucket, now, share)
                for request, tokens in bucket.pool.serve(now):
                    yield Send(request.node, PooledTokens(name, tokens))
                yield from self._serve_parked(bucket, now)
                yield from self._request_pooled(bucket, now)
                bucket.expire_returned()

    def _update_scarcity(self, now):
        is_scarce = any(
            bucket.level < SCARCE_LEVEL * bucket.burst
            or bucket.requested > SCARCE_DEMAND * bucket.interval_allowance
            for bucket in self._buckets.values()
            if bucket.requested or bucket.demand > MIN_DEMAND
        )
        self._reports.set_scarce(is_scarce, now)

    def _is_update_of_all_due(self, share):
        """Return whether the buckets at rest are updated in this interval, too."""
        self._intervals += 1
        updated_for, self._updated_for = self._updated_for, (self._fleet_size(), share)
        has_changed = updated_for != self._updated_for
        return has_changed or self._intervals % REST_INTERVALS == 0

    def _send_report(self, now):
        if not self._reports.is_due(now):
            return
        report = self._make_report()
        for bucket in self._buckets.values():
            bucket.reported_spent = bucket.spent
        yield from self._reports.report(report, now)

    def _make_report(self):
        buckets = self._buckets.items()
        return QuotaReport(
            self._members.own.incarnation,
            {
                name: bucket.spent
                for name, bucket in buckets
                if bucket.spent != bucket.reported_spent
            },
            {
                name: bucket.spent - bucket.reported_spent
                for name, bucket in buckets
                if bucket.spent != bucket.reported_spent
            },
            {
                name: round(bucket.demand, 2)
                for name, bucket in buckets
                if bucket.demand > MIN_DEMAND
            },
        )

    def on_report(self, signal: Received, now: float):
        """Charge what other nodes have spent since their last report."""
        for spent in self._reports.apply(signal, now):
            organisation = self._view.config.organisations.get(spent.organisation)
            if organisation is not None and organisation.rate > 0:
                self._bucket(organisation, now).level -= spent.tokens
        if self._reports.should_answer(signal.message, now):
            yield Send(signal.node, self._make_report())

    def status(self):
        """Return the estimated level of each organisation's bucket."""
        return {name: round(bucket.level, 1) for name, bucket in self._buckets.items()}
