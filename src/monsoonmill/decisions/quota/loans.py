"""An organisation's rate in the own slices: spent here or lent for a term.

While it is lent, the owner spends nothing of it. The owner counts the term
from the loan, the borrower from its request, which was earlier.
"""

from attrs import define, frozen

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN, SliceTable
from monsoonmill.decisions.quota.token_bucket import TokenBucket
from monsoonmill.model import Organisation
from monsoonmill.quota_messages import Loan, LoanReturn
from monsoonmill.settings import QuotaSettings


@frozen
class LoanWish:
    """What a borrower asked for, and how many slices there are to lend."""

    borrower: str
    sequence: int
    slices: int
    now: float


@frozen
class LoanEnd:
    """A borrower's early return of a loan."""

    borrower: str
    message: LoanReturn
    now: float


@define(eq=False)
class OwnRate:
    """One organisation's rate in the own slices; owner of its loan chart.

    Attributes
    ----------
    until : float
        When the loan, or the wait for tokens in flight after it, ends.
    resume_level : float
        Tokens that the owner goes on with then.
    """

    organisation: Organisation
    cfg: QuotaSettings
    bucket: TokenBucket
    chart: ChartInstance | None = None
    borrower: str = ""
    sequence: int = 0
    until: float = 0.0
    resume_level: float = 0.0
    loan: Loan | None = None

    @classmethod
    def create(
        cls, organisation: Organisation, cfg: QuotaSettings, now: float
    ) -> "OwnRate":
        """Return a rate that starts without tokens."""
        own = cls(organisation, cfg, TokenBucket(now))
        own.chart = LOAN_CHART.start(own)
        return own

    # Guards.
    def is_borrower(self, wish: LoanWish):
        """Return whether the asker is the present borrower."""
        return wish.borrower == self.borrower

    def is_last_loan(self, end: LoanEnd):
        """Return whether what comes back is the last loan that was made."""
        return (end.borrower, end.message.sequence) == (self.borrower, self.sequence)

    # Actions.
    def hand_over(self, wish: LoanWish):
        """Lend all for a term, level included."""
        level, self.bucket.level = self.bucket.level, 0.0
        self.borrower = wish.borrower
        self.sequence = wish.sequence
        term_s = self.cfg.loan_term_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self.until = wish.now + term_s
        self.resume_level = 0.0
        name = self.organisation.name
        self.loan = Loan(wish.sequence, name, wish.slices, level)

    def take_back(self, end: LoanEnd):
        """Resume once no token that the borrower granted is in flight."""
        term_s = self.cfg.grant_term_ms / 1000 * (1 + CLOCK_RATE_MARGIN)
        self.until = end.now + term_s
        self.resume_level = max(end.message.level, 0.0)

    def resume(self, now):
        """Spend from the own slices again."""
        self.borrower = ""
        self.bucket.updated_at = self.until
        self.bucket.put(self.resume_level)
        self.bucket.fill(now)

    # Use.
    def is_kept(self, now: float) -> bool:
        """Return whether the rate may be spent here; ends a lapsed loan."""
        if not self.chart.is_in("kept") and now >= self.until:
            self.chart.send("ended", now)
        return self.chart.is_in("kept")

    def reshape(self, organisation: Organisation, share: float, now: float) -> None:
        """Take on another rate, burst or share of them."""
        self.organisation = organisation
        if self.is_kept(now):
            self.bucket.reshape(organisation, share, now)
        else:
            self.bucket.rate = organisation.rate * share
            self.bucket.capacity = organisation.burst * share

    def take(self, now: float) -> bool:
        """Spend one token here if it is allowed."""
        return self.is_kept(now) and self.bucket.take(1.0, now)

    def lend(self, wish: LoanWish) -> Loan:
        """Return a loan; one of no slices if another node has them."""
        if self.is_kept(wish.now):
            self.bucket.fill(wish.now)
        if self.chart.send("lend", wish):
            return self.loan
        wait_s = max(self.until - wish.now, 0.0)
        return Loan(wish.sequence, self.organisation.name, 0, 0.0, wait_s)

    def end_loan(self, end: LoanEnd) -> None:
        """Take back what the borrower returns."""
        self.is_kept(end.now)
        self.chart.send("returned", end)


LOAN_CHART = bind_methods("loan", OwnRate)


class OwnRates:
    """The organisations' rates in the own slices.

    There is one entry for each organisation of the configuration.
    """

    def __init__(self, cfg: QuotaSettings, slices: SliceTable):
        self._cfg = cfg
        self._slices = slices
        self._rates: dict[str, OwnRate] = {}
        self._owned = 0

    def update(self, organisations: dict[str, Organisation], now: float) -> None:
        """Follow a change of the configuration or of the owned slices."""
        self._owned = self._slices.owned(now)
        share = self._owned / self._cfg.slices
        for name in self._rates.keys() - organisations.keys():
            # A borrower may go on for a term; its loan must not be forgotten.
            if self._rates[name].is_kept(now):
                del self._rates[name]
        for name, organisation in organisations.items():
            if name not in self._rates:
                self._rates[name] = OwnRate.create(organisation, self._cfg, now)
            self._rates[name].reshape(organisation, share, now)

    def has_changed(self, now: float) -> bool:
        """Return whether ``update`` has to follow a change of the slices."""
        return self._slices.owned(now) != self._owned

    def find(self, organisation: str) -> OwnRate | None:
        """Return the rate of an organisation, if it is configured."""
        return self._rates.get(organisation)

    def take(self, organisation: str, now: float) -> bool:
        """Spend one token of the own slices."""
        own = self._rates.get(organisation)
        if own is None or now >= self._slices.owned_until:
            return False
        return own.take(now)

    def lend(self, organisation: str, borrower: str, sequence: int, now: float) -> Loan:
        """Return a loan of an organisation's rate, of no slices if none can be."""
        own = self._rates.get(organisation)
        if own is None or self._owned == 0 or not self._slices.may_lend(now):
            return Loan(sequence, organisation, 0, 0.0)
        return own.lend(LoanWish(borrower, sequence, self._owned, now))

    def end_loan(self, borrower: str, message: LoanReturn, now: float) -> None:
        """Take a loan back."""
        own = self._rates.get(message.organisation)
        if own is not None:
            own.end_loan(LoanEnd(borrower, message, now))

    def wait_s(self, organisation: str, now: float) -> float:
        """Return how long until one token of the own slices can be spent."""
        own = self._rates.get(organisation)
        if own is None or self._owned == 0:
            return float("inf")
        if not own.is_kept(now):
            return own.until - now
        own.bucket.fill(now)
        return own.bucket.wait_s(1.0)

    def status(self) -> dict:
        """Return the state of each organisation's rate."""
        return {name: own.chart.state for name, own in self._rates.items()}
