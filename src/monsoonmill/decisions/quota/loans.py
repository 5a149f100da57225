"""An organisation's rate in the slices of this node: spent here or lent for a term.

While it is lent, the owner spends nothing of it. The owner counts the term from
the loan, the borrower from its request, which was sent earlier.
"""

from attrs import define, frozen

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN, SliceTable
from monsoonmill.decisions.quota.token_bucket import TokenBucket
from monsoonmill.model import Organisation
from monsoonmill.quota_messages import Loan, LoanReturn
from monsoonmill.settings import QuotaSettings


@frozen
class ReceivedLoanRequest:
    """A borrower's request, and the number of slices that could be lent."""

    borrower: str
    sequence: int
    slices: int
    now: float


@frozen
class ReceivedLoanReturn:
    """A borrower's early return of a loan."""

    borrower: str
    message: LoanReturn
    now: float


@define(eq=False)
class OwnedRate:
    """One organisation's rate in the slices of this node; owner of its loan chart.

    Attributes
    ----------
    ends_at : float
        When the loan ends, or the wait for tokens in flight after its return.
    level_after_loan : float
        Level of the owner's bucket at that time.
    """

    organisation: Organisation
    cfg: QuotaSettings
    bucket: TokenBucket
    chart: ChartInstance | None = None
    borrower: str = ""
    sequence: int = 0
    ends_at: float = 0.0
    level_after_loan: float = 0.0
    loan: Loan | None = None

    @classmethod
    def create(
        cls, organisation: Organisation, cfg: QuotaSettings, now: float
    ) -> "OwnedRate":
        """Return a rate whose bucket is empty."""
        rate = cls(organisation, cfg, TokenBucket(now))
        rate.chart = LOAN_CHART.start(rate)
        return rate

    # Guards.
    def is_borrower(self, request: ReceivedLoanRequest):
        """Return whether the requester is the current borrower."""
        return request.borrower == self.borrower

    def is_latest_loan(self, loan_return: ReceivedLoanReturn):
        """Return whether the returned loan is the latest one."""
        return (loan_return.borrower, loan_return.message.sequence) == (
            self.borrower,
            self.sequence,
        )

    # Actions.
    def lend_tokens(self, request: ReceivedLoanRequest):
        """Lend the rate and all tokens of the bucket for a term."""
        level, self.bucket.level = self.bucket.level, 0.0
        self.borrower = request.borrower
        self.sequence = request.sequence
        term_s = self.cfg.loan_term_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self.ends_at = request.now + term_s
        self.level_after_loan = 0.0
        name = self.organisation.name
        self.loan = Loan(request.sequence, name, request.slices, level)

    def accept_return(self, loan_return: ReceivedLoanReturn):
        """Wait until no token granted by the borrower is in flight."""
        term_s = self.cfg.grant_term_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self.ends_at = loan_return.now + term_s
        self.level_after_loan = max(loan_return.message.level, 0.0)

    def resume(self, now):
        """Resume spending from the slices of this node."""
        self.borrower = ""
        self.bucket.updated_at = self.ends_at
        self.bucket.deposit(self.level_after_loan)
        self.bucket.refill(now)

    # Use.
    def is_kept(self, now: float) -> bool:
        """Return whether the rate may be spent here, after ending an expired loan."""
        if not self.chart.is_in("kept") and now >= self.ends_at:
            self.chart.send("expired", now)
        return self.chart.is_in("kept")

    def resize(self, organisation: Organisation, share: float, now: float) -> None:
        """Apply another rate, burst or share of them."""
        self.organisation = organisation
        if self.is_kept(now):
            self.bucket.resize(organisation, share, now)
        else:
            self.bucket.rate = organisation.rate * share
            self.bucket.capacity = organisation.burst * share

    def take(self, now: float) -> bool:
        """Spend one token if the rate is not lent and a token is available."""
        return self.is_kept(now) and self.bucket.take(1.0, now)

    def lend(self, request: ReceivedLoanRequest) -> Loan:
        """Return a loan; of no slices if they are lent to another node."""
        if self.is_kept(request.now):
            self.bucket.refill(request.now)
        if self.chart.send("lend", request):
            return self.loan
        wait_s = max(self.ends_at - request.now, 0.0)
        return Loan(request.sequence, self.organisation.name, 0, 0.0, wait_s)

    def end_loan(self, loan_return: ReceivedLoanReturn) -> None:
        """Process the borrower's return."""
        self.is_kept(loan_return.now)
        self.chart.send("returned", loan_return)


LOAN_CHART = bind_methods("loan", OwnedRate)


class OwnedRates:
    """The organisations' rates in the slices of this node.

    There is one entry for each organisation of the configuration.
    """

    def __init__(self, cfg: QuotaSettings, slices: SliceTable):
        self._cfg = cfg
        self._slices = slices
        self._rates: dict[str, OwnedRate] = {}
        self._owned_count = 0

    def update(self, organisations: dict[str, Organisation], now: float) -> None:
        """Apply a change of the configuration or of the owned slices."""
        self._owned_count = self._slices.owned_count(now)
        share = self._owned_count / self._cfg.slices
        for name in self._rates.keys() - organisations.keys():
            # A loan stays in force until its term ends, so its entry must be kept.
            if self._rates[name].is_kept(now):
                del self._rates[name]
        for name, organisation in organisations.items():
            if name not in self._rates:
                self._rates[name] = OwnedRate.create(organisation, self._cfg, now)
            self._rates[name].resize(organisation, share, now)

    def has_changed(self, now: float) -> bool:
        """Return whether the owned slices have changed since the last ``update``."""
        return self._slices.owned_count(now) != self._owned_count

    def find(self, organisation: str) -> OwnedRate | None:
        """Return the rate of an organisation; None if it is not configured."""
        return self._rates.get(organisation)

    def take(self, organisation: str, now: float) -> bool:
        """Spend one token of the slices of this node."""
        rate = self._rates.get(organisation)
        if rate is None or now >= self._slices.owned_until:
            return False
        return rate.take(now)

    def lend(self, organisation: str, borrower: str, sequence: int, now: float) -> Loan:
        """Return a loan of an organisation's rate; of no slices if none can be lent."""
        rate = self._rates.get(organisation)
        if rate is None or self._owned_count == 0 or not self._slices.may_lend(now):
            return Loan(sequence, organisation, 0, 0.0)
        return rate.lend(
            ReceivedLoanRequest(borrower, sequence, self._owned_count, now)
        )

    def end_loan(self, borrower: str, message: LoanReturn, now: float) -> None:
        """Process a borrower's return of a loan."""
        rate = self._rates.get(message.organisation)
        if rate is not None:
            rate.end_loan(ReceivedLoanReturn(borrower, message, now))

    def wait_s(self, organisation: str, now: float) -> float:
        """Return the time until a token of this node's slices can be spent."""
        rate = self._rates.get(organisation)
        if rate is None or self._owned_count == 0:
            return float("inf")
        if not rate.is_kept(now):
            return rate.ends_at - now
        rate.bucket.refill(now)
        return rate.bucket.wait_s(1.0)

    def status(self) -> dict:
        """Return the loan state of each organisation's rate."""
        return {name: rate.chart.state for name, rate in self._rates.items()}
