"""What is known of the spending of others, from one or more that tell of it."""

from collections.abc import Iterator

from attrs import define, field, frozen

from monsoonmill.quota_messages import QuotaReport


@frozen
class Spent:
    """Tokens of an organisation that others have spent."""

    organisation: str
    tokens: int


@define
class Teller:
    """A node that tells of spending.

    Attributes
    ----------
    heard_at : float
        Time of its last report.
    nodes : int
        Nodes whose spending that report has told of.
    demand : dict
        Calls that ask at them in an interval, by organisation.
    offsets : dict
        What to add to its totals to get those of its spender, by organisation.
    """

    incarnation: int
    heard_at: float
    nodes: int = 0
    demand: dict[str, float] = field(factory=dict)
    offsets: dict[str, int] = field(factory=dict)


@define
class Spender:
    """One node, or the nodes of a scope, whose spending is told as one.

    Several nodes may tell of the same spending, each with totals since its own
    start. The highest total counts, so that nothing is charged twice and one
    that is lost is replaced by another at once.

    Attributes
    ----------
    heard_at : float
        Time of the last report.
    charged : dict
        Tokens that were charged, by organisation.
    tellers : dict
        By the teller's name.
    """

    heard_at: float
    charged: dict[str, int] = field(factory=dict)
    tellers: dict[str, Teller] = field(factory=dict)

    def best(self, since: float) -> Teller | None:
        """Return the teller that knows of most nodes; None if all are silent."""
        heard = (one for one in self.tellers.values() if one.heard_at >= since)
        return max(heard, key=lambda one: one.nodes, default=None)

    def take(self, node: str, report: QuotaReport, now: float) -> Iterator[Spent]:
        """Yield what a report tells for the first time."""
        teller = self.tellers.get(node)
        if teller is None or teller.incarnation != report.incarnation:
            teller = self.tellers[node] = Teller(report.incarnation, now)
        self.heard_at = teller.heard_at = now
        teller.nodes = report.nodes
        teller.demand = report.demand
        for name, total in report.spent.items():
            lately = report.lately.get(name, 0)
            tokens = self._new_tokens(teller, name, total, lately)
            if tokens > 0:
                self.charged[name] = self.charged.get(name, 0) + tokens
                yield Spent(name, tokens)

    def _new_tokens(self, teller, name, total, lately):
        charged = self.charged.setdefault(name, 0)
        if name not in teller.offsets:
            # What was spent before this node first heard of it is long filled
            # again, and what another has told of is charged already.
            before = total - lately if charged == 0 else total
            teller.offsets[name] = charged - before
        return total + teller.offsets[name] - charged

    def forget_totals(self) -> None:
        """Begin anew; what was spent meanwhile has been charged otherwise."""
        self.charged.clear()
        self.tellers.clear()


@define
class Ledger:
    """Tokens that were spent in a scope, as a relay tells of them.

    Attributes
    ----------
    spent, told : dict
        Totals by organisation, now and at the last report.
    """

    spent: dict[str, int] = field(factory=dict)
    told: dict[str, int] = field(factory=dict)

    def add(self, organisation: str, tokens: int) -> None:
        """Count further tokens."""
        self.spent[organisation] = self.spent.get(organisation, 0) + tokens

    def tell(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the totals that have changed since the last time, and by how much."""
        lately = {
            name: total - self.told.get(name, 0)
            for name, total in self.spent.items()
            if total != self.told.get(name, 0)
        }
        self.told.update((name, self.spent[name]) for name in lately)
        return {name: self.spent[name] for name in lately}, lately
