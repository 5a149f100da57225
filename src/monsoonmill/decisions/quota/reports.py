"""Whom a node tells what it has spent, and what it knows of others' spending.

Nodes report to all nodes of their group. The relays of a group tell those of the
others what all its nodes have spent, and tell its nodes what was spent beyond it.
So the messages that cross between groups do not grow with the fleet, and those of
a node grow with its group. A small fleet is one group.
"""

from collections.abc import Iterator

from attrs import evolve, frozen

from monsoonmill.decisions.members.membership import Membership
from monsoonmill.decisions.quota.census import Census
from monsoonmill.decisions.quota.spender import Ledger, Spender, Spent
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
    """Whose spending a spender is: a node's, a group's or all others'."""

    scope: ReportScope
    name: str = ""


BEYOND = Source(ReportScope.BEYOND)


class SpendingReports:
    """Sends and takes the reports of what was spent.

    Attributes
    ----------
    census : Census
        The nodes that may spend.
    others_demand, home_demand : dict
        Calls that ask at the other nodes, and at those of the own group among
        them, in an interval, by organisation.
    """

    def __init__(self, cfg: QuotaSettings, members: Membership):
        self._cfg = cfg
        self._members = members
        self._spenders: dict[Source, Spender] = {}
        self._known: dict[Source, int] = {}
        self._scarce_since: float | None = None
        self._reported_at = float("-inf")
        self._home = Ledger()
        self._beyond = Ledger()
        self._home_asked_at = float("-inf")
        self._beyond_asked_at = float("-inf")
        self._hears_groups = False
        self.others_demand: dict[str, float] = {}
        self.home_demand: dict[str, float] = {}
        self.census = Census.of(members, cfg.most_ungrouped)

    @property
    def has_heard(self) -> bool:
        """Whether any other node has reported."""
        return bool(self._spenders)

    @property
    def heard(self) -> int:
        """Number of other nodes that were heard of at the last look."""
        return sum(self._known.values())

    def interval_s(self) -> float:
        """Return the time between two reports."""
        return max(
            self._cfg.report_ms / 1000, REPORT_S_PER_NODE * len(self.census.at_home)
        )

    @property
    def lag(self) -> int:
        """Intervals after which all nodes know what one has spent."""
        return RELAY_INTERVALS if len(self.census.nodes) > 1 else 1

    def count_members(self) -> None:
        """Follow a change of the membership."""
        self.census = Census.of(self._members, self._cfg.most_ungrouped)
        for source in [one for one in self._spenders if not self._expected(one)]:
            del self._spenders[source]

    def note_scarce(self, is_scarce: bool, now: float) -> None:
        """Note whether tokens of an organisation are scarce here."""
        if not is_scarce:
            self._scarce_since = None
        elif self._scarce_since is None:
            self._scarce_since = now

    def contact_s(self, scope: ReportScope, now: float) -> float:
        """Return after what time without a report a spender counts as silent."""
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
        self._hears_groups = self.census.is_relay and all(
            self._nodes_known(Source(ReportScope.GROUP, group), now)
            for group in self.census.nodes
            if group != self.census.group
        )
        before, self._known = self._known, {}
        self.others_demand, self.home_demand = {}, {}
        for source, teller in self._heard(now):
            self._known[source] = min(teller.nodes, self._expected(source))
            _add(self.others_demand, teller.demand)
            if source.scope is ReportScope.NODE:
                _add(self.home_demand, teller.demand)
        return sum(
            max(min(count, self._expected(source)) - self._known.get(source, 0), 0)
            for source, count in before.items()
        )

    def known_share(self, now: float) -> float:
        """Return the part of the fleet whose spending is known."""
        known = 1 + sum(
            min(teller.nodes, self._expected(source))
            for source, teller in self._heard(now)
        )
        return min(known / max(self.census.size, 1), 1.0)

    def _heard(self, now):
        """Yield the spenders in use that are not silent, with their best tellers."""
        for source, spender in self._spenders.items():
            if self._is_used(source):
                teller = spender.best(now - self.contact_s(source.scope, now))
                if teller is not None:
                    yield source, teller

    def _nodes_known(self, source, now):
        spender = self._spenders.get(source)
        if spender is None:
            return 0
        teller = spender.best(now - self.contact_s(source.scope, now))
        return 0 if teller is None else teller.nodes

    def _is_used(self, source):
        """Return whether a spender counts: relays that hear all groups need no sum."""
        if source.scope is ReportScope.NODE:
            return True
        return (source.scope is ReportScope.GROUP) == self._hears_groups

    def is_due(self, now: float) -> bool:
        """Return whether a report has to go out; in calm times it may be left out."""
        calm_s = (CALM_INTERVALS - 0.5) * self.interval_s()
        is_hurried = self._scarce_since is not None or self._is_asked(now)
        return is_hurried or now - self._reported_at >= calm_s

    def report(self, report: QuotaReport, now: float) -> Iterator[Send]:
        """Yield the own report, with a wish for answers if tokens are scarce."""
        self._reported_at = now
        yield from self._send(
            evolve(report, answer=self._scarce_since is not None), now
        )

    def wants_answer(self, report: QuotaReport, now: float) -> bool:
        """Return whether to tell the sender of a report at once what was spent."""
        return report.answer and now - self._reported_at > self.interval_s()

    def take(self, signal: Received, now: float) -> list[Spent]:
        """Return what a report tells for the first time."""
        report = signal.message
        source = self._source(signal.node, report.scope)
        if source is None:
            return []
        spender = self._spenders.get(source)
        if spender is None or self._is_new_process(spender, signal, source):
            spender = self._spenders[source] = Spender(now)
        if now - spender.heard_at > self.contact_s(source.scope, now):
            # It had only its own part of the rates meanwhile.
            spender.forget_totals()
        spent = list(spender.take(signal.node, report, now))
        self._note_taken(source, report, spent)
        return spent if self._is_used(source) else []

    def _is_new_process(self, spender, signal, source):
        teller = spender.tellers.get(signal.node)
        is_one_node = source.scope is ReportScope.NODE
        return (
            is_one_node
            and teller is not None
            and teller.incarnation != signal.message.incarnation
        )

    # Groups.
    def _source(self, node, scope):
        """Return whose spending a report tells of; None if it is of no use here."""
        is_home = node in self.census.at_home
        if scope is ReportScope.NODE:
            return Source(scope, node) if is_home else None
        if scope is ReportScope.BEYOND:
            return BEYOND if is_home else None
        group = self.census.group_of(node)
        return None if is_home or group is None else Source(scope, group)

    def _expected(self, source):
        """Return how many nodes of a scope may spend."""
        census = self.census
        if source.scope is ReportScope.NODE:
            return int(source.name in census.at_home)
        if source.scope is ReportScope.BEYOND:
            return census.size - len(census.at_home)
        if source.name == census.group:
            return 0
        return len(census.nodes.get(source.name, ()))

    def _is_asked(self, now):
        """Return whether a relay was asked for reports lately."""
        asked_at = max(self._home_asked_at, self._beyond_asked_at)
        return self.census.is_relay and self._is_recent(asked_at, now)

    def _is_recent(self, asked_at, now):
        return now - asked_at <= ASKED_INTERVALS * self.interval_s()

    def _note_taken(self, source, report, spent):
        """Add what a report has told to what this node would tell as a relay."""
        if source.scope is ReportScope.BEYOND:
            return
        is_home = source.scope is ReportScope.NODE
        ledger = self._home if is_home else self._beyond
        for one in spent:
            ledger.add(one.organisation, one.tokens)
        if report.answer and is_home:
            self._home_asked_at = self._spenders[source].heard_at
        elif report.answer:
            self._beyond_asked_at = self._spenders[source].heard_at

    def _send(self, report, now):
        """Yield the report for the own group, and what a relay tells."""
        for name, tokens in report.lately.items():
            self._home.add(name, tokens)
        home = [one for one in self.census.live if one in self.census.at_home]
        for node in home:
            yield Send(node, report)
        if not self.census.is_relay:
            # A relay's first report must not tell of what is long filled again.
            self._home.tell()
            self._beyond.tell()
            return
        of_home = self._make_home(report, now)
        for node in self.census.far_relays:
            yield Send(node, of_home)
        of_others = self._make_beyond(report, now)
        for node in home:
            yield Send(node, of_others)

    def _make_home(self, own, now):
        """Return the report of the own group for the other relays."""
        nodes, demand = self._sum(ReportScope.NODE, now)
        _add(demand, own.demand)
        is_asked = own.answer or self._is_recent(self._home_asked_at, now)
        report = _told(self._home, own, demand)
        return evolve(report, answer=is_asked, scope=ReportScope.GROUP, nodes=nodes + 1)

    def _make_beyond(self, own, now):
        """Return the report of the other groups for the own one."""
        nodes, demand = self._sum(ReportScope.GROUP, now)
        is_asked = self._is_recent(self._beyond_asked_at, now)
        report = _told(self._beyond, own, demand)
        return evolve(report, answer=is_asked, scope=ReportScope.BEYOND, nodes=nodes)

    def _sum(self, scope, now):
        """Return the nodes that were heard of in a scope, and their demand."""
        nodes, demand = 0, {}
        for source, spender in self._spenders.items():
            if source.scope is not scope:
                continue
            teller = spender.best(now - self.contact_s(scope, now))
            if teller is None:
                continue
            nodes += min(teller.nodes, self._expected(source))
            _add(demand, teller.demand)
        return nodes, demand


def _add(total, demand):
    for name, calls in demand.items():
        total[name] = total.get(name, 0.0) + calls


def _told(ledger, own, demand):
    """Return a report of what a ledger has not told yet."""
    spent, lately = ledger.tell()
    rounded = {name: round(calls, 2) for name, calls in demand.items()}
    return QuotaReport(own.incarnation, spent, lately, rounded)
