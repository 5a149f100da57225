"""Token requests that a node sends to the holder of an organisation's tokens."""

from collections import deque

from attrs import define, field, frozen

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.quota.rate_limiting import Demand, QuotaTimer
from monsoonmill.decisions.quota.slices import CLOCK_RATE_MARGIN
from monsoonmill.decisions.quota.token_bucket import RateEstimate
from monsoonmill.decisions.signals import Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.quota_messages import TokenGrant, TokenRequest, TokenReturn
from monsoonmill.settings import QuotaSettings

PREFETCH_TERMS = 0.5
"""Share of a grant's term for whose expected calls tokens are requested."""
LOW_WATER_MARK = 0.5
"""Share of the tokens for expected calls below which more are requested."""
UNANSWERED_BACKOFF_S = 0.05
"""Back-off after a request without an answer."""
MIN_BACKOFF_S = 0.02
"""Shortest back-off after a holder granted fewer tokens than requested."""
RETURN_LEAD_S = 0.005
"""Tokens are returned this long before they expire."""
MAX_SPENT = 64
"""Most spent grants that a request reports; earlier ones expire at the holder."""


@define
class LocalGrant:
    """Tokens that this node may spend until they expire."""

    sequence: int
    tokens: int
    expires_at: float
    holder: str


class BackoffTimer(QuotaTimer):
    """Timer after which the next request may be sent to the holder."""


@frozen
class GrantExpiry(QuotaTimer):
    """Timer after which the tokens of a grant are returned."""

    sequence: int


@frozen
class AnswerTimeout(QuotaTimer):
    """Timer after which an answer counts as lost."""

    sequence: int


@define(eq=False)
class RequestingDemand(Demand):
    """An organisation's calls and the tokens granted for them; owner of a chart.

    Attributes
    ----------
    holder : str
        Node to which the current request was sent.
    spent : list of int
        Grants whose tokens are all spent, to be reported to the holder.
    """

    cfg: QuotaSettings = field(kw_only=True)
    timers: Timers = field(kw_only=True)
    counters: Counters = field(kw_only=True)
    chart: ChartInstance | None = None
    holder: str = ""
    request: TokenRequest | None = None
    sent_at: float = 0.0
    grants: deque[LocalGrant] = field(factory=deque)
    spent: list[int] = field(factory=list)
    outbox: list = field(factory=list)

    @classmethod
    def create(
        cls, organisation: str, now: float, cfg: QuotaSettings, timers, counters
    ) -> "RequestingDemand":
        """Return a new entry for an organisation that has sent no calls."""
        demand = cls(
            organisation,
            RateEstimate(now),
            RateEstimate(now),
            cfg=cfg,
            timers=timers,
            counters=counters,
        )
        demand.chart = REQUEST_CHART.start(demand)
        return demand

    # Actions.
    def send_request(self, now):
        """Send the request to the holder."""
        request, self.spent = self.request, []
        self.sent_at = now
        times_out_at = now + self.cfg.grant_term_ms / 1000
        self.timers.set(
            AnswerTimeout(self.organisation, request.sequence), times_out_at
        )
        self.outbox.append(Send(self.holder, request))

    def start_backoff(self, now):
        """Send no request before the time of the next token."""
        due = max(self.next_token_at, now + MIN_BACKOFF_S)
        self.timers.set(BackoffTimer(self.organisation), due)

    def end_backoff(self, now):
        """Cancel the timer of the back-off."""
        self.timers.cancel(BackoffTimer(self.organisation))

    # Use.
    def available_tokens(self, now: float) -> int:
        """Return the number of unspent tokens, after dropping expired ones."""
        while self.grants and self.grants[0].expires_at <= now:
            expired = self.grants.popleft()
            self.counters.add("tokens-lapsed", expired.tokens)
        return sum(grant.tokens for grant in self.grants)

    def take_granted(self, now: float) -> bool:
        """Spend one granted token."""
        if not self.available_tokens(now):
            return False
        grant = self.grants[0]
        grant.tokens -= 1
        if grant.tokens == 0:
            self.grants.popleft()
            self.timers.cancel(GrantExpiry(self.organisation, grant.sequence))
            self.spent.append(grant.sequence)
            del self.spent[:-MAX_SPENT]
        return True

    def make_request(self, sequence: int, now: float) -> TokenRequest | None:
        """Return a request if tokens are needed now or shortly; None otherwise."""
        if not self.chart.is_in("idle"):
            return None
        needed = len(self.parked)
        term_s = self.cfg.grant_term_ms / 1000
        expected = self.arrivals.value(now) * PREFETCH_TERMS * term_s
        available = self.available_tokens(now)
        if needed == 0 and available > expected * LOW_WATER_MARK:
            return None
        ahead = max(int(expected) - available, 0)
        if needed + ahead == 0:
            return None
        spent = tuple(self.spent)
        return TokenRequest(sequence, self.organisation, needed, ahead, spent)

    def send(self, request: TokenRequest, holder: str, now: float):
        """Yield a request to the holder."""
        self.request = request
        self.holder = holder
        self.chart.send("request", now)
        yield from self.outbox
        self.outbox.clear()

    def on_grant(self, node: str, message: TokenGrant, now: float) -> None:
        """Process the answer to the current request."""
        if not self.chart.is_in("asking") or node != self.holder:
            return
        if message.sequence != self.request.sequence:
            return
        self.timers.cancel(AnswerTimeout(self.organisation, message.sequence))
        term_s = self.cfg.grant_term_ms / 1000 * (1 - CLOCK_RATE_MARGIN)
        if message.tokens > 0:
            expires_at = self.sent_at + term_s
            grant = LocalGrant(message.sequence, message.tokens, expires_at, node)
            self.grants.append(grant)
            timer = GrantExpiry(self.organisation, message.sequence)
            self.timers.set(timer, expires_at - RETURN_LEAD_S)
        if message.retry_after_s > 0:
            self.next_token_at = now + message.retry_after_s
        wanted = self.request.needed + self.request.ahead
        is_partial = message.tokens < wanted
        self.chart.send("partly_granted" if is_partial else "granted", now)

    def return_tokens(self, sequence: int):
        """Yield the return of a grant's tokens, which are not spent any more."""
        for grant in [
            granted for granted in self.grants if granted.sequence == sequence
        ]:
            self.grants.remove(grant)
            self.counters.add("tokens-returned", grant.tokens)
            message = TokenReturn(sequence, self.organisation, grant.tokens)
            yield Send(grant.holder, message)

    def on_answer_timeout(self, sequence: int, now: float) -> None:
        """Stop waiting for an answer and start the back-off."""
        if self.chart.is_in("asking") and self.request.sequence == sequence:
            self.next_token_at = now + UNANSWERED_BACKOFF_S
            self.counters.add("token-requests-unanswered")
            self.chart.send("timed_out", now)


REQUEST_CHART = bind_methods("token_request", RequestingDemand)
"""Interpreter of the requests' chart."""
