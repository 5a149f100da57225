"""Token pools shared by the nodes of a group.

In a large fleet a node's part of a small rate is a fraction of a token: a call
that comes early finds no token while the parts of other nodes stay unused.
Therefore one node of a group holds most of what the group may spend of a rate,
and the others request tokens from it.
"""

from collections import deque
from collections.abc import Iterator

from attrs import define, field, frozen

from monsoonmill.chart import ChartInstance, bind_methods

POOL_SHARE = 0.8
"""Part of a group's tokens held by its pool; the rest is spent without a request."""
ANSWER_TIMEOUT_S = 1.0
"""Time after which an answer counts as lost."""
MAX_WAIT_INTERVALS = 2
"""Requests wait if the tokens of this many intervals suffice for them; others are
answered at once."""
MAX_ROUNDING = 1e-6
"""Tokens by which a full pool may seem short, from rounding."""
MAX_REQUESTED = 64
"""Most tokens in one request."""


@frozen
class PendingRequest:
    """A request that waits at the pool holder for tokens."""

    node: str
    wanted: int
    received_at: float


@define
class TokenPool:
    """One organisation's tokens at the node that holds them for its group.

    Attributes
    ----------
    tokens : float
        Tokens that may still be granted in this interval.
    interval_tokens : float
        Tokens that an interval adds.
    pending : deque of PendingRequest
        Waiting requests, oldest first.
    """

    tokens: float = 0.0
    interval_tokens: float = 0.0
    pending: deque[PendingRequest] = field(factory=deque)

    def refill(self, tokens: float) -> None:
        """Add the tokens of the next interval to those that are left."""
        self.interval_tokens = max(tokens, 0.0)
        carried = min(self.tokens, max(tokens, 1.0))
        self.tokens = max(carried + tokens, 0.0)

    @property
    def is_full(self) -> bool:
        """Whether a refill adds nothing and no request waits."""
        most = max(self.interval_tokens, 1.0) + self.interval_tokens
        return not self.pending and (
            self.interval_tokens <= 0 or self.tokens >= most - MAX_ROUNDING
        )

    def take(self, wanted: int) -> int:
        """Remove up to ``wanted`` tokens and return their number."""
        granted = min(max(wanted, 0), int(self.tokens))
        self.tokens -= granted
        return granted

    def enqueue(self, request: PendingRequest) -> bool:
        """Queue a request if the tokens of the next intervals suffice for it."""
        queued = sum(pending.wanted for pending in self.pending)
        may_wait = (
            queued + request.wanted <= MAX_WAIT_INTERVALS * self.interval_tokens + 1
        )
        if may_wait:
            self.pending.append(request)
        return may_wait

    def serve(self, now: float) -> Iterator[tuple[PendingRequest, int]]:
        """Yield the requests to answer now with their tokens, oldest first."""
        while self.pending and (self.tokens >= 1 or self._is_timed_out(now)):
            request = self.pending.popleft()
            yield request, self.take(request.wanted)

    def _is_timed_out(self, now):
        return now - self.pending[0].received_at >= ANSWER_TIMEOUT_S


@define(eq=False)
class PoolRequest:
    """A node's requests to the pool of an organisation; owner of their chart.

    Attributes
    ----------
    wanted : int
        Tokens in the last request.
    backoff_s : float
        Delay before the next request after a pool had too few tokens.
    due : float
        Time at which the answer counts as lost, or the back-off ends.
    """

    chart: ChartInstance | None = None
    wanted: int = 0
    backoff_s: float = 0.0
    due: float = float("-inf")

    def __attrs_post_init__(self):
        self.chart = REQUEST_CHART.start(self, 0.0)

    # Actions.
    def send_request(self, now: float):
        """Start the answer time-out."""
        self.due = now + ANSWER_TIMEOUT_S

    def start_backoff(self, now: float):
        """Send no request for ``backoff_s``."""
        self.due = now + self.backoff_s

    def end_backoff(self, now: float):
        """Allow the next request."""
        self.due = float("-inf")

    # Use.
    def state(self, now: float) -> str:
        """Return the chart's state after the transitions that are due."""
        if self.chart.state != "idle" and now >= self.due:
            self.chart.send(
                "timed_out" if self.chart.state == "asking" else "backoff_elapsed", now
            )
        return self.chart.state

    def request(self, wanted: int, now: float) -> None:
        """Record that a request is sent."""
        self.wanted = wanted
        self.chart.send("request", now)

    def on_answer(self, tokens: int, backoff_s: float, now: float) -> None:
        """Process the answer; one after the time-out has no effect."""
        self.backoff_s = backoff_s
        self.chart.send("partly_granted" if tokens < self.wanted else "granted", now)


REQUEST_CHART = bind_methods("token_request", PoolRequest)
