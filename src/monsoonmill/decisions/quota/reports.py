"""Reports of spent tokens: to whom they go, and what others have reported.

Nodes report to all nodes of their group. The relays of a group report to those of
the others what all its nodes have spent, and to its nodes what the others spent.
So the messages that cross between groups do not grow with the fleet, and those of
a node grow with its group. A small fleet is one group.
"""

from collections.abc import Iterator

from attrs import evolve, frozen

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.quota.groups import ReportGroups
from monsoonmill.decisions.quota.reported import ReportedSpending, Spent, SpentTotals
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.quota_messages import QuotaReport, ReportScope
from monsoonmill.settings import QuotaSettings

MISSED_REPORTS = 2.4
"""A node is silent after so many intervals without a report."""
CALM_INTERVALS = 2
"""While tokens are plentiful a report goes out once in so many intervals."""
ANSWER_INTERVALS = 0.9
"""Others have answered so many intervals after tokens became scarce."""
ASKED_INTERVALS = 2
"""A relay that was asked reports at each interval for so many of them."""
RELAY_INTERVALS = 5
"""Spending travels from group to group by three reports, one after the other, two
of which may wait an interval more while tokens are plentiful."""
REPORT_S_PER_NODE = 0.006
"""Intervals grow with the nodes that report to one another, so that a node's
messages stay bounded."""


@frozen
class Source:
    """Whose spending is reported: a node's, a group's or that of all others."""

    scope: ReportScope
    name: str = ""


OTHERS = Source(ReportScope.OTHERS)


class SpendingReports:
    """Sends and takes the reports of what was spent.

    Attributes
    ----------
    groups : ReportGroups
        The nodes that may spend.
    others_demand, own_group_demand : dict
        Calls that ask at the other nodes, and at those of the own group among
        them, in an interval, by organisation.
    """

    def __init__(self, cfg: QuotaSettings, members: Membership):
        self._cfg = cfg
        self._members = members
        self._reported: dict[Source, ReportedSpending] = {}
        self._known: dict[Source, int] = {}
        self._scarce_since: float | None = None
        self._reported_at = float("-inf")
        self._own_totals = SpentTotals()
        self._other_totals = SpentTotals()
        self._own_asked_at = float("-inf")
        self._others_asked_at = float("-inf")
        self._hears_groups = False
        self.others_demand: dict[str, float] = {}
        self.own_group_demand: dict[str, float] = {}
        self.groups = ReportGroups.of(members, cfg.most_ungrouped)

    @property
    def has_heard(self) -> bool:
        """Whether any other node has reported."""
        return bool(self._reported)

    @property
    def heard(self) -> int:
        """Number of other nodes that were heard of at the last look."""
        return sum(self._known.values())

    def interval_s(self) -> float:
        """Return the time between two reports."""
        return max(
            self._cfg.report_ms / 1000, REPORT_S_PER_NODE * len(self.groups.own_nodes)
        )

    @property
    def lag(self) -> int:
        """Intervals after which all nodes know what one has spent."""
        return RELAY_INTERVALS if self.groups.has_pools else 1

    def count_members(self) -> None:
        """Follow a change of the membership."""
        self.groups = ReportGroups.of(self._members, self._cfg.most_ungrouped)
        for source in [one for one in self._reported if not self._expected(one)]:
            del self._reported[source]

    def note_scarce(self, is_scarce: bool, now: float) -> None:
        """Note whether tokens of an organisation are scarce here."""
        if not is_scarce:
            self._scarce_since = None
        elif self._scarce_since is None:
            self._scarce_since = now

    def contact_s(self, scope: ReportScope, now: float) -> float:
        """Return after what time without a report a source counts as silent."""
        contact_s = max(self._cfg.contact_ms / 1000, MISSED_REPORTS * self.interval_s())
        since = self._scarce_since
        # Reports are asked for while tokens are scarce; before, they are rare, and
        # so are those of many nodes, since they are not asked for directly.
        is_asked = (
            since is not None and now - since > ANSWER_INTERVALS * self.interval_s()
        )
        if is_asked and scope is ReportScope.NODE:
            return contact_s
        return contact_s * CALM_INTERVALS

    def look(self, now: float) -> int:
        """Return how many nodes have fallen silent since the last look."""
        self._hears_groups = self.groups.is_relay and all(
            self._nodes_known(Source(ReportScope.GROUP, group), now)
            for group in self.groups.nodes
            if group != self.groups.group
        )
        before, self._known = self._known, {}
        self.others_demand, self.own_group_demand = {}, {}
        for source, sender in self._heard(now):
            self._known[source] = min(sender.nodes, self._expected(source))
            _add(self.others_demand, sender.demand)
            if source.scope is ReportScope.NODE:
                _add(self.own_group_demand, sender.demand)
        return sum(
            max(min(count, self._expected(source)) - self._known.get(source, 0), 0)
            for source, count in before.items()
        )

    def known_share(self, now: float) -> float:
        """Return the part of the fleet whose spending is known."""
        known = 1 + sum(
            min(sender.nodes, self._expected(source))
            for source, sender in self._heard(now)
        )
        return min(known / max(self.groups.size, 1), 1.0)

    def _heard(self, now):
        """Yield the sources in use that are not silent, with their best senders."""
        for source, reported in self._reported.items():
            if self._is_used(source):
                sender = reported.best(now - self.contact_s(source.scope, now))
                if sender is not None:
                    yield source, sender

    def _nodes_known(self, source, now):
        reported = self._reported.get(source)
        if reported is None:
            return 0
        sender = reported.best(now - self.contact_s(source.scope, now))
        return 0 if sender is None else sender.nodes

    def _is_used(self, source):
        """Return whether a source counts: relays that hear all groups need no sum."""
        if source.scope is ReportScope.NODE:
            return True
        return (source.scope is ReportScope.GROUP) == self._hears_groups

    def is_due(self, now: float) -> bool:
        """Return whether a report has to go out; in calm times it may be left out."""
        calm_s = (CALM_INTERVALS - 0.5) * self.interval_s()
        is_hurried = self._scarce_since is not None or self._is_asked(now)
        return is_hurried or now - self._reported_at >= calm_s

    def report(self, report: QuotaReport, now: float) -> Iterator[Send]:
        """Yield the own report, with a request for answers if tokens are scarce."""
        self._reported_at = now
        yield from self._send(
            evolve(report, answer=self._scarce_since is not None), now
        )

    def wants_answer(self, report: QuotaReport, now: float) -> bool:
        """Return whether to tell the sender of a report at once what was spent."""
        return report.answer and now - self._reported_at > self.interval_s()

    def take(self, signal: Received, now: float) -> list[Spent]:
        """Return the tokens that no earlier report has covered."""
        report = signal.message
        source = self._source(signal.node, report.scope)
        if source is None:
            return []
        reported = self._reported.get(source)
        if reported is None or self._is_new_process(reported, signal, source):
            reported = self._reported[source] = ReportedSpending(now)
        if now - reported.heard_at > self.contact_s(source.scope, now):
            # It had only its own part of the rates meanwhile.
            reported.forget_totals()
        spent = list(reported.take(signal.node, report, now))
        self._note_taken(source, report, spent)
        return spent if self._is_used(source) else []

    def _is_new_process(self, reported, signal, source):
        sender = reported.senders.get(signal.node)
        is_one_node = source.scope is ReportScope.NODE
        return (
            is_one_node
            and sender is not None
            and sender.incarnation != signal.message.incarnation
        )

    # Groups.
    def _source(self, node, scope):
        """Return whose spending a report covers; None if it is of no use here."""
        is_own = node in self.groups.own_nodes
        if scope is ReportScope.NODE:
            return Source(scope, node) if is_own else None
        if scope is ReportScope.OTHERS:
            return OTHERS if is_own else None
        group = self.groups.group_of(node)
        return None if is_own or group is None else Source(scope, group)

    def _expected(self, source):
        """Return how many nodes of a scope may spend."""
        groups = self.groups
        if source.scope is ReportScope.NODE:
            return int(source.name in groups.own_nodes)
        if source.scope is ReportScope.OTHERS:
            return groups.size - len(groups.own_nodes)
        if source.name == groups.group:
            return 0
        return len(groups.nodes.get(source.name, ()))

    def _is_asked(self, now):
        """Return whether a relay was asked for reports lately."""
        asked_at = max(self._own_asked_at, self._others_asked_at)
        return self.groups.is_relay and self._is_recent(asked_at, now)

    def _is_recent(self, asked_at, now):
        return now - asked_at <= ASKED_INTERVALS * self.interval_s()

    def _note_taken(self, source, report, spent):
        """Count what this node would report as a relay."""
        if source.scope is ReportScope.OTHERS:
            return
        is_own = source.scope is ReportScope.NODE
        totals = self._own_totals if is_own else self._other_totals
        for one in spent:
            totals.add(one.organisation, one.tokens)
        if report.answer and is_own:
            self._own_asked_at = self._reported[source].heard_at
        elif report.answer:
            self._others_asked_at = self._reported[source].heard_at

    def _send(self, report, now):
        """Yield the report for the own group, and those of a relay."""
        for name, tokens in report.lately.items():
            self._own_totals.add(name, tokens)
        neighbours = [one for one in self.groups.live if one in self.groups.own_nodes]
        for node in neighbours:
            yield Send(node, report)
        if not self.groups.is_relay:
            # A relay's first report must not cover what is long filled again.
            self._own_totals.take_changes()
            self._other_totals.take_changes()
            return
        own_group = self._make_own(report, now)
        for node in self.groups.counterparts:
            yield Send(node, own_group)
        of_others = self._make_others(report, now)
        for node in neighbours:
            yield Send(node, of_others)

    def _make_own(self, own, now):
        """Return the report of the own group for the other relays."""
        nodes, demand = self._sum(ReportScope.NODE, now)
        _add(demand, own.demand)
        is_asked = own.answer or self._is_recent(self._own_asked_at, now)
        report = _report_changes(self._own_totals, own, demand)
        return evolve(report, answer=is_asked, scope=ReportScope.GROUP, nodes=nodes + 1)

    def _make_others(self, own, now):
        """Return the report of the other groups for the own one."""
        nodes, demand = self._sum(ReportScope.GROUP, now)
        is_asked = self._is_recent(self._others_asked_at, now)
        report = _report_changes(self._other_totals, own, demand)
        return evolve(report, answer=is_asked, scope=ReportScope.OTHERS, nodes=nodes)

    def _sum(self, scope, now):
        """Return the nodes that were heard of in a scope, and their demand."""
        nodes, demand = 0, {}
        for source, reported in self._reported.items():
            if source.scope is not scope:
                continue
            sender = reported.best(now - self.contact_s(scope, now))
            if sender is None:
                continue
            nodes += min(sender.nodes, self._expected(source))
            _add(demand, sender.demand)
        return nodes, demand


def _add(total, demand):
    for name, calls in demand.items():
        total[name] = total.get(name, 0.0) + calls


def _report_changes(totals, own, demand):
    """Return a report of the changes since the last one."""
    spent, lately = totals.take_changes()
    rounded = {name: round(calls, 2) for name, calls in demand.items()}
    return QuotaReport(own.incarnation, spent, lately, rounded)
