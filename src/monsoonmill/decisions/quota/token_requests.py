"""A node's side of the requests for tokens to an organisation's holder."""

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

AHEAD_TERMS = 0.5
"""Share of a grant's term for which expected calls are provided."""
LOW_WATER = 0.5
"""Share of the tokens for expected calls below which more are asked for."""
SILENT_REST_S = 0.05
LEAST_REST_S = 0.02
"""A holder that granted less than was asked for is left alone for so long."""
RETURN_BEFORE_S = 0.005
"""Tokens are given back this long before they lapse."""
MAX_SPENT = 64
"""Reports of spent grants that a node keeps for its next request."""


@define
class LocalGrant:
    """Tokens that this node may spend until they lapse."""

    sequence: int
    tokens: int
    lapses_at: float
    holder: str


class RestTimer(QuotaTimer):
    """Timer after which an organisation's holder is asked again."""


@frozen
class LapseTimer(QuotaTimer):
    """Timer after which the tokens of a grant are given back."""

    sequence: int


@frozen
class SilenceTimer(QuotaTimer):
    """Timer after which an answer is no longer waited for."""

    sequence: int


@define(eq=False)
class RequestingDemand(Demand):
    """An organisation's calls and the tokens got for them; owns a chart.

    Attributes
    ----------
    holder : str
        Node that is asked for tokens.
    spent : list of int
        Grants whose tokens are all spent, to be told to the holder.
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
    out: list = field(factory=list)

    @classmethod
    def create(
        cls, organisation: str, now: float, cfg: QuotaSettings, timers, counters
    ) -> "RequestingDemand":
        """Return the entry of an organisation without calls."""
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
        """Ask the holder."""
        request, self.spent = self.request, []
        self.sent_at = now
        silent_at = now + self.cfg.grant_term_ms / 1000
        self.timers.set(SilenceTimer(self.organisation, request.sequence), silent_at)
        self.out.append(Send(self.holder, request))

    def start_rest(self, now):
        """Leave the holder alone until the time that it has named."""
        due = max(self.next_token_at, now + LEAST_REST_S)
        self.timers.set(RestTimer(self.organisation), due)

    def end_rest(self, now):
        """Forget the time that the holder has named."""
        self.timers.cancel(RestTimer(self.organisation))

    # Use.
    def tokens(self, now: float) -> int:
        """Return the tokens at hand; forgets lapsed ones."""
        while self.grants and self.grants[0].lapses_at <= now:
            lapsed = self.grants.popleft()
            self.counters.add("tokens-lapsed", lapsed.tokens)
        return sum(grant.tokens for grant in self.grants)

    def take_granted(self, now: float) -> bool:
        """Spend one granted token."""
        if not self.tokens(now):
            return False
        grant = self.grants[0]
        grant.tokens -= 1
        if grant.tokens == 0:
            self.grants.popleft()
            self.timers.cancel(LapseTimer(self.organisation, grant.sequence))
            self.spent.append(grant.sequence)
            del self.spent[:-MAX_SPENT]
        return True

    def make_request(self, sequence: int, now: float) -> TokenRequest | None:
        """Return a request if tokens are needed or soon will be."""
        if not self.chart.is_in("idle"):
            return None
        needed = len(self.parked)
        term_s = self.cfg.grant_term_ms / 1000
        expected = self.arrivals.value(now) * AHEAD_TERMS * term_s
        at_hand = self.tokens(now)
        if needed == 0 and at_hand > expected * LOW_WATER:
            return None
        ahead = max(int(expected) - at_hand, 0)
        if needed + ahead == 0:
            return None
        spent = tuple(self.spent)
        return TokenRequest(sequence, self.organisation, needed, ahead, spent)

    def ask(self, request: TokenRequest, holder: str, now: float):
        """Yield a request to the holder."""
        self.request = request
        self.holder = holder
        self.chart.send("ask", now)
        yield from self.out
        self.out.clear()

    def on_grant(self, node: str, message: TokenGrant, now: float) -> None:
        """Take the answer to the request under way."""
        if not self.chart.is_in("asking") or node != self.holder:
            return
        if message.sequence != self.request.sequence:
            return
        self.timers.cancel(SilenceTimer(self.organisation, message.sequence))
        term_s = self.cfg.grant_term_ms / 1000 * (1 - CLOCK_RATE_MARGIN)
        if message.tokens > 0:
            lapses_at = self.sent_at + term_s
            grant = LocalGrant(message.sequence, message.tokens, lapses_at, node)
            self.grants.append(grant)
            timer = LapseTimer(self.organisation, message.sequence)
            self.timers.set(timer, lapses_at - RETURN_BEFORE_S)
        if message.retry_after_s > 0:
            self.next_token_at = now + message.retry_after_s
        wanted = self.request.needed + self.request.ahead
        is_short = message.tokens < wanted
        self.chart.send("short" if is_short else "granted", now)

    def give_back(self, sequence: int):
        """Yield the return of a grant's tokens; they are not spent any more."""
        for grant in [one for one in self.grants if one.sequence == sequence]:
            self.grants.remove(grant)
            self.counters.add("tokens-returned", grant.tokens)
            message = TokenReturn(sequence, self.organisation, grant.tokens)
            yield Send(grant.holder, message)

    def on_silence(self, sequence: int, now: float) -> None:
        """Give up waiting for an answer."""
        if self.chart.is_in("asking") and self.request.sequence == sequence:
            self.next_token_at = now + SILENT_REST_S
            self.counters.add("token-requests-unanswered")
            self.chart.send("silent", now)


REQUEST_CHART = bind_methods("token_request", RequestingDemand)
"""Interpreter of the requests' chart."""
