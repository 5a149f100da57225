"""Totals of the tokens spent by other nodes, and of those that a relay reports."""

from collections.abc import Iterator

from attrs import define, field, frozen

from monsoonmill.quota_messages import QuotaReport


@frozen
class SpentTokens:
    """Tokens of an organisation that other nodes have spent."""

    organisation: str
    tokens: int


@define
class Reporter:
    """A node that reports spending, its own or that of other nodes.

    Attributes
    ----------
    reported_at : float
        Time of its last report.
    nodes : int
        Number of nodes whose spending that report covers.
    demand : dict
        Calls per interval at these nodes, by organisation.
    offsets : dict
        Difference between the charged totals and the reporter's totals, by
        organisation.
    """

    incarnation: int
    reported_at: float
    nodes: int = 0
    demand: dict[str, float] = field(factory=dict)
    offsets: dict[str, int] = field(factory=dict)


@define
class ReportedSpending:
    """Spending of one node, or of all nodes of a scope together.

    Several nodes may report the same spending, each with totals since its own
    start. The highest total counts, so that nothing is charged twice and a
    reporter that is lost is replaced at once.

    Attributes
    ----------
    reported_at : float
        Time of the last report.
    charged : dict
        Tokens charged so far, by organisation.
    reporters : dict
        Reporters by node name.
    """

    reported_at: float
    charged: dict[str, int] = field(factory=dict)
    reporters: dict[str, Reporter] = field(factory=dict)

    def best_reporter(self, since: float) -> Reporter | None:
        """Return the reporter that covers most nodes; None if all are silent."""
        active = (
            reporter
            for reporter in self.reporters.values()
            if reporter.reported_at >= since
        )
        return max(active, key=lambda reporter: reporter.nodes, default=None)

    def apply(
        self, node: str, report: QuotaReport, now: float
    ) -> Iterator[SpentTokens]:
        """Yield the tokens that no earlier report has covered."""
        reporter = self.reporters.get(node)
        if reporter is None or reporter.incarnation != report.incarnation:
            reporter = self.reporters[node] = Reporter(report.incarnation, now)
        self.reported_at = reporter.reported_at = now
        reporter.nodes = report.nodes
        reporter.demand = report.demand
        for name, total in report.spent.items():
            recent = report.lately.get(name, 0)
            tokens = self._uncharged_tokens(reporter, name, total, recent)
            if tokens > 0:
                self.charged[name] = self.charged.get(name, 0) + tokens
                yield SpentTokens(name, tokens)

    def _uncharged_tokens(self, reporter, name, total, recent):
        charged = self.charged.setdefault(name, 0)
        if name not in reporter.offsets:
            # Tokens spent before the first report that reached this node are refilled
            # by now, and what another reporter has covered is already charged.
            covered = total - recent if charged == 0 else total
            reporter.offsets[name] = charged - covered
        return total + reporter.offsets[name] - charged

    def reset(self) -> None:
        """Discard all totals; the spending meanwhile was charged by other means."""
        self.charged.clear()
        self.reporters.clear()


@define
class SpentTotals:
    """Tokens spent in a scope, as reported by a relay.

    Attributes
    ----------
    spent, reported_spent : dict
        Totals by organisation, now and at the last report.
    """

    spent: dict[str, int] = field(factory=dict)
    reported_spent: dict[str, int] = field(factory=dict)

    def add(self, organisation: str, tokens: int) -> None:
        """Add spent tokens."""
        self.spent[organisation] = self.spent.get(organisation, 0) + tokens

    def collect_changes(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the totals changed since the last call, and their increments."""
        increments = {
            name: total - self.reported_spent.get(name, 0)
            for name, total in self.spent.items()
            if total != self.reported_spent.get(name, 0)
        }
        self.reported_spent.update((name, self.spent[name]) for name in increments)
        return {name: self.spent[name] for name in increments}, increments
