"""One call: its chart, from a caller's request to its answer."""

from abc import ABC, abstractmethod

from attrs import define, evolve, field, frozen
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.authorization import (
    Caller,
)
from monsoonmill.decisions.calls.signals import Answer, CallArrived
from monsoonmill.decisions.claims.signals import (
    ClaimDenied,
    ClaimedCallEnded,
    ClaimNeeded,
)
from monsoonmill.decisions.quota.signals import TokenDenied, TokenRequested
from monsoonmill.decisions.retries.retry_limiter import RetryLimiter
from monsoonmill.decisions.signals import Send
from monsoonmill.messages import Cancel, Load, Reply
from monsoonmill.model import CallContext, Route
from monsoonmill.reasons import Outcome, Reason, RetryReason
from monsoonmill.settings import Settings

RETRY_COUNTERS = {
    Reason.UNREACHABLE: RetryReason.UNREACHABLE,
    Reason.SHED: RetryReason.SHED,
    Reason.QUEUE_FULL: RetryReason.SHED,
    Reason.BACKEND_SERVER_SHED: RetryReason.SHED,
    Reason.DRAINING: RetryReason.DRAINING,
    Reason.NO_BACKEND_SERVER: RetryReason.DRAINING,
    Reason.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    Reason.BROKEN_ANSWER: RetryReason.CONNECTION_LOST,
}
"""Failures that another backend server may not repeat."""
UNPLACED_REASONS = frozenset(
    (
        Reason.UNREACHABLE,
        Reason.SHED,
        Reason.QUEUE_FULL,
        Reason.DRAINING,
        Reason.NO_BACKEND_SERVER,
    )
)
"""Refusals by nodes: the backend servers beside them saw nothing of the call."""
RESERVE_DIVISOR = 2
"""A call keeps one try in so many to itself, for an attempt without a reply."""


@frozen
class ChartEvent:
    """An event for a call's own chart, sent once the present one is handled."""

    event: str
    arg: object


@frozen
class Failure:
    """How an attempt failed."""

    outcome: Outcome
    reason: Reason
    retry_after_s: float = 0.0


class CallOwner(ABC):
    """What a call needs of the part that drives it.

    Attributes
    ----------
    counters : Counters
        Where retries are counted.
    retries : RetryLimiter
        What pays for further tries.
    """

    counters: Counters
    retries: RetryLimiter
    cfg: Settings

    @abstractmethod
    def start_attempt(self, call: "Call") -> None:
        """Send a call to a node, or note that there is none."""

    @abstractmethod
    def forget_attempt(
        self, call: "Call", end: Reply | Failure, now: float, load: Load | None = None
    ) -> None:
        """Stop to await an attempt's reply."""

    @abstractmethod
    def why_no_retry(self, call: "Call") -> RetryReason | None:
        """Return why a failed attempt is not followed by another."""


@define(eq=False)
class Call:
    """One call in progress; owner of its call chart.

    Attributes
    ----------
    parent : str
        Context token of the parent call; empty for a call from outside.
    retries_left : int
        Further tries that this call holds itself.
    delegated_retries : int
        Further tries that went out with the attempt; its reply returns what is
        left of them, and without a reply they count as spent.
    attempt : str
        Name of the attempt whose reply is awaited; empty for none.
    node : str
        Node that the attempt was sent to.
    excluded : set of str
        Nodes that have failed this call.
    lost : int
        Attempts whose connection broke.
    rerun_work : float
        Runs that another run at the last attempt's backend server would cause.
    strain_below : float
        Share of runs that lose a nested call to overload at the last attempt's
        backend server.
    ended : list of str
        Attempts so far and how each ended, for the log.
    placements : int
        Further tries because a node refused before its backend server saw the
        call; they are bounded on their own.
    was_suspect : bool
        Whether the request was a suspect when the attempt was sent.
    may_have_run : bool
        Whether any attempt so far may have run, whatever became of later ones.
    token_of : str
        Organisation whose token goes back if the call never runs; empty for none.
    """

    arrival: CallArrived
    route: Route
    caller: Caller
    context: CallContext
    fingerprint: int
    flow: CallOwner
    arrived_at: float
    parent: str = ""
    retries_left: int = 0
    delegated_retries: int = 0
    attempt: str = ""
    node: str = ""
    sent_at: float = 0.0
    excluded: set[str] = field(factory=set)
    lost: int = 0
    placements: int = 0
    rerun_work: float = 1.0
    strain_below: float = 0.0
    ended: list[str] = field(factory=list)
    was_suspect: bool = False
    may_have_run: bool = False
    token_of: str = ""
    failure: Failure | None = None
    has_claim: bool = False
    chart: ChartInstance | None = None
    now: float = 0.0
    out: list = field(factory=list)

    @property
    def name(self) -> str:
        """Name of the call in this process."""
        return self.arrival.call

    @property
    def is_nested(self) -> bool:
        """Whether a backend server made the call while it ran another.

        Where backend servers echo no context, nested calls are those that come
        without a key.
        """
        return bool(self.parent) or not self.caller.key

    def delegate_retries(self) -> None:
        """Set tries apart for the next attempt and what it calls."""
        self.delegated_retries = (
            self.retries_left - self.retries_left // RESERVE_DIVISOR
        )
        self.retries_left -= self.delegated_retries

    def reclaim_retries(self, left: int) -> None:
        """Take back what an attempt has not spent.

        If it has spent all, what is tried again here would fail below again.
        """
        if self.delegated_retries > 0 and left <= 0:
            self.retries_left = 0
        self.retries_left += min(max(left, 0), self.delegated_retries)
        self.delegated_retries = 0

    # Guards.
    def pays_a_token(self, arg):
        """Return whether the call counts towards its organisation's rate."""
        return not self.parent and not self.route.open

    def needs_claim(self, arg=None):
        """Return whether the call needs the right to run once."""
        return bool(self.arrival.idempotency_key) and not self.route.idempotent

    def needs_no_claim(self, arg):
        """Return whether the call may run without a claim."""
        return not self.needs_claim()

    def needs_only_a_claim(self, arg):
        """Return whether the call needs a claim but no token."""
        return not self.pays_a_token(arg) and self.needs_claim()

    def needs_nothing(self, arg):
        """Return whether the call may run at once."""
        return not self.pays_a_token(arg) and not self.needs_claim()

    def may_retry(self, arg):
        """Return whether the failed attempt is followed by another."""
        return self.flow.why_no_retry(self) is None

    def may_not_retry(self, arg):
        """Return whether the failed attempt ends the call."""
        return not self.may_retry(arg)

    # Actions.
    def want_token(self, arg):
        """Ask for a token of the organisation."""
        context = self.context
        wanted = TokenRequested(self.name, context.organisation, context.deadline)
        self.out.append(wanted)

    def want_claim(self, arg):
        """Ask for the right to run once."""
        self.out.append(
            ClaimNeeded(
                self.name,
                self.context.organisation,
                self.arrival.idempotency_key,
                self.fingerprint,
                self.context.deadline,
            )
        )

    def note_claim(self, arg):
        """Remember that the claim has to be settled."""
        self.has_claim = True

    def start_attempt(self, arg):
        """Send the call to a node."""
        self.flow.start_attempt(self)

    def count_retry(self, arg):
        """Pay for a further try, if the last one reached a backend server."""
        is_free = self.placements < self.flow.cfg.call.placements
        if is_unplaced(self.failure) and is_free:
            self.placements += 1
        else:
            self.retries_left -= 1
            self.flow.retries.withdraw(self.route.service)
        self.flow.counters.add(RETRY_COUNTERS[self.failure.reason])

    def answer_expired(self, arg):
        """Tell the caller that the time is up."""
        outcome = self._outcome_so_far()
        self._cancel_attempt(Reason.DEADLINE)
        self._answer(Answer(self.name, outcome, reason=Reason.DEADLINE))

    def abandon(self, arg):
        """Stop what is under way, since nobody waits for the answer."""
        outcome = self._outcome_so_far()
        self._cancel_attempt(Reason.CANCELLED)
        self._answer(Answer(self.name, outcome, reason=Reason.CANCELLED))

    def answer_over_rate(self, denied: TokenDenied):
        """Tell the caller that its organisation has spent its rate."""
        self._refuse(Reason.OVER_RATE, denied.retry_after_s, denied.detail)

    def answer_claim_denied(self, denied: ClaimDenied):
        """Give the kept answer of an earlier run, or tell why there is none."""
        if denied.response is not None:
            kept = Answer(self.name, denied.outcome, denied.response)
            self._answer(kept)
            return
        self._answer(
            Answer(
                self.name,
                denied.outcome,
                reason=denied.reason,
                retry_after_s=denied.retry_after_s,
            )
        )

    def answer_no_backend_server(self, reason: Reason):
        """Tell the caller that no backend server can take the call."""
        if self.failure is not None:
            self.answer_failed(None)
        else:
            detail = f"{len(self.excluded)} nodes have failed this call"
            self._refuse(reason, 1.0, detail)

    def answer_reply(self, reply: Reply):
        """Pass the answer on."""
        self._answer(Answer(self.name, reply.outcome, reply.response))

    def answer_failed(self, arg):
        """Tell the caller how the last attempt failed."""
        failure = self.failure
        self._answer(
            Answer(
                self.name,
                self._outcome_so_far(),
                reason=failure.reason,
                retry_after_s=failure.retry_after_s,
            )
        )

    def _refuse(self, reason, retry_after_s, detail):
        refusal = Answer(
            self.name,
            Outcome.NOT_RUN,
            reason=reason,
            detail=detail,
            retry_after_s=retry_after_s,
        )
        self._answer(refusal)

    def _outcome_so_far(self):
        """Return what is known when no answer has come."""
        is_open = self.attempt or self.may_have_run
        # While the claim is not known, an earlier call of this key may have run.
        is_unknown = is_open or self.chart.is_in("waiting_for_claim")
        return Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN

    def _cancel_attempt(self, reason):
        if self.attempt:
            self.out.append(Send(self.node, Cancel(self.attempt)))
            failure = Failure(Outcome.UNKNOWN, reason)
            self.flow.forget_attempt(self, failure, self.now)

    def _answer(self, answer):
        if self.has_claim:
            self.out.append(
                ClaimedCallEnded(self.name, answer.outcome, answer.response)
            )
        self.out.append(answer)


def is_unplaced(failure: Failure) -> bool:
    """Return whether an attempt failed before a backend server saw it."""
    return failure.outcome is Outcome.NOT_RUN and failure.reason in UNPLACED_REASONS


def check_whole(reply: Reply) -> Reply:
    """Return a reply, or the failure that it is if its body is not whole."""
    if reply.response is None or xxh3_64_intdigest(reply.response.body) == reply.digest:
        return reply
    return evolve(
        reply, outcome=Outcome.UNKNOWN, reason=Reason.BROKEN_ANSWER, response=None
    )


CALL_CHART = bind_methods("call", Call)
