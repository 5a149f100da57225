"""Claims as the calls of this node need them: asked for, held and settled."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from itertools import count
from random import Random

from attrs import define, field

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.claim_messages import (
    ClaimRedirect,
    ClaimReply,
    ClaimRequest,
    ClaimSettle,
    ClaimSettled,
)
from monsoonmill.counters import Counters
from monsoonmill.decisions.claims.signals import (
    ClaimDenied,
    ClaimedCallEnded,
    ClaimGranted,
    ClaimNeeded,
)
from monsoonmill.decisions.signals import Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.reasons import Outcome, Reason

FIRST_RESEND_S = 0.1
LAST_RESEND_S = 1.0
SETTLE_LIMIT_S = 60.0
"""An unacknowledged end is given up after this time; the claim turns unknown."""
MAX_ASKS = 20_000
"""Claims of own calls that are asked for, held or being settled."""
RETRY_AFTER_S = 1.0


class ClaimHomes(ABC):
    """Tells which node decides on a key's claim."""

    @abstractmethod
    def partition(self, organisation: str, key: str) -> int:
        """Return the number of a key's partition."""

    @abstractmethod
    def home(self, partition: int) -> tuple[str, int] | None:
        """Return the deciding node and its epoch, if they are known."""

    @abstractmethod
    def on_silence(self, partition: int, now: float) -> Iterator[object]:
        """Look for another home, since the present one does not answer."""

    @abstractmethod
    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Learn from a node that can't decide."""


@define(eq=False)
class ClaimAsk:
    """One call's claim; owner of its claim ask chart.

    Attributes
    ----------
    claim : str
        Names the claim; unique over all nodes and times.
    """

    claim: str
    wanted: ClaimNeeded
    asks: "ClaimAsks"
    resend_s: float = FIRST_RESEND_S
    outcome: Outcome = Outcome.NOT_RUN
    response: object = None
    chart: ChartInstance | None = None
    now: float = 0.0
    out: list = field(factory=list)

    def send_request(self, arg):
        """Ask the claim's home for the right to run."""
        wanted = self.wanted
        partition = self.asks.homes.partition(wanted.organisation, wanted.key)
        home = self._home(partition)
        if home is None:
            return
        node, epoch = home
        timeout_ms = max(int((wanted.deadline - self.now) * 1000), 1)
        req = ClaimRequest(
            self.claim,
            partition,
            epoch,
            wanted.organisation,
            wanted.key,
            wanted.fingerprint,
            timeout_ms,
        )
        self.out.append(Send(node, req))

    def send_settle(self, arg):
        """Tell the claim's home how the call ended."""
        if isinstance(arg, ClaimedCallEnded):
            self.outcome = arg.outcome
            self.response = arg.response
        wanted = self.wanted
        partition = self.asks.homes.partition(wanted.organisation, wanted.key)
        home = self._home(partition)
        if home is None:
            return
        node, epoch = home
        settle = ClaimSettle(
            self.claim,
            partition,
            epoch,
            wanted.organisation,
            wanted.key,
            wanted.fingerprint,
            self.outcome,
            self.response,
        )
        self.out.append(Send(node, settle))

    def _home(self, partition):
        jitter = self.asks.rng.uniform(0.8, 1.2)
        self.asks.timers.set(self.claim, self.now + self.resend_s * jitter)
        self.resend_s = min(2 * self.resend_s, LAST_RESEND_S)
        return self.asks.homes.home(partition)

    def give(self, arg):
        """Let the call run."""
        self.asks.timers.cancel(self.claim)
        self.resend_s = FIRST_RESEND_S
        self.out.append(ClaimGranted(self.wanted.call))

    def deny(self, reply: ClaimReply):
        """Keep the call from running."""
        self.out.append(
            ClaimDenied(
                self.wanted.call,
                reply.reason,
                reply.outcome,
                reply.response,
                reply.retry_after_s,
            )
        )

    def give_up(self, arg):
        """Deny the call; the claim may have been granted and is given back.

        The call never ran, but an earlier one with this key may have.
        """
        self.resend_s = FIRST_RESEND_S
        self.out.append(
            ClaimDenied(
                self.wanted.call,
                Reason.CLAIMS_UNAVAILABLE,
                Outcome.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def count_unsettled(self, arg):
        """Count a claim that will turn unknown at its home."""
        self.asks.counters.add("claims-unsettled")


ASK_CHART = bind_methods("claim_ask", ClaimAsk)


class ClaimAsks:
    """The claims of this node's calls."""

    def __init__(self, prefix: str, homes: ClaimHomes, rng: Random, counters: Counters):
        self.homes = homes
        self.rng = rng
        self.counters = counters
        self.timers = Timers()
        self._limits = Timers()
        self._prefix = prefix
        self._numbers = count(1)
        self._asks: dict[str, ClaimAsk] = {}
        self._by_call: dict[str, ClaimAsk] = {}

    def __len__(self):
        return len(self._asks)

    def next_due(self) -> float | None:
        """Return when the next repeat or time limit is due."""
        times = (self.timers.next_due(), self._limits.next_due())
        return min((one for one in times if one is not None), default=None)

    def tick(self, now: float) -> Iterator[object]:
        """Give up or repeat what is due."""
        for claim in self._limits.pop_due(now):
            yield from self._limit(claim, now)
        for claim in list(self.timers.pop_due(now)):
            ask = self._asks.get(claim)
            if ask is None:
                continue
            wanted = ask.wanted
            partition = self.homes.partition(wanted.organisation, wanted.key)
            yield from self.homes.on_silence(partition, now)
            yield from self._send(claim, "resend", now)

    def _limit(self, claim, now):
        ask = self._asks.get(claim)
        if ask is not None:
            if ask.chart.is_in("asking"):
                self._limits.set(claim, now + SETTLE_LIMIT_S)
            yield from self._send(claim, "time_up", now)

    def on_wanted(self, wanted: ClaimNeeded, now: float) -> Iterator[object]:
        """Ask for a call's claim."""
        if len(self._asks) >= MAX_ASKS:
            yield ClaimDenied(
                wanted.call,
                Reason.CLAIMS_FULL,
                Outcome.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
            return
        ask = ClaimAsk(f"{self._prefix}/{next(self._numbers)}", wanted, self, now=now)
        self._asks[ask.claim] = ask
        self._by_call[wanted.call] = ask
        self._limits.set(ask.claim, wanted.deadline)
        ask.chart = ASK_CHART.start(ask)
        yield from self._flush(ask)

    def on_done(self, done: ClaimedCallEnded, now: float) -> Iterator[object]:
        """Settle the claim of a call that ended."""
        ask = self._by_call.get(done.call)
        if ask is not None:
            self._limits.set(ask.claim, now + SETTLE_LIMIT_S)
            yield from self._send(ask.claim, "call_ended", now, done)

    def on_reply(self, reply: ClaimReply, now: float) -> Iterator[object]:
        """Take the home's decision; only the first counts."""
        ask = self._asks.get(reply.claim)
        if ask is not None and now >= ask.wanted.deadline:
            # A call whose time is up must not run, though its claim is granted.
            yield from self._limit(reply.claim, now)
            return
        event = "granted" if reply.granted else "denied"
        yield from self._send(reply.claim, event, now, reply)

    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Ask again soon, once the new home may be known."""
        if redirect.claim in self._asks:
            yield from self.homes.on_redirect(node, redirect, now)

    def on_settled(self, settled: ClaimSettled, now: float) -> Iterator[object]:
        """Forget a claim whose end is held by both copies."""
        yield from self._send(settled.claim, "settled", now)

    def _send(self, claim, event, now, arg=None):
        ask = self._asks.get(claim)
        if ask is None:
            return
        ask.now = now
        ask.chart.send(event, arg)
        yield from self._flush(ask)

    def _flush(self, ask):
        if ask.chart.finished:
            self.timers.cancel(ask.claim)
            self._limits.cancel(ask.claim)
            del self._asks[ask.claim]
            self._by_call.pop(ask.wanted.call, None)
        out, ask.out = ask.out, []
        yield from out
