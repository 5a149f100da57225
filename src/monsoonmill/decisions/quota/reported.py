"""What other nodes have reported of the tokens that they spent."""

from collections.abc import Iterator

from attrs import define, field, frozen

from monsoonmill.quota_messages import QuotaReport


@frozen
class Spent:
    """Tokens of an organisation that others have spent."""

    organisation: str
    tokens: int


@define
class ReportSender:
    """A node that reports spending, its own or that of others.

    Attributes
    ----------
    heard_at : float
        Time of its last report.
    nodes : int
        Nodes whose spending that report covers.
    demand : dict
        Calls that ask at them in an interval, by organisation.
    offsets : dict
        What to add to its totals to get the charged ones, by organisation.
    """

    incarnation: int
    heard_at: float
    nodes: int = 0
    demand: dict[str, float] = field(factory=dict)
    offsets: dict[str, int] = field(factory=dict)


@define
class ReportedSpending:
    """What one node has spent, or the nodes of a scope together.

    Several nodes may report the same spending, each with totals since its own
    start. The highest total counts, so that nothing is charged twice and one
    that is lost is replaced by another at once.

    Attributes
    ----------
    heard_at : float
        Time of the last report.
    charged : dict
        Tokens that were charged, by organisation.
    senders : dict
        By the sender's name.
    """

    heard_at: float
    charged: dict[str, int] = field(factory=dict)
    senders: dict[str, ReportSender] = field(factory=dict)

    def best(self, since: float) -> ReportSender | None:
        """Return the sender that knows of most nodes; None if all are silent."""
        heard = (one for one in self.senders.values() if one.heard_at >= since)
        return max(heard, key=lambda one: one.nodes, default=None)

    def take(self, node: str, report: QuotaReport, now: float) -> Iterator[Spent]:
        """Yield the tokens that no earlier report has covered."""
        sender = self.senders.get(node)
        if sender is None or sender.incarnation != report.incarnation:
            sender = self.senders[node] = ReportSender(report.incarnation, now)
        self.heard_at = sender.heard_at = now
        sender.nodes = report.nodes
        sender.demand = report.demand
        for name, total in report.spent.items():
            lately = report.lately.get(name, 0)
            tokens = self._new_tokens(sender, name, total, lately)
            if tokens > 0:
                self.charged[name] = self.charged.get(name, 0) + tokens
                yield Spent(name, tokens)

    def _new_tokens(self, sender, name, total, lately):
        charged = self.charged.setdefault(name, 0)
        if name not in sender.offsets:
            # What was spent before this node first heard of it is long filled
            # again, and what another sender has reported is charged already.
            before = total - lately if charged == 0 else total
            sender.offsets[name] = charged - before
        return total + sender.offsets[name] - charged

    def forget_totals(self) -> None:
        """Begin anew; what was spent meanwhile has been charged otherwise."""
        self.charged.clear()
        self.senders.clear()


@define
class SpentTotals:
    """Tokens that were spent in a scope, as a relay reports them.

    Attributes
    ----------
    spent, reported_before : dict
        Totals by organisation, now and at the last report.
    """

    spent: dict[str, int] = field(factory=dict)
    reported_before: dict[str, int] = field(factory=dict)

    def add(self, organisation: str, tokens: int) -> None:
        """Count further tokens."""
        self.spent[organisation] = self.spent.get(organisation, 0) + tokens

    def take_changes(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the totals that have changed since the last time, and by how much."""
        lately = {
            name: total - self.reported_before.get(name, 0)
            for name, total in self.spent.items()
            if total != self.reported_before.get(name, 0)
        }
        self.reported_before.update((name, self.spent[name]) for name in lately)
        return {name: self.spent[name] for name in lately}, lately
