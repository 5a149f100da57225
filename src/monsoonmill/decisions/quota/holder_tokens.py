"""Tokens of one organisation at its holder, from the loans that it has received."""

from attrs import define, field

from monsoonmill.decisions.quota.token_bucket import TokenBucket
from monsoonmill.model import Organisation

MAX_GRANTS = 4096
"""Most grants in flight of one organisation; further ones are refused."""
PREFETCH_SHARE = 0.5
"""Share of the remaining tokens that is granted for expected calls."""


@define
class BorrowedLoan:
    """A loan at its borrower, which uses it until ``ends_at``."""

    slices: int
    ends_at: float
    sequence: int


@define
class Grant:
    """Granted tokens in flight; their receiver drops them before ``expires_at``."""

    tokens: int
    expires_at: float


@define
class HolderTokens:
    """The bucket of all loans of one organisation.

    The tokens in flight count against its capacity until they expire or are
    reported as spent.
    """

    organisation: Organisation
    slices: int
    grant_term_s: float
    bucket: TokenBucket
    loans: dict[str, BorrowedLoan] = field(factory=dict)
    grants: dict[tuple[str, int], Grant] = field(factory=dict)

    def advance(self, now: float) -> None:
        """Process the ends of loans and grants up to ``now`` in their order."""
        while True:
            lender, loan = self._first_loan()
            key, grant = next(iter(self.grants.items()), (None, None))
            loan_due = loan.ends_at if loan else float("inf")
            grant_due = grant.expires_at if grant else float("inf")
            due = min(loan_due, grant_due)
            if due > now:
                break
            self.bucket.refill(due)
            if grant_due <= loan_due:
                self._end_grant(key)
            else:
                del self.loans[lender]
                self._resize(due)
        self.bucket.refill(now)

    def _first_loan(self):
        ends = ((loan.ends_at, lender) for lender, loan in self.loans.items())
        _, lender = min(ends, default=(None, None))
        return lender, self.loans.get(lender)

    def _end_grant(self, key):
        self.bucket.reserved -= self.grants.pop(key).tokens

    def _resize(self, now):
        total = sum(loan.slices for loan in self.loans.values())
        self.bucket.resize(self.organisation, total / self.slices, now)

    def change_limits(self, organisation: Organisation, now: float) -> None:
        """Apply another rate or burst."""
        self.advance(now)
        self.organisation = organisation
        self._resize(now)

    def add_loan(
        self, lender: str, loan: BorrowedLoan, level: float, now: float
    ) -> None:
        """Add a new loan or renew one."""
        self.advance(now)
        if loan.slices == 0 or loan.ends_at <= now:
            return
        self.loans[lender] = loan
        self._resize(now)
        self.bucket.deposit(level)

    def end_loan(self, lender: str, now: float) -> None:
        """Remove a loan that its lender has refused to renew."""
        self.advance(now)
        if self.loans.pop(lender, None) is not None:
            self._resize(now)

    def drop_loans(self, now: float):
        """Remove all loans; yield lender, loan and share of the level of each."""
        self.advance(now)
        total = sum(loan.slices for loan in self.loans.values())
        for lender, loan in self.loans.items():
            yield lender, loan, self.bucket.level * loan.slices / total
        self.loans.clear()
        self._resize(now)

    def end_spent_grants(self, node: str, spent: tuple[int, ...], now: float) -> None:
        """End the grants whose tokens a node has spent completely."""
        self.advance(now)
        for sequence in spent:
            if (node, sequence) in self.grants:
                self._end_grant((node, sequence))

    def accept_return(self, node: str, sequence: int, tokens: int, now: float) -> None:
        """Add the returned tokens of a grant that has not expired here."""
        self.advance(now)
        grant = self.grants.get((node, sequence))
        if grant is not None:
            self._end_grant((node, sequence))
            self.bucket.deposit(min(max(tokens, 0), grant.tokens))

    def grant(
        self, node: str, sequence: int, needed: int, ahead: int, now: float
    ) -> int:
        """Grant tokens to a node and return their number."""
        self.advance(now)
        if len(self.grants) >= MAX_GRANTS or (node, sequence) in self.grants:
            return 0
        tokens = min(max(needed, 0), int(self.bucket.level))
        remaining = self.bucket.level - tokens
        tokens += min(max(ahead, 0), int(remaining * PREFETCH_SHARE))
        if tokens > 0:
            self.bucket.level -= tokens
            self.bucket.reserved += tokens
            grant = Grant(tokens, now + self.grant_term_s)
            self.grants[(node, sequence)] = grant
        return tokens
