"""State of one call, and its chart from request to answer."""

from abc import ABC, abstractmethod

from attrs import define, evolve, field
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.calls.authorization import Caller
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
from monsoonmill.model import CallContext, Route, is_valid_status
from monsoonmill.reasons import Outcome, Reason, RetryReason
from monsoonmill.settings import Settings
from monsoonmill.value_classes import frozen

RETRY_COUNTERS = {
    Reason.UNREACHABLE: RetryReason.UNREACHABLE,
    Reason.SHED: RetryReason.SHED,
    Reason.QUEUE_FULL: RetryReason.SHED,
    Reason.BACKEND_SERVER_SHED: RetryReason.SHED,
    Reason.DRAINING: RetryReason.DRAINING,
    Reason.NO_BACKEND_SERVER: RetryReason.DRAINING,
    Reason.REGION_NOT_ALLOWED: RetryReason.REGION,
    Reason.EVACUATED: RetryReason.EVACUATED,
    Reason.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    Reason.BROKEN_ANSWER: RetryReason.CONNECTION_LOST,
}
"""Failures after which another backend server may succeed, with the counters of
their retries."""
NODE_REFUSALS = frozenset(
    (
        Reason.UNREACHABLE,
        Reason.SHED,
        Reason.QUEUE_FULL,
        Reason.DRAINING,
        Reason.NO_BACKEND_SERVER,
        Reason.REGION_NOT_ALLOWED,
        Reason.EVACUATED,
    )
)
"""Reasons of refusals by a node, before its backend server received the call."""
DRAINING_RETRY_S = 1.0
"""Callers that retry after this time reach other nodes."""
RESERVE_DIVISOR = 2
"""A call keeps one in this many retries for itself. An attempt without a reply does
not return the retries that were delegated to it."""


@frozen
class DeferredEvent:
    """An event for the call's own chart, sent after the current event is handled."""

    event: str
    arg: object


@frozen
class AttemptFailure:
    """Outcome and reason of a failed attempt."""

    outcome: Outcome
    reason: Reason
    retry_after_s: float = 0.0


class CallController(ABC):
    """What a call needs from the decision that drives its chart.

    Attributes
    ----------
    counters : Counters
        Counters of retries.
    retry_limiter : RetryLimiter
        Limit on the retries of this node.
    """

    counters: Counters
    retry_limiter: RetryLimiter
    cfg: Settings

    @abstractmethod
    def start_attempt(self, call: "Call") -> None:
        """Send a call to a node, or send the chart an event if there is none."""

    @abstractmethod
    def close_attempt(
        self,
        call: "Call",
        result: Reply | AttemptFailure,
        now: float,
        load: Load | None = None,
    ) -> None:
        """Record the result of an attempt and stop waiting for its reply."""

    @abstractmethod
    def retry_refusal(self, call: "Call") -> RetryReason | None:
        """Return why a failed attempt is not retried; None if it may be."""


@define(eq=False)
class Call:
    """One call in progress; its methods are the guards and actions of its chart.

    Attributes
    ----------
    parent : str
        Context token of the parent call; empty for a call from outside.
    has_crossed : bool
        Whether its chain had left a region before this call.
    parent_route : str
        Route of the running request that may have made the call; empty if unknown.
    retries_left : int
        Retries that this call may still make itself.
    delegated_retries : int
        Retries sent along with the current attempt, for nested calls. Its reply
        returns the unused ones; without a reply they count as used.
    attempt : str
        Name of the attempt whose reply is awaited; empty if there is none.
    node : str
        Node that the last attempt was sent to.
    excluded : set of str
        Nodes at which an attempt of this call has failed.
    lost_connections : int
        Number of attempts whose connection was lost.
    rerun_cost : float
        Number of runs that repeating the last attempt would cause in the chain
        below it.
    nested_overload_share : float
        Share of runs at the last attempt's backend server that lose a nested
        call to overload.
    attempt_results : list of str
        The attempts so far with their results, for the log.
    placement_retries : int
        Retries after a node refused an attempt before its backend server
        received it. They have a limit of their own.
    was_suspect : bool
        Whether the request was suspected of crashing backend servers when the
        last attempt was sent.
    may_have_run : bool
        Whether any attempt so far may have run.
    root_organisation : str
        Organisation of the call above this one, if its allowed regions bind this call
        too; empty for none.
    token_organisation : str
        Organisation that gets its token back if the call never runs; empty if
        the call holds no token.
    revision : int
        Configuration revision by which it was routed.
    """

    arrival: CallArrived
    route: Route
    caller: Caller
    context: CallContext
    fingerprint: int
    controller: CallController
    arrived_at: float
    parent: str = ""
    root_organisation: str = ""
    has_crossed: bool = False
    parent_route: str = ""
    retries_left: int = 0
    delegated_retries: int = 0
    attempt: str = ""
    node: str = ""
    sent_at: float = 0.0
    excluded: set[str] = field(factory=set)
    lost_connections: int = 0
    placement_retries: int = 0
    rerun_cost: float = 1.0
    nested_overload_share: float = 0.0
    attempt_results: list[str] = field(factory=list)
    was_suspect: bool = False
    may_have_run: bool = False
    token_organisation: str = ""
    revision: int = 0
    failure: AttemptFailure | None = None
    has_claim: bool = False
    chart: ChartInstance | None = None
    now: float = 0.0
    outbox: list = field(factory=list)

    @property
    def name(self) -> str:
        """Name of the call, unique in this process."""
        return self.arrival.call

    @property
    def is_nested(self) -> bool:
        """Whether a backend server made the call while it ran another one.

        Where backend servers do not return contexts, calls without a key are
        nested calls.
        """
        return bool(self.parent) or not self.caller.key

    def delegate_retries(self) -> None:
        """Set retries aside for the next attempt and its nested calls."""
        self.delegated_retries = (
            self.retries_left - self.retries_left // RESERVE_DIVISOR
        )
        self.retries_left -= self.delegated_retries

    def reclaim_retries(self, left: int) -> None:
        """Take back the retries that an attempt has not used.

        If it has used all of them, a retry here would only fail below again, so
        none are left for this call either.
        """
        if self.delegated_retries > 0 and left <= 0:
            self.retries_left = 0
        self.retries_left += min(max(left, 0), self.delegated_retries)
        self.delegated_retries = 0

    def is_uncharged_placement(self, placements: int) -> bool:
        """Return whether the failed attempt may be placed elsewhere without a retry.

        An evacuated data centre refuses a call only once, since all its nodes are
        excluded then, so that this has no other limit.

        Parameters
        ----------
        placements : int
            Number of other refusals by nodes after which a call is placed elsewhere.
        """
        if not is_node_refusal(self.failure):
            return False
        is_evacuated = self.failure.reason is Reason.EVACUATED
        return is_evacuated or self.placement_retries < placements

    # Guards.
    def requires_token(self, arg):
        """Return whether the call counts towards its organisation's rate limit."""
        return not self.parent and not self.route.open

    def requires_claim(self, arg=None):
        """Return whether the call needs a claim, so that it runs at most once."""
        return bool(self.arrival.idempotency_key) and not self.route.idempotent

    def requires_no_claim(self, arg):
        """Return whether the call needs no claim."""
        return not self.requires_claim()

    def requires_only_claim(self, arg):
        """Return whether the call needs a claim but no token."""
        return not self.requires_token(arg) and self.requires_claim()

    def requires_neither(self, arg):
        """Return whether the call needs neither a token nor a claim."""
        return not self.requires_token(arg) and not self.requires_claim()

    def can_retry(self, arg):
        """Return whether the failed attempt is retried."""
        return self.controller.retry_refusal(self) is None

    def cannot_retry(self, arg):
        """Return whether the failed attempt is the last one."""
        return not self.can_retry(arg)

    # Actions.
    def request_token(self, arg):
        """Request a token of the organisation's rate limit."""
        context = self.context
        request = TokenRequested(self.name, context.organisation, context.deadline)
        self.outbox.append(request)

    def request_claim(self, arg):
        """Request the claim on the idempotency key."""
        self.outbox.append(
            ClaimNeeded(
                self.name,
                self.context.organisation,
                self.arrival.idempotency_key,
                self.fingerprint,
                self.context.deadline,
            )
        )

    def record_claim(self, arg):
        """Record that the claim has to be settled when the call ends."""
        self.has_claim = True

    def start_attempt(self, arg):
        """Send the call to a node."""
        self.controller.start_attempt(self)

    def charge_retry(self, arg):
        """Charge a retry to the limit that applies to the last failure."""
        if self.is_uncharged_placement(self.controller.cfg.call.placements):
            self.placement_retries += self.failure.reason is not Reason.EVACUATED
        else:
            self.retries_left -= 1
            self.controller.retry_limiter.withdraw(self.route.service)
        self.controller.counters.add(RETRY_COUNTERS[self.failure.reason])

    def answer_deadline(self, arg):
        """Answer that the deadline has passed, and cancel the attempt."""
        outcome = self._outcome_so_far()
        self._cancel_attempt(Reason.DEADLINE)
        self._answer(Answer(self.name, outcome, reason=Reason.DEADLINE))

    def answer_cancelled(self, arg):
        """End the call of a disconnected caller, and cancel the attempt."""
        outcome = self._outcome_so_far()
        self._cancel_attempt(Reason.CANCELLED)
        self._answer(Answer(self.name, outcome, reason=Reason.CANCELLED))

    def answer_draining(self, arg):
        """Answer that the node exits before the call has ended.

        An attempt that must not be repeated is not cancelled: it may still succeed.
        """
        outcome = self._outcome_so_far()
        if self.route.idempotent:
            self._cancel_attempt(Reason.DRAINING)
        self._answer(
            Answer(
                self.name,
                outcome,
                reason=Reason.DRAINING,
                retry_after_s=DRAINING_RETRY_S,
            )
        )

    def answer_over_rate(self, denied: TokenDenied):
        """Answer that the organisation has used up its rate limit."""
        self._refuse(Reason.OVER_RATE, denied.retry_after_s, denied.detail)

    def answer_claim_denied(self, denied: ClaimDenied):
        """Answer with the stored response of an earlier run, or with the refusal."""
        if denied.response is not None:
            stored = Answer(self.name, denied.outcome, denied.response)
            self._answer(stored)
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
        """Answer that no backend server can take the call."""
        if self.failure is not None:
            self.answer_failed(None)
        else:
            detail = f"attempts at {len(self.excluded)} nodes have failed"
            self._refuse(reason, 1.0, detail)

    def answer_reply(self, reply: Reply):
        """Answer with the response of the attempt."""
        self._answer(Answer(self.name, reply.outcome, reply.response))

    def answer_failed(self, arg):
        """Answer with the failure of the last attempt."""
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
        """Return the outcome of a call that has no reply."""
        may_have_run = self.attempt or self.may_have_run
        # Until the claim is decided, an earlier call with this key may have run.
        is_unknown = may_have_run or self.chart.is_in("waiting_for_claim")
        return Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN

    def _cancel_attempt(self, reason):
        if self.attempt:
            self.outbox.append(Send(self.node, Cancel(self.attempt)))
            failure = AttemptFailure(Outcome.UNKNOWN, reason)
            self.controller.close_attempt(self, failure, self.now)

    def _answer(self, answer):
        if self.has_claim:
            self.outbox.append(
                ClaimedCallEnded(self.name, answer.outcome, answer.response)
            )
        self.outbox.append(answer)


def is_node_refusal(failure: AttemptFailure) -> bool:
    """Return whether a node refused an attempt before it reached a backend server."""
    return failure.outcome is Outcome.NOT_RUN and failure.reason in NODE_REFUSALS


def verify_response(reply: Reply) -> Reply:
    """Return a reply, turned into a failure if its response is not a valid one.

    Its status is one that HTTP has, and its body matches the digest.
    """
    resp = reply.response
    if resp is None:
        return reply
    if is_valid_status(resp.status) and (xxh3_64_intdigest(resp.body) == reply.digest):
        return reply
    return evolve(
        reply, outcome=Outcome.UNKNOWN, reason=Reason.BROKEN_ANSWER, response=None
    )


CALL_CHART = bind_methods("call", Call)
