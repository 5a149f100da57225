"""Tokens of one organisation at its holder, from what it has been lent."""

from attrs import define, field

from monsoonmill.decisions.quota.token_bucket import TokenBucket
from monsoonmill.model import Organisation

MAX_GRANTS = 4096
"""Grants in flight of one organisation; no further ones beyond."""
AHEAD_SHARE = 0.5
"""Share of the tokens left that goes to calls that are only expected."""


@define
class HeldLoan:
    """A loan at its borrower; it is used until ``ends_at``."""

    slices: int
    ends_at: float
    sequence: int


@define
class Grant:
    """Tokens in flight; ``lapses_at`` is not before the node's own end of them."""

    tokens: int
    lapses_at: float


@define
class HeldTokens:
    """The bucket of all loans of one organisation.

    The tokens in flight count against its capacity until they lapse or are
    reported as spent.
    """

    organisation: Organisation
    slices: int
    grant_term_s: float
    bucket: TokenBucket
    loans: dict[str, HeldLoan] = field(factory=dict)
    grants: dict[tuple[str, int], Grant] = field(factory=dict)

    def advance(self, now: float) -> None:
        """Let loans and grants end in their order up to ``now``."""
        while True:
            lender, loan = self._first_loan()
            key, grant = next(iter(self.grants.items()), (None, None))
            loan_due = loan.ends_at if loan else float("inf")
            grant_due = grant.lapses_at if grant else float("inf")
            due = min(loan_due, grant_due)
            if due > now:
                break
            self.bucket.fill(due)
            if grant_due <= loan_due:
                self._end_grant(key)
            else:
                del self.loans[lender]
                self._reshape(due)
        self.bucket.fill(now)

    def _first_loan(self):
        ends = ((loan.ends_at, lender) for lender, loan in self.loans.items())
        _, lender = min(ends, default=(None, None))
        return lender, self.loans.get(lender)

    def _end_grant(self, key):
        self.bucket.reserved -= self.grants.pop(key).tokens

    def _reshape(self, now):
        total = sum(loan.slices for loan in self.loans.values())
        self.bucket.reshape(self.organisation, total / self.slices, now)

    def change(self, organisation: Organisation, now: float) -> None:
        """Take on another rate or burst."""
        self.advance(now)
        self.organisation = organisation
        self._reshape(now)

    def add_loan(self, lender: str, loan: HeldLoan, level: float, now: float) -> None:
        """Take a new loan or the renewal of one."""
        self.advance(now)
        if loan.slices == 0 or loan.ends_at <= now:
            return
        self.loans[lender] = loan
        self._reshape(now)
        self.bucket.put(level)

    def end_loan(self, lender: str, now: float) -> None:
        """Give up a loan that its lender no longer makes."""
        self.advance(now)
        if self.loans.pop(lender, None) is not None:
            self._reshape(now)

    def drop_loans(self, now: float):
        """Give up all loans; yield lender, loan and level of each."""
        self.advance(now)
        total = sum(loan.slices for loan in self.loans.values())
        for lender, loan in self.loans.items():
            yield lender, loan, self.bucket.level * loan.slices / total
        self.loans.clear()
        self._reshape(now)

    def settle(self, node: str, spent: tuple[int, ...], now: float) -> None:
        """Note that a node has spent all tokens of some grants."""
        self.advance(now)
        for sequence in spent:
            if (node, sequence) in self.grants:
                self._end_grant((node, sequence))

    def take_back(self, node: str, sequence: int, tokens: int, now: float) -> None:
        """Add the tokens of a grant that come back before it lapses here."""
        self.advance(now)
        grant = self.grants.get((node, sequence))
        if grant is not None:
            self._end_grant((node, sequence))
            self.bucket.put(min(max(tokens, 0), grant.tokens))

    def grant(
        self, node: str, sequence: int, needed: int, ahead: int, now: float
    ) -> int:
        """Return how many tokens a node gets."""
        self.advance(now)
        if len(self.grants) >= MAX_GRANTS or (node, sequence) in self.grants:
            return 0
        tokens = min(max(needed, 0), int(self.bucket.level))
        left = self.bucket.level - tokens
        tokens += min(max(ahead, 0), int(left * AHEAD_SHARE))
        if tokens > 0:
            self.bucket.level -= tokens
            self.bucket.reserved += tokens
            grant = Grant(tokens, now + self.grant_term_s)
            self.grants[(node, sequence)] = grant
        return tokens
