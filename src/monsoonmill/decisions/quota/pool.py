"""Tokens that the nodes of a group have in common.

In a large fleet a node's own part of a small rate is a fraction of a token, and a
call that comes early finds none while other nodes' parts lie idle. So most of what
a group may spend of a rate is kept by one of its nodes, which the others ask.
"""

from collections import deque
from collections.abc import Iterator

from attrs import define, field, frozen

POOL_SHARE = 0.8
"""Part of a group's tokens that its pool holds; the rest is spent without asking."""
ANSWER_S = 1.0
"""An answer that takes longer is lost; a wish waits at the keeper for two intervals."""
WAIT_INTERVALS = 2
"""Wishes wait for the tokens of so many intervals; others are answered at once."""
MOST_WANTED = 64
"""Tokens that one request asks for at the most."""


@frozen
class Wish:
    """Tokens that a node waits for at the keeper."""

    node: str
    wanted: int
    came_at: float


@define
class Pool:
    """One organisation's tokens in the pool, and a node's request for some.

    Attributes
    ----------
    tokens : float
        What the keeper may still give in this interval.
    income : float
        What an interval brings to the keeper.
    wishes : deque of Wish
        Those that wait at the keeper.
    asked_for : int
        Tokens of the request under way; 0 if there is none.
    asked_at : float
        When it was sent.
    rests_until : float
        The pool was empty; it is not asked before this time.
    """

    tokens: float = 0.0
    income: float = 0.0
    wishes: deque[Wish] = field(factory=deque)
    asked_for: int = 0
    asked_at: float = float("-inf")
    rests_until: float = float("-inf")

    def allow(self, tokens: float) -> None:
        """Set what the keeper may give in the next interval, beside what is left."""
        self.income = max(tokens, 0.0)
        kept = min(self.tokens, max(tokens, 1.0))
        self.tokens = max(kept + tokens, 0.0)

    def take(self, wanted: int) -> int:
        """Return how many tokens the keeper gives."""
        given = min(max(wanted, 0), int(self.tokens))
        self.tokens -= given
        return given

    def let_wait(self, wish: Wish) -> bool:
        """Let a wish wait if the tokens of the next intervals suffice for it."""
        ahead = sum(one.wanted for one in self.wishes)
        may_wait = ahead + wish.wanted <= WAIT_INTERVALS * self.income + 1
        if may_wait:
            self.wishes.append(wish)
        return may_wait

    def serve(self, now: float) -> Iterator[tuple[Wish, int]]:
        """Yield the wishes that get tokens now, the oldest first."""
        while self.wishes and (self.tokens >= 1 or self._is_late(now)):
            wish = self.wishes.popleft()
            yield wish, self.take(wish.wanted)

    def _is_late(self, now):
        return now - self.wishes[0].came_at >= ANSWER_S

    def may_ask(self, now: float) -> bool:
        """Return whether calls may wait for the pool's answer."""
        return now >= self.rests_until

    def is_asked(self, now: float) -> bool:
        """Return whether a request is under way."""
        return self.asked_for > 0 and now - self.asked_at < ANSWER_S

    def note_asked(self, wanted: int, now: float) -> None:
        """Note that a request has gone out."""
        self.asked_for = wanted
        self.asked_at = now

    def note_answer(self, tokens: int, now: float, rest_s: float) -> None:
        """Note an answer; a pool that had too little is left alone for a while."""
        if tokens < self.asked_for:
            self.rests_until = now + rest_s
        self.asked_for = 0
