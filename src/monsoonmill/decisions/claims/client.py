"""Acquisition and settlement of claims for the calls of this node."""

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

INITIAL_RESEND_DELAY_S = 0.1
MAX_RESEND_DELAY_S = 1.0
"""The delay doubles with each resend, up to this value."""
SETTLE_TIMEOUT_S = 60.0
"""Time after which an unacknowledged settlement is not resent any more.

The claim then becomes ``unknown`` once it is overdue at its home.
"""
MAX_CALL_CLAIMS = 20_000
"""Limit on the claims of own calls that are requested, held or being settled."""
RETRY_AFTER_S = 1.0
"""Retry delay sent to a caller whose claim could not be requested or decided."""


class HomeLocator(ABC):
    """Locates a key's home: the node that decides on its claim."""

    @abstractmethod
    def partition(self, organisation: str, key: str) -> int:
        """Return the partition number of a key."""

    @abstractmethod
    def home(self, partition: int) -> tuple[str, int] | None:
        """Return a partition's home node and its epoch, if they are known."""

    @abstractmethod
    def on_no_answer(self, partition: int, now: float) -> Iterator[object]:
        """Handle a request to a partition's home that was not answered in time."""

    @abstractmethod
    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Handle the redirect of a node that can't decide at present."""


@define(eq=False)
class CallClaim:
    """The claim of one call; owner of a call claim chart.

    Attributes
    ----------
    claim : str
        Identifier of the claim, unique over all nodes and times.
    needed : ClaimNeeded
        Signal of the call that needs the claim.
    outcome : Outcome
        Outcome of the call, as reported to the claim's home.
    outbox : list
        Signals that have not been passed on yet.
    """

    claim: str
    needed: ClaimNeeded
    client: "ClaimClient"
    resend_delay_s: float = INITIAL_RESEND_DELAY_S
    outcome: Outcome = Outcome.NOT_RUN
    response: object = None
    chart: ChartInstance | None = None
    now: float = 0.0
    outbox: list = field(factory=list)

    def send_request(self, arg):
        """Request the claim from its home."""
        needed = self.needed
        partition = self.client.locator.partition(needed.organisation, needed.key)
        home = self._locate_home(partition)
        if home is None:
            return
        node, epoch = home
        timeout_ms = max(int((needed.deadline - self.now) * 1000), 1)
        req = ClaimRequest(
            self.claim,
            partition,
            epoch,
            needed.organisation,
            needed.key,
            needed.fingerprint,
            timeout_ms,
        )
        self.outbox.append(Send(node, req))

    def send_settle(self, arg):
        """Report the outcome of the call to the claim's home."""
        if isinstance(arg, ClaimedCallEnded):
            self.outcome = arg.outcome
            self.response = arg.response
        needed = self.needed
        partition = self.client.locator.partition(needed.organisation, needed.key)
        home = self._locate_home(partition)
        if home is None:
            return
        node, epoch = home
        settle = ClaimSettle(
            self.claim,
            partition,
            epoch,
            needed.organisation,
            needed.key,
            needed.fingerprint,
            self.outcome,
            self.response,
        )
        self.outbox.append(Send(node, settle))

    def _locate_home(self, partition):
        """Return the home, if it is known, and schedule the next resend."""
        jitter = self.client.rng.uniform(0.8, 1.2)
        self.client.resend_timers.set(
            self.claim, self.now + self.resend_delay_s * jitter
        )
        self.resend_delay_s = min(2 * self.resend_delay_s, MAX_RESEND_DELAY_S)
        return self.client.locator.home(partition)

    def grant_call(self, arg):
        """Allow the call to run."""
        self.client.resend_timers.cancel(self.claim)
        self.resend_delay_s = INITIAL_RESEND_DELAY_S
        self.outbox.append(ClaimGranted(self.needed.call))

    def deny_call(self, reply: ClaimReply):
        """Forbid the call to run."""
        self.outbox.append(
            ClaimDenied(
                self.needed.call,
                reply.reason,
                reply.outcome,
                reply.response,
                reply.retry_after_s,
            )
        )

    def time_out_call(self, arg):
        """Deny a call whose claim was not granted in time.

        The home may have granted the claim meanwhile, so it is settled as not run.
        This call has not run, but an earlier one with the same key may have.
        """
        self.resend_delay_s = INITIAL_RESEND_DELAY_S
        self.outbox.append(
            ClaimDenied(
                self.needed.call,
                Reason.CLAIMS_UNAVAILABLE,
                Outcome.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        )

    def count_unsettled(self, arg):
        """Count a claim that was not settled, so that its home makes it unknown."""
        self.client.counters.add("claims-unsettled")


CALL_CLAIM_CHART = bind_methods("call_claim", CallClaim)


class ClaimClient:
    """Acquires and settles the claims of this node's calls.

    Parameters
    ----------
    prefix : str
        First part of the claims' identifiers, unique to this process.
    """

    def __init__(
        self, prefix: str, locator: HomeLocator, rng: Random, counters: Counters
    ):
        self.locator = locator
        self.rng = rng
        self.counters = counters
        self.resend_timers = Timers()
        self._deadlines = Timers()
        self._claim_prefix = prefix
        self._numbers = count(1)
        self._claims: dict[str, CallClaim] = {}
        self._by_call: dict[str, CallClaim] = {}

    def __len__(self):
        return len(self._claims)

    def next_due(self) -> float | None:
        """Return when the next resend or deadline is due."""
        times = (self.resend_timers.next_due(), self._deadlines.next_due())
        return min((due for due in times if due is not None), default=None)

    def tick(self, now: float) -> Iterator[object]:
        """Time out and resend what is due."""
        for claim in self._deadlines.pop_due(now):
            yield from self._time_out(claim, now)
        for claim in list(self.resend_timers.pop_due(now)):
            call_claim = self._claims.get(claim)
            if call_claim is None:
                continue
            needed = call_claim.needed
            partition = self.locator.partition(needed.organisation, needed.key)
            yield from self.locator.on_no_answer(partition, now)
            yield from self._send_event(claim, "resend", now)

    def _time_out(self, claim, now):
        call_claim = self._claims.get(claim)
        if call_claim is not None:
            if call_claim.chart.is_in("asking"):
                self._deadlines.set(claim, now + SETTLE_TIMEOUT_S)
            yield from self._send_event(claim, "timed_out", now)

    def on_claim_needed(self, needed: ClaimNeeded, now: float) -> Iterator[object]:
        """Request the claim of a call."""
        if len(self._claims) >= MAX_CALL_CLAIMS:
            yield ClaimDenied(
                needed.call,
                Reason.CLAIMS_FULL,
                Outcome.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
            return
        call_claim = CallClaim(
            f"{self._claim_prefix}/{next(self._numbers)}", needed, self, now=now
        )
        self._claims[call_claim.claim] = call_claim
        self._by_call[needed.call] = call_claim
        self._deadlines.set(call_claim.claim, needed.deadline)
        call_claim.chart = CALL_CLAIM_CHART.start(call_claim)
        yield from self._drain_outbox(call_claim)

    def on_call_ended(self, ended: ClaimedCallEnded, now: float) -> Iterator[object]:
        """Settle the claim of a call that ended."""
        call_claim = self._by_call.get(ended.call)
        if call_claim is not None:
            self._deadlines.set(call_claim.claim, now + SETTLE_TIMEOUT_S)
            yield from self._send_event(call_claim.claim, "call_ended", now, ended)

    def on_reply(self, reply: ClaimReply, now: float) -> Iterator[object]:
        """Handle the home's decision; only the first one counts."""
        call_claim = self._claims.get(reply.claim)
        if call_claim is not None and now >= call_claim.needed.deadline:
            # A call past its deadline must not run, even if its claim is granted.
            yield from self._time_out(reply.claim, now)
            return
        event = "granted" if reply.granted else "denied"
        yield from self._send_event(reply.claim, event, now, reply)

    def on_redirect(
        self, node: str, redirect: ClaimRedirect, now: float
    ) -> Iterator[object]:
        """Let the locator update the home before the request is resent."""
        if redirect.claim in self._claims:
            yield from self.locator.on_redirect(node, redirect, now)

    def on_settled(self, settled: ClaimSettled, now: float) -> Iterator[object]:
        """Remove a claim whose outcome its home has stored (and its backup, if any)."""
        yield from self._send_event(settled.claim, "settled", now)

    def _send_event(self, claim, event, now, arg=None):
        call_claim = self._claims.get(claim)
        if call_claim is None:
            return
        call_claim.now = now
        call_claim.chart.send(event, arg)
        yield from self._drain_outbox(call_claim)

    def _drain_outbox(self, call_claim):
        if call_claim.chart.finished:
            self.resend_timers.cancel(call_claim.claim)
            self._deadlines.cancel(call_claim.claim)
            del self._claims[call_claim.claim]
            self._by_call.pop(call_claim.needed.call, None)
        signals, call_claim.outbox = call_claim.outbox, []
        yield from signals
