"""Escrow: nodes own slices of all rates and lend them to the token holders."""

from attrs import define

from monsoonmill.decisions.quota.held import HeldOrganisation, HeldQuota
from monsoonmill.decisions.quota.held_tokens import HeldLoan
from monsoonmill.decisions.quota.rate_limiting import QuotaDependencies, QuotaTimer
from monsoonmill.decisions.quota.sliced import SlicedQuota
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN
from monsoonmill.decisions.signals import Received, Send
from monsoonmill.quota_messages import Loan, LoanRequest, LoanReturn

ASK_LENDER_EVERY_S = 0.2
EMPTY_LENDER_TERMS = 4
"""A node that has nothing to lend is asked again after this many terms."""
IDLE_TERMS = 3
"""A holder returns its loans after this many terms without a request."""
RENEW_AT = 0.5
"""Share of its term after which a loan is renewed."""


class RenewTimer(QuotaTimer):
    """Timer of the renewal of an organisation's loans."""


@define
class Lender:
    """What a holder knows of one lender of one organisation's rate.

    Attributes
    ----------
    sequence : int
        Sequence of the last request; 0 once it is answered.
    ask_after : float
        It is not asked before this time unless for a renewal.
    """

    sequence: int = 0
    sent_at: float = 0.0
    ask_after: float = float("-inf")


class EscrowQuota(SlicedQuota, HeldQuota):
    """Every slice is owned by one node and lent to one holder at a time."""

    def __init__(self, parts: QuotaDependencies):
        super().__init__(parts)
        self._lenders: dict[tuple[str, str], Lender] = {}

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            **super().handlers(),
            LoanRequest: self.on_loan_request,
            Loan: self.on_loan,
            LoanReturn: self.on_loan_return,
        }

    def on_members_changed(self, signal, now):
        """Forget lenders that are gone."""
        yield from super().on_members_changed(signal, now)
        for key in [key for key in self._lenders if not self.members.find(key[1])]:
            del self._lenders[key]

    def on_timer(self, key, now):
        """Act on one timer."""
        if isinstance(key, RenewTimer):
            yield from self._renew(key.organisation, now)
        else:
            yield from super().on_timer(key, now)

    def describe(self, demand, now):
        """Return the own slices beside what is known of the holder."""
        own = self.own.find(demand.organisation)
        kept = "unknown" if own is None else own.chart.state
        return f"{super().describe(demand, now)}, own {self.slices.owned(now)} {kept}"

    # Spending.
    def take(self, demand, now):
        """Spend a granted token, or one of the own slices that are not lent."""
        return demand.take_granted(now) or super().take(demand, now)

    def ask(self, demand, now):
        """Ask the holder unless the own slices are enough."""
        if not demand.parked and self.own.wait_s(demand.organisation, now) == 0:
            return
        yield from super().ask(demand, now)

    # Lending.
    def on_loan_request(self, signal: Received, now: float):
        """Lend the own slices to the holder in this node's view."""
        message = signal.message
        if self.holder(message.organisation) == signal.node:
            loan = self.own.lend(
                message.organisation, signal.node, message.sequence, now
            )
        else:
            retry_s = ASK_LENDER_EVERY_S
            loan = Loan(message.sequence, message.organisation, 0, 0.0, retry_s)
        yield Send(signal.node, loan)

    def on_loan_return(self, signal: Received, now: float):
        """Take a loan back before its end."""
        self.own.end_loan(signal.node, signal.message, now)
        return ()

    # Borrowing.
    def get_capacity(self, held: HeldOrganisation, now: float):
        """Ask all members for loans that have not lent yet."""
        name = held.tokens.organisation.name
        for member in self.alive():
            lender = self._lender(name, member.node)
            if member.node not in held.tokens.loans and now >= lender.ask_after:
                lender.ask_after = now + ASK_LENDER_EVERY_S
                yield self._request_loan(name, member.node, lender, now)

    def _lender(self, organisation, node):
        return self._lenders.setdefault((organisation, node), Lender())

    def _request_loan(self, organisation, node, lender, now):
        lender.sequence = next(self.sequences)
        lender.sent_at = now
        return Send(node, LoanRequest(lender.sequence, organisation))

    def is_on_its_way(self, held, now):
        """Return whether a lender has still to answer."""
        name = held.tokens.organisation.name
        return any(
            lender.sequence and now < lender.sent_at + ASK_LENDER_EVERY_S
            for (organisation, node), lender in self._lenders.items()
            if organisation == name and node not in held.tokens.loans
        )

    def on_loan(self, signal: Received, now: float):
        """Use a loan, from the time of its request on."""
        message = signal.message
        held = self.held.get(message.organisation)
        lender = self._lenders.get((message.organisation, signal.node))
        if held is None or lender is None or lender.sequence != message.sequence:
            return
        lender.sequence = 0
        if message.slices == 0:
            terms_s = EMPTY_LENDER_TERMS * self.cfg.loan_term_ms / 1000
            lender.ask_after = now + (message.retry_after_s or terms_s)
            held.tokens.end_loan(signal.node, now)
        else:
            self._use_loan(held, signal.node, lender, message, now)
        yield from self.serve_pending(held, now)

    def _use_loan(self, held, node, lender, message, now):
        term_s = self.cfg.loan_term_ms / 1000 * (1 - CLOCK_RATE_MARGIN)
        ends_at = lender.sent_at + term_s - self.cfg.grant_term_ms / 1000
        loan = HeldLoan(message.slices, ends_at, message.sequence)
        held.tokens.add_loan(node, loan, message.level, now)
        timer = RenewTimer(message.organisation)
        renew_at = lender.sent_at + self.cfg.loan_term_ms / 1000 * RENEW_AT
        if not self.timers.is_due_before(timer, renew_at):
            self.timers.set(timer, renew_at)

    def _renew(self, organisation, now):
        held = self.held.get(organisation)
        if held is None or not self.is_holder(organisation):
            return
        if now - held.wanted_at > IDLE_TERMS * self.cfg.loan_term_ms / 1000:
            yield from self.give_up_capacity(held, now)
            return
        held.tokens.advance(now)
        for node in list(held.tokens.loans):
            lender = self._lender(organisation, node)
            yield self._request_loan(organisation, node, lender, now)

    def give_up_capacity(self, held, now):
        """Return all loans with the tokens that are left."""
        name = held.tokens.organisation.name
        for node, loan, level in held.tokens.drop_loans(now):
            yield Send(node, LoanReturn(loan.sequence, name, level))
        for (organisation, _), lender in self._lenders.items():
            if organisation == name:
                lender.sequence = 0
