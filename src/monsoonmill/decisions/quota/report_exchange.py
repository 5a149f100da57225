"""Exchange of the reports of spent tokens between the nodes of a fleet.

Nodes report to all nodes of their group. The relays of a group report the spending
of all its nodes to the relays of the other groups, and the spending of the other
groups to the nodes of their own. So the number of messages between groups does not
grow with the fleet, and that of a node grows with its group. A small fleet is one
group.
"""

from collections.abc import Iterator

from attrs import evolve, frozen

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.quota.groups import ReportGroups
from monsoonmill.decisions.quota.spending_totals import (
    ReportedSpending,
    SpentTokens,
    SpentTotals,
)
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.quota_messages import QuotaReport, ReportScope
from monsoonmill.settings import QuotaSettings

SILENCE_INTERVALS = 2.4
"""A node is silent after this many intervals without a report."""
RELAXED_INTERVALS = 2
"""While tokens are plentiful, a report is sent once in this many intervals."""
ANSWER_INTERVALS = 0.9
"""Other nodes have answered this many intervals after tokens became scarce."""
REQUESTED_INTERVALS = 2
"""A relay that got a request for answers reports in each of this many intervals."""
RELAY_INTERVALS = 5
"""Intervals until all nodes of a fleet with several groups know what one has spent.
Spending travels between groups in three successive reports, two of which may wait
for an additional interval while tokens are plentiful."""
INTERVAL_S_PER_NODE = 0.006
"""The interval grows with the number of nodes that report to one another, so that
the message rate of a node stays bounded."""


@frozen
class ReportSource:
    """Whose spending is reported: a node's, a group's or that of all other groups."""

    scope: ReportScope
    name: str = ""


OTHER_GROUPS = ReportSource(ReportScope.OTHERS)


class ReportExchange:
    """Sends this node's reports and evaluates those of other nodes.

    Attributes
    ----------
    groups : ReportGroups
        The nodes that may spend.
    remote_demand, local_group_demand : dict
        Calls per interval at all other nodes, and at the other nodes of this
        group, by organisation.
    """

    def __init__(self, cfg: QuotaSettings, members: Membership):
        self._cfg = cfg
        self._members = members
        self._reported: dict[ReportSource, ReportedSpending] = {}
        self._known_nodes: dict[ReportSource, int] = {}
        self._scarce_since: float | None = None
        self._sent_at = float("-inf")
        self._local_totals = SpentTotals()
        self._remote_totals = SpentTotals()
        self._local_request_at = float("-inf")
        self._remote_request_at = float("-inf")
        self._knows_each_group = False
        self.remote_demand: dict[str, float] = {}
        self.local_group_demand: dict[str, float] = {}
        self.groups = ReportGroups.from_members(members, cfg.most_ungrouped)

    @property
    def has_reports(self) -> bool:
        """Whether any other node has reported."""
        return bool(self._reported)

    @property
    def known_node_count(self) -> int:
        """Number of other nodes covered by reports at the last update."""
        return sum(self._known_nodes.values())

    def interval_s(self) -> float:
        """Return the time between two reports."""
        return max(
            self._cfg.report_ms / 1000,
            INTERVAL_S_PER_NODE * len(self.groups.local_nodes),
        )

    @property
    def lag(self) -> int:
        """Number of intervals until all nodes know what one has spent."""
        return RELAY_INTERVALS if self.groups.has_pools else 1

    def update_members(self) -> None:
        """Rebuild the groups after a change of the membership."""
        self.groups = ReportGroups.from_members(self._members, self._cfg.most_ungrouped)
        for source in [key for key in self._reported if not self._is_known(key)]:
            del self._reported[source]

    def set_scarce(self, is_scarce: bool, now: float) -> None:
        """Record whether tokens of any organisation are scarce at this node."""
        if not is_scarce:
            self._scarce_since = None
        elif self._scarce_since is None:
            self._scarce_since = now

    def silence_timeout_s(self, scope: ReportScope, now: float) -> float:
        """Return the time without a report after which a source counts as silent."""
        timeout_s = max(
            self._cfg.contact_ms / 1000, SILENCE_INTERVALS * self.interval_s()
        )
        since = self._scarce_since
        # While tokens are scarce, nodes are asked for reports. Before that, reports
        # are rare. Those that cover many nodes are rare at all times, since their
        # sources are not asked directly.
        is_requested = (
            since is not None and now - since > ANSWER_INTERVALS * self.interval_s()
        )
        if is_requested and scope is ReportScope.NODE:
            return timeout_s
        return timeout_s * RELAXED_INTERVALS

    def update_sources(self, now: float) -> int:
        """Update the reported demand and the reporting nodes.

        Returns
        -------
        int
            Number of nodes that became silent since the last update.
        """
        self._knows_each_group = self.groups.is_relay and all(
            self._covered_nodes(ReportSource(ReportScope.GROUP, group), now)
            for group in self.groups.nodes
            if group != self.groups.group
        )
        before, self._known_nodes = self._known_nodes, {}
        self.remote_demand, self.local_group_demand = {}, {}
        for source, reporter in self._active_sources(now):
            self._known_nodes[source] = min(
                reporter.nodes, self._expected_nodes(source)
            )
            _add_demand(self.remote_demand, reporter.demand)
            if source.scope is ReportScope.NODE:
                _add_demand(self.local_group_demand, reporter.demand)
        return sum(
            max(
                min(count, self._expected_nodes(source))
                - self._known_nodes.get(source, 0),
                0,
            )
            for source, count in before.items()
        )

    def known_share(self, now: float) -> float:
        """Return the part of the fleet whose spending is known."""
        known_nodes = 1 + sum(
            min(reporter.nodes, self._expected_nodes(source))
            for source, reporter in self._active_sources(now)
        )
        return min(known_nodes / max(self.groups.size, 1), 1.0)

    def _active_sources(self, now):
        """Yield the sources in use that are not silent, with their best reporters."""
        for source, reported in self._reported.items():
            if self._is_used(source):
                reporter = reported.best_reporter(
                    now - self.silence_timeout_s(source.scope, now)
                )
                if reporter is not None:
                    yield source, reporter

    def _covered_nodes(self, source, now):
        reported = self._reported.get(source)
        if reported is None:
            return 0
        reporter = reported.best_reporter(
            now - self.silence_timeout_s(source.scope, now)
        )
        return 0 if reporter is None else reporter.nodes

    def _is_used(self, source):
        """Return whether a source counts.

        A relay with reports of each other group ignores the sum of all other groups.
        """
        if source.scope is ReportScope.NODE:
            return True
        return (source.scope is ReportScope.GROUP) == self._knows_each_group

    def is_due(self, now: float) -> bool:
        """Return whether to send a report; some are skipped while not urgent."""
        relaxed_s = (RELAXED_INTERVALS - 0.5) * self.interval_s()
        is_urgent = self._scarce_since is not None or self._is_requested(now)
        return is_urgent or now - self._sent_at >= relaxed_s

    def report(self, report: QuotaReport, now: float) -> Iterator[Send]:
        """Yield this node's report, which requests answers if tokens are scarce."""
        self._sent_at = now
        yield from self._send(
            evolve(report, answer=self._scarce_since is not None), now
        )

    def should_answer(self, report: QuotaReport, now: float) -> bool:
        """Return whether to answer a report at once with this node's spending."""
        return report.answer and now - self._sent_at > self.interval_s()

    def apply(self, signal: Received, now: float) -> list[SpentTokens]:
        """Return the tokens that no earlier report has covered."""
        report = signal.message
        source = self._source(signal.node, report.scope)
        if source is None:
            return []
        reported = self._reported.get(source)
        if reported is None or self._is_restarted(reported, signal, source):
            reported = self._reported[source] = ReportedSpending(now)
        if now - reported.reported_at > self.silence_timeout_s(source.scope, now):
            # Meanwhile the source could only spend its own part of the rates.
            reported.reset()
        spent = list(reported.apply(signal.node, report, now))
        self._update_relay_state(source, report, spent)
        return spent if self._is_used(source) else []

    def _is_restarted(self, reported, signal, source):
        reporter = reported.reporters.get(signal.node)
        is_single_node = source.scope is ReportScope.NODE
        return (
            is_single_node
            and reporter is not None
            and reporter.incarnation != signal.message.incarnation
        )

    # Groups.
    def _source(self, node, scope):
        """Return whose spending a report covers; None if it is of no use here."""
        is_local = node in self.groups.reporting_nodes
        if scope is ReportScope.NODE:
            return ReportSource(scope, node) if is_local else None
        if scope is ReportScope.OTHERS:
            return OTHER_GROUPS if is_local else None
        group = self.groups.group_of(node)
        return None if is_local or group is None else ReportSource(scope, group)

    def _is_known(self, source):
        """Return whether a source is a node or group of the fleet."""
        is_leaving = source.name in self.groups.leaving_nodes
        return is_leaving or self._expected_nodes(source) > 0

    def _expected_nodes(self, source):
        """Return how many nodes of a source may spend."""
        groups = self.groups
        if source.scope is ReportScope.NODE:
            return int(source.name in groups.local_nodes)
        if source.scope is ReportScope.OTHERS:
            return groups.size - len(groups.local_nodes)
        if source.name == groups.group:
            return 0
        return len(groups.nodes.get(source.name, ()))

    def _is_requested(self, now):
        """Return whether a report was recently requested from this relay."""
        requested_at = max(self._local_request_at, self._remote_request_at)
        return self.groups.is_relay and self._is_recent(requested_at, now)

    def _is_recent(self, requested_at, now):
        return now - requested_at <= REQUESTED_INTERVALS * self.interval_s()

    def _update_relay_state(self, source, report, spent):
        """Update what this node would report as a relay."""
        if source.scope is ReportScope.OTHERS:
            return
        is_local = source.scope is ReportScope.NODE
        totals = self._local_totals if is_local else self._remote_totals
        for entry in spent:
            totals.add(entry.organisation, entry.tokens)
        if report.answer and is_local:
            self._local_request_at = self._reported[source].reported_at
        elif report.answer:
            self._remote_request_at = self._reported[source].reported_at

    def _send(self, report, now):
        """Yield the report for this group, and those that a relay sends."""
        for name, tokens in report.lately.items():
            self._local_totals.add(name, tokens)
        group_nodes = [
            node
            for node in self.groups.remote_nodes
            if node in self.groups.reporting_nodes
        ]
        for node in group_nodes:
            yield Send(node, report)
        if not self.groups.is_relay:
            # The first report as a relay must not cover tokens refilled long ago.
            self._local_totals.collect_changes()
            self._remote_totals.collect_changes()
            return
        group_report = self._make_group_report(report, now)
        for node in self.groups.counterparts:
            yield Send(node, group_report)
        others_report = self._make_others_report(report, now)
        for node in group_nodes:
            yield Send(node, others_report)

    def _make_group_report(self, node_report, now):
        """Return the report of this group for the relays of the others."""
        nodes, demand = self._sum_reports(ReportScope.NODE, now)
        _add_demand(demand, node_report.demand)
        is_requested = node_report.answer or self._is_recent(
            self._local_request_at, now
        )
        report = _report_changes(self._local_totals, node_report, demand)
        return evolve(
            report, answer=is_requested, scope=ReportScope.GROUP, nodes=nodes + 1
        )

    def _make_others_report(self, node_report, now):
        """Return the report of the other groups for this one."""
        nodes, demand = self._sum_reports(ReportScope.GROUP, now)
        is_requested = self._is_recent(self._remote_request_at, now)
        report = _report_changes(self._remote_totals, node_report, demand)
        return evolve(
            report, answer=is_requested, scope=ReportScope.OTHERS, nodes=nodes
        )

    def _sum_reports(self, scope, now):
        """Return the number of reporting nodes in a scope, and their demand."""
        nodes, demand = 0, {}
        for source, reported in self._reported.items():
            if source.scope is not scope:
                continue
            reporter = reported.best_reporter(now - self.silence_timeout_s(scope, now))
            if reporter is None:
                continue
            nodes += min(reporter.nodes, self._expected_nodes(source))
            _add_demand(demand, reporter.demand)
        return nodes, demand


def _add_demand(total, demand):
    for name, calls in demand.items():
        total[name] = total.get(name, 0.0) + calls


def _report_changes(totals, node_report, demand):
    """Return a report of the changes since the last one."""
    spent, increments = totals.collect_changes()
    rounded = {name: round(calls, 2) for name, calls in demand.items()}
    return QuotaReport(node_report.incarnation, spent, increments, rounded)
