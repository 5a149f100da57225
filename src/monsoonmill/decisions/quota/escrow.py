"""Escrow quota: nodes own slices of all rates and lend them to token holders."""

from attrs import define

from monsoonmill.decisions.quota.holder_tokens import BorrowedLoan
from monsoonmill.decisions.quota.rate_limiting import QuotaDependencies, QuotaTimer
from monsoonmill.decisions.quota.sliced import SlicedQuota
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN
from monsoonmill.decisions.quota.token_holder import HolderEntry, TokenHolderQuota
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.quota_messages import Loan, LoanRequest, LoanReturn

LENDER_RETRY_S = 0.2
"""A lender without an answer is asked again after this time, and so is one that
considers another node the holder."""
EMPTY_LENDER_TERMS = 4
"""A request to a node without anything to lend is repeated after this many terms."""
IDLE_TERMS = 3
"""A holder returns its loans after this many terms without a token request."""
RENEWAL_SHARE = 0.5
"""Share of its term after which a loan is renewed."""


class RenewalTimer(QuotaTimer):
    """Timer of the renewal of an organisation's loans."""


@define
class LenderState:
    """A holder's state of one lender of one organisation's rate.

    Attributes
    ----------
    sequence : int
        Sequence of the last request; 0 once it is answered.
    request_after : float
        No request is sent before this time, except for a renewal.
    """

    sequence: int = 0
    sent_at: float = 0.0
    request_after: float = float("-inf")


class EscrowQuota(SlicedQuota, TokenHolderQuota):
    """Every slice is owned by one node and lent to one holder at a time."""

    def __init__(self, dependencies: QuotaDependencies):
        super().__init__(dependencies)
        self._lenders: dict[tuple[str, str], LenderState] = {}

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            LoanRequest: self.on_loan_request,
            Loan: self.on_loan,
            LoanReturn: self.on_loan_return,
        }

    def on_members_changed(self, signal, now):
        """Remove lenders that are no longer members."""
        yield from super().on_members_changed(signal, now)
        for key in [key for key in self._lenders if not self.members.find(key[1])]:
            del self._lenders[key]

    def on_timer(self, key, now):
        """Process one timer that is due."""
        if isinstance(key, RenewalTimer):
            yield from self._renew_loans(key.organisation, now)
        else:
            yield from super().on_timer(key, now)

    def describe(self, demand, now):
        """Add the number of this node's slices and the state of their loan."""
        rate = self.owned_rates.find(demand.organisation)
        state = "unknown" if rate is None else rate.chart.state
        return (
            f"{super().describe(demand, now)}, "
            f"owned slices {self.slices.owned_count(now)} {state}"
        )

    # Spending.
    def take_token(self, demand, now):
        """Spend a granted token, or one of this node's slices if not lent."""
        return demand.take_granted(now) or super().take_token(demand, now)

    def request_tokens(self, demand, now):
        """Request tokens from the holder unless this node's slices suffice."""
        if not demand.parked and self.owned_rates.wait_s(demand.organisation, now) == 0:
            return
        yield from super().request_tokens(demand, now)

    # Lending.
    def on_loan_request(self, signal: Received, now: float):
        """Lend this node's slices if it considers the requester the holder."""
        message = signal.message
        if self.holder(message.organisation) == signal.node:
            loan = self.owned_rates.lend(
                message.organisation, signal.node, message.sequence, now
            )
        else:
            retry_s = LENDER_RETRY_S
            loan = Loan(message.sequence, message.organisation, 0, 0.0, retry_s)
        yield Send(signal.node, loan)

    def on_loan_return(self, signal: Received, now: float):
        """Accept the early return of a loan."""
        self.owned_rates.end_loan(signal.node, signal.message, now)
        return ()

    # Borrowing.
    def request_capacity(self, entry: HolderEntry, now: float):
        """Request loans from all members that are not lending."""
        name = entry.tokens.organisation.name
        for member in self.alive_members():
            lender = self._lender(name, member.node)
            if member.node not in entry.tokens.loans and now >= lender.request_after:
                lender.request_after = now + LENDER_RETRY_S
                yield self._request_loan(name, member.node, lender, now)

    def _lender(self, organisation, node):
        return self._lenders.setdefault((organisation, node), LenderState())

    def _request_loan(self, organisation, node, lender, now):
        lender.sequence = next(self.sequences)
        lender.sent_at = now
        return Send(node, LoanRequest(lender.sequence, organisation))

    def is_capacity_pending(self, entry, now):
        """Return whether the answer of a lender is outstanding."""
        name = entry.tokens.organisation.name
        return any(
            lender.sequence and now < lender.sent_at + LENDER_RETRY_S
            for (organisation, node), lender in self._lenders.items()
            if organisation == name and node not in entry.tokens.loans
        )

    def on_loan(self, signal: Received, now: float):
        """Use a loan; its term counts from the time of the request."""
        message = signal.message
        entry = self.holder_entries.get(message.organisation)
        lender = self._lenders.get((message.organisation, signal.node))
        if entry is None or lender is None or lender.sequence != message.sequence:
            return
        lender.sequence = 0
        if message.slices == 0:
            terms_s = EMPTY_LENDER_TERMS * self.cfg.loan_term_ms / 1000
            lender.request_after = now + (message.retry_after_s or terms_s)
            entry.tokens.end_loan(signal.node, now)
        else:
            self._use_loan(entry, signal.node, lender, message, now)
        yield from self.serve_pending(entry, now)

    def _use_loan(self, entry, node, lender, message, now):
        term_s = self.cfg.loan_term_ms / 1000 * (1 - CLOCK_RATE_MARGIN)
        ends_at = lender.sent_at + term_s - self.cfg.grant_term_ms / 1000
        loan = BorrowedLoan(message.slices, ends_at, message.sequence)
        entry.tokens.add_loan(node, loan, message.level, now)
        timer = RenewalTimer(message.organisation)
        renew_at = lender.sent_at + self.cfg.loan_term_ms / 1000 * RENEWAL_SHARE
        if not self.timers.is_due_before(timer, renew_at):
            self.timers.set(timer, renew_at)

    def _renew_loans(self, organisation, now):
        entry = self.holder_entries.get(organisation)
        if entry is None or not self.is_holder(organisation):
            return
        if now - entry.requested_at > IDLE_TERMS * self.cfg.loan_term_ms / 1000:
            yield from self.release_capacity(entry, now)
            return
        entry.tokens.advance(now)
        for node in list(entry.tokens.loans):
            lender = self._lender(organisation, node)
            yield self._request_loan(organisation, node, lender, now)

    def release_capacity(self, entry, now):
        """Return all loans with the tokens that are left."""
        name = entry.tokens.organisation.name
        for node, loan, level in entry.tokens.drop_loans(now):
            yield Send(node, LoanReturn(loan.sequence, name, level))
        for (organisation, _), lender in self._lenders.items():
            if organisation == name:
                lender.sequence = 0
