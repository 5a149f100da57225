"""Tokens that the nodes of a group have in common.

In a large fleet a node's own part of a small rate is a fraction of a token, and a
call that comes early finds none while other nodes' parts lie idle. So most of what
a group may spend of a rate is held by one of its nodes, which the others ask.
"""

from collections import deque
from collections.abc import Iterator

from attrs import define, field, frozen

from monsoonmill.chart import ChartInstance, bind_methods

POOL_SHARE = 0.8
"""Part of a group's tokens that its pool holds; the rest is spent without asking."""
ANSWER_S = 1.0
"""An answer that takes longer counts as lost."""
WAIT_INTERVALS = 2
"""Requests wait for the tokens of so many intervals; others are answered at once."""
MOST_WANTED = 64
"""Tokens that one request asks for at the most."""


@frozen
class PendingRequest:
    """A request that waits at the holder for tokens."""

    node: str
    wanted: int
    came_at: float


@define
class Pool:
    """One organisation's tokens at the node that keeps them for its group.

    Attributes
    ----------
    tokens : float
        What may still be given in this interval.
    income : float
        What an interval brings.
    pending : deque of PendingRequest
        Those that wait.
    """

    tokens: float = 0.0
    income: float = 0.0
    pending: deque[PendingRequest] = field(factory=deque)

    def allow(self, tokens: float) -> None:
        """Set what the holder may give in the next interval, beside what is left."""
        self.income = max(tokens, 0.0)
        kept = min(self.tokens, max(tokens, 1.0))
        self.tokens = max(kept + tokens, 0.0)

    def take(self, wanted: int) -> int:
        """Return how many tokens the holder gives."""
        given = min(max(wanted, 0), int(self.tokens))
        self.tokens -= given
        return given

    def enqueue(self, request: PendingRequest) -> bool:
        """Let a request wait if the tokens of the next intervals suffice for it."""
        ahead = sum(one.wanted for one in self.pending)
        may_wait = ahead + request.wanted <= WAIT_INTERVALS * self.income + 1
        if may_wait:
            self.pending.append(request)
        return may_wait

    def serve(self, now: float) -> Iterator[tuple[PendingRequest, int]]:
        """Yield the requests that get tokens now, the oldest first."""
        while self.pending and (self.tokens >= 1 or self._is_late(now)):
            request = self.pending.popleft()
            yield request, self.take(request.wanted)

    def _is_late(self, now):
        return now - self.pending[0].came_at >= ANSWER_S


@define(eq=False)
class PoolRequest:
    """A node's requests for an organisation's tokens; owner of their chart.

    Attributes
    ----------
    wanted : int
        Tokens that the last request asked for.
    rest_s : float
        A pool that had too little is left alone for so long.
    due : float
        When the answer counts as lost, or the rest ends.
    """

    chart: ChartInstance | None = None
    wanted: int = 0
    rest_s: float = 0.0
    due: float = float("-inf")

    def __attrs_post_init__(self):
        self.chart = REQUEST_CHART.start(self, 0.0)

    # Actions.
    def send_request(self, now: float):
        """Expect the answer in its time."""
        self.due = now + ANSWER_S

    def start_rest(self, now: float):
        """Leave the holder alone."""
        self.due = now + self.rest_s

    def end_rest(self, now: float):
        """Let the holder be asked again."""
        self.due = float("-inf")

    # Use.
    def state(self, now: float) -> str:
        """Return whether it is idle, asking or resting at a time."""
        if self.chart.state != "idle" and now >= self.due:
            self.chart.send("silent" if self.chart.state == "asking" else "due", now)
        return self.chart.state

    def ask(self, wanted: int, now: float) -> None:
        """Note that a request goes out."""
        self.wanted = wanted
        self.chart.send("ask", now)

    def on_answer(self, tokens: int, rest_s: float, now: float) -> None:
        """Take the answer; one that comes too late changes nothing."""
        self.rest_s = rest_s
        self.chart.send("short" if tokens < self.wanted else "granted", now)


REQUEST_CHART = bind_methods("token_request", PoolRequest)
