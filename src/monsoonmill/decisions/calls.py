"""Calls where they come in: from a caller's request to its answer."""

from itertools import count

from attrs import define, evolve, field, frozen
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.authorization import (
    Authorization,
    Caller,
    fingerprint_request,
)
from monsoonmill.decisions.contexts import ContextTable
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.front_door import FrontDoor
from monsoonmill.decisions.poison import PoisonGuard
from monsoonmill.decisions.retries import RetryLimiter
from monsoonmill.decisions.routing import Router
from monsoonmill.decisions.signals import (
    Answer,
    AttemptObserved,
    AttemptStarted,
    CallArrived,
    CallerGone,
    ClaimDenied,
    ClaimDone,
    ClaimGiven,
    ClaimWanted,
    PeerDown,
    PeerUnreachable,
    Send,
    TokenDenied,
    TokenGiven,
    TokenWanted,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import RefusedError
from monsoonmill.messages import Cancel, Forward, Load, Reply
from monsoonmill.model import CallContext, Route
from monsoonmill.reasons import Importance, Outcome, Reason, RetryReason
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


@define(eq=False)
class Call:
    """One call in progress; owner of its call chart.

    Attributes
    ----------
    parent : str
        Context token of the parent call; empty for a call from outside.
    tries : int
        Further tries that this call holds itself.
    lent_tries : int
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
    was_suspect : bool
        Whether the request was a suspect when the attempt was sent.
    may_have_run : bool
        Whether any attempt so far may have run, whatever became of later ones.
    """

    arrival: CallArrived
    route: Route
    caller: Caller
    context: CallContext
    fingerprint: int
    flow: "CallFlow"
    arrived_at: float
    parent: str = ""
    tries: int = 0
    lent_tries: int = 0
    attempt: str = ""
    node: str = ""
    sent_at: float = 0.0
    excluded: set[str] = field(factory=set)
    lost: int = 0
    was_suspect: bool = False
    may_have_run: bool = False
    failure: Failure | None = None
    has_claim: bool = False
    chart: ChartInstance | None = None
    now: float = 0.0
    out: list = field(factory=list)

    @property
    def name(self) -> str:
        """Name of the call in this process."""
        return self.arrival.call

    def lend_tries(self) -> None:
        """Set tries apart for the next attempt and what it calls."""
        self.lent_tries = self.tries - self.tries // RESERVE_DIVISOR
        self.tries -= self.lent_tries

    def take_back_tries(self, left: int) -> None:
        """Take back what an attempt has not spent.

        If it has spent all, what is tried again here would fail below again.
        """
        if self.lent_tries > 0 and left <= 0:
            self.tries = 0
        self.tries += min(max(left, 0), self.lent_tries)
        self.lent_tries = 0

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
        wanted = TokenWanted(self.name, context.organisation, context.deadline)
        self.out.append(wanted)

    def want_claim(self, arg):
        """Ask for the right to run once."""
        self.out.append(
            ClaimWanted(
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
        """Pay for a further try."""
        self.tries -= 1
        self.flow.retries.spend(self.route.service)
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
        self._refuse(Reason.OVER_RATE, retry_after_s=denied.retry_after_s)

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
            self._refuse(reason, retry_after_s=1.0)

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

    def _refuse(self, reason, retry_after_s=0.0):
        refusal = Answer(
            self.name, Outcome.NOT_RUN, reason=reason, retry_after_s=retry_after_s
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
            self.out.append(ClaimDone(self.name, answer.outcome, answer.response))
        self.out.append(answer)


def check_whole(reply: Reply) -> Reply:
    """Return a reply, or the failure that it is if its body is not whole."""
    if reply.response is None or xxh3_64_intdigest(reply.response.body) == reply.digest:
        return reply
    return evolve(
        reply, outcome=Outcome.UNKNOWN, reason=Reason.BROKEN_ANSWER, response=None
    )


CALL_CHART = bind_methods("call", Call)


class CallFlow(Decision):
    """Takes calls from arrival to answer."""

    def __init__(
        self,
        cfg: Settings,
        node: str,
        incarnation: int,
        authorization: Authorization,
        router: Router,
        contexts: ContextTable,
        poison: PoisonGuard,
        front_door: FrontDoor,
        counters: Counters,
    ):
        self.cfg = cfg
        self.counters = counters
        self.retries = RetryLimiter(cfg.call)
        self.draining = False
        self._node = node
        self._incarnation = incarnation
        self._authorization = authorization
        self._router = router
        self._contexts = contexts
        self._poison = poison
        self._front_door = front_door
        self._numbers = count(1)
        self._calls: dict[str, Call] = {}
        self._attempts: dict[str, Call] = {}
        self._timers = Timers()

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            CallArrived: self.on_call_arrived,
            CallerGone: self.on_caller_gone,
            TokenGiven: self.on_token_given,
            TokenDenied: self.on_token_denied,
            ClaimGiven: self.on_claim_given,
            ClaimDenied: self.on_claim_denied,
            Reply: self.on_reply,
            PeerDown: self.on_peer_down,
            PeerUnreachable: self.on_peer_unreachable,
        }

    @property
    def in_progress(self) -> int:
        """Number of calls without an answer."""
        return len(self._calls)

    def next_due(self):
        """Return when the next call's time is up."""
        return self._timers.next_due()

    def tick(self, now):
        """End the calls whose time is up."""
        for name in self._timers.pop_due(now):
            yield from self._send(name, "expire", now)

    def on_call_arrived(self, signal, now):
        """Check a call and start it."""
        self.counters.add("calls")
        try:
            call = self._build_call(signal, now)
        except RefusedError as exc:
            self.counters.add(exc.reason)
            yield Answer(
                signal.call,
                Outcome.NOT_RUN,
                reason=exc.reason,
                detail=exc.detail,
                retry_after_s=exc.retry_after_s,
            )
            return
        self._calls[call.name] = call
        self._timers.set(call.name, call.context.deadline)
        self.retries.earn(call.route.service)
        call.chart = CALL_CHART.start(call)
        yield from self._send(call.name, "accept", now)

    def _build_call(self, arrival, now):
        req = arrival.request
        find_route = self._authorization.find_route
        if arrival.context:
            context = self._contexts.enter(arrival.context, self.cfg.call.max_depth)
            route = find_route(arrival.service, req.method, req.path)
            caller = Caller(context.organisation, self._contexts.key(arrival.context))
            self._authorization.check_organisation(route, caller.organisation)
            context = self._nested_context(arrival, route, context, now)
        else:
            if self.draining:
                raise RefusedError(Reason.DRAINING, retry_after_s=1.0)
            route = find_route(arrival.service, req.method, req.path)
            caller = self._authorization.identify(route, arrival.bearer)
            context = self._root_context(arrival, route, caller, now)
        fingerprint = fingerprint_request(
            arrival.service, req.method, req.path, req.body
        )
        if self._poison.is_poison(fingerprint):
            raise RefusedError(Reason.POISON)
        if context.deadline <= now:
            raise RefusedError(Reason.DEADLINE)
        is_nested = bool(arrival.context)
        self._front_door.enter(context.importance, is_nested)
        tries = self.cfg.call.tries
        if is_nested:
            tries = self._contexts.take_tries(arrival.context)
        return Call(
            arrival,
            route,
            caller,
            context,
            fingerprint,
            self,
            now,
            parent=arrival.context,
            tries=tries,
        )

    def _root_context(self, arrival, route, caller, now):
        timeout_ms = arrival.timeout_ms
        if timeout_ms is None:
            timeout_ms = self._authorization.timeout_ms(arrival.service)
        timeout_ms = min(timeout_ms, self.cfg.call.max_timeout_ms)
        return CallContext(
            organisation=caller.organisation,
            importance=route.importance,
            deadline=now + timeout_ms / 1000,
            tries=self.cfg.call.tries,
            depth=0,
        )

    def _nested_context(self, arrival, route, context, now):
        deadline = context.deadline
        if arrival.timeout_ms is not None:
            deadline = min(deadline, now + arrival.timeout_ms / 1000)
        importance = Importance(max(context.importance, route.importance))
        return evolve(context, deadline=deadline, importance=importance)

    def on_caller_gone(self, signal, now):
        """Stop a call whose caller has left."""
        yield from self._send(signal.call, "caller_gone", now)

    def on_token_given(self, signal, now):
        """Go on with a call that has its token."""
        yield from self._send(signal.call, "token_given", now)

    def on_token_denied(self, signal, now):
        """End a call that gets no token."""
        yield from self._send(signal.call, "token_denied", now, signal)

    def on_claim_given(self, signal, now):
        """Go on with a call that may run."""
        if signal.call not in self._calls:
            # The call ended while its claim was under way: it never ran.
            yield ClaimDone(signal.call, Outcome.NOT_RUN)
            return
        yield from self._send(signal.call, "claim_given", now)

    def on_claim_denied(self, signal, now):
        """End a call that must not run."""
        yield from self._send(signal.call, "claim_denied", now, signal)

    # Attempts.
    def start_attempt(self, call: Call) -> None:
        """Send a call to a node, or note that there is none."""
        if call.now >= call.context.deadline:
            # After a pause an event can come before the call's own timer.
            call.out.append(ChartEvent("expire", None))
            return
        service = call.route.service
        if call.caller.key and self._authorization.is_withdrawn(call.caller.key):
            call.out.append(ChartEvent("no_backend_server", Reason.KEY_WITHDRAWN))
            return
        node = self._router.choose(
            service, call.context.importance, frozenset(call.excluded), call.now
        )
        if node is None:
            serves = self._router.serves(service)
            reason = Reason.SHED if serves else Reason.NO_BACKEND_SERVER
            call.out.append(ChartEvent("no_backend_server", reason))
            return
        call.attempt = f"{self._node}/{self._incarnation}/{next(self._numbers)}"
        call.node = node
        call.sent_at = call.now
        call.was_suspect = self._poison.is_suspect(call.fingerprint)
        call.lend_tries()
        self._attempts[call.attempt] = call
        self._router.sent(node)
        call.out.append(AttemptStarted(node, call.route.name))
        call.out.append(Send(node, self._forward(call)))

    def _forward(self, call):
        context = call.context
        return Forward(
            attempt=call.attempt,
            service=call.route.service,
            route=call.route.name,
            request=call.arrival.request,
            organisation=context.organisation,
            importance=context.importance,
            at_most_once=not call.route.idempotent,
            timeout_ms=max(int((context.deadline - call.now) * 1000), 1),
            tries=call.lent_tries,
            depth=context.depth,
            fingerprint=call.fingerprint,
            key=call.caller.key,
        )

    def on_reply(self, signal, now):
        """Take the reply of an attempt; only the awaited one counts."""
        reply = signal.message
        call = self._attempts.get(reply.attempt)
        if call is None or call.node != signal.node:
            self.counters.add("late-replies")
            return
        reply = check_whole(reply)
        self.forget_attempt(call, reply, now, reply.load)
        call.take_back_tries(reply.tries)
        if reply.response is not None and reply.reason is None:
            yield from self._send(call.name, "attempt_done", now, reply)
            return
        reason = reply.reason or Reason.INTERNAL
        call.failure = Failure(reply.outcome, reason, reply.retry_after_s)
        yield from self._fail(call, now)

    def on_peer_down(self, signal, now):
        """Fail the attempts at a node whose stream broke; they may have run."""
        lost = [one for one in self._attempts.values() if one.node == signal.node]
        for call in lost:
            call.failure = Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
            self.forget_attempt(call, call.failure, now)
            yield from self._fail(call, now)

    def on_peer_unreachable(self, signal, now):
        """Fail an attempt that never left this node."""
        if not isinstance(signal.message, Forward):
            return
        call = self._attempts.get(signal.message.attempt)
        if call is not None:
            call.take_back_tries(call.lent_tries)
            call.failure = Failure(Outcome.NOT_RUN, Reason.UNREACHABLE)
            self.forget_attempt(call, call.failure, now)
            yield from self._fail(call, now)

    def _fail(self, call, now):
        call.excluded.add(call.node)
        call.lost += call.failure.reason is Reason.CONNECTION_LOST
        call.may_have_run |= call.failure.outcome is not Outcome.NOT_RUN
        if call.may_have_run:
            call.failure = evolve(call.failure, outcome=Outcome.UNKNOWN)
        yield from self._send(call.name, "attempt_failed", now)

    def forget_attempt(
        self, call: Call, end: Reply | Failure, now: float, load: Load | None = None
    ) -> None:
        """Stop to await an attempt's reply."""
        del self._attempts[call.attempt]
        self._router.ended(call.node, load, now)
        elapsed_s = max(now - call.sent_at, 0.0)
        timed_out = end.reason is Reason.DEADLINE
        call.out.append(
            AttemptObserved(
                call.node,
                call.route.name,
                end.outcome,
                end.reason,
                elapsed_s,
                timed_out,
            )
        )
        call.attempt = ""

    def why_no_retry(self, call: Call) -> RetryReason | None:
        """Return why a failed attempt is not followed by another."""
        failure = call.failure
        if failure.reason not in RETRY_COUNTERS:
            return RetryReason.NOT_IDEMPOTENT
        if failure.outcome is not Outcome.NOT_RUN and not call.route.idempotent:
            return RetryReason.NOT_IDEMPOTENT
        if failure.reason is Reason.CONNECTION_LOST and not (
            self._poison.may_retry_lost(call.lost, call.was_suspect)
        ):
            return RetryReason.SUSPECT
        return self.retries.check(
            call.route.service, call.tries, call.context.importance
        )

    # Driving the charts.
    def _send(self, name, event, now, arg=None):
        call = self._calls.get(name)
        if call is None:
            return
        call.now = now
        call.chart.send(event, arg)
        yield from self._flush(call, now)

    def _flush(self, call, now):
        while call.out:
            signals, call.out = call.out, []
            for signal in signals:
                if isinstance(signal, ChartEvent):
                    call.chart.send(signal.event, signal.arg)
                    continue
                if isinstance(signal, Answer):
                    self._finish(call, signal, now)
                yield signal

    def _finish(self, call, answer, now):
        del self._calls[call.name]
        self._timers.cancel(call.name)
        self._front_door.leave(call.context.importance, bool(call.parent))
        if call.parent:
            self._contexts.return_tries(call.parent, call.tries)
        if answer.reason is not None:
            self.counters.add(answer.reason)
            if answer.reason in RETRY_COUNTERS and call.failure is not None:
                why = self.why_no_retry(call)
                if why is not None:
                    self.counters.add(why)
        else:
            self.counters.add("answered")

    def status(self):
        """Return the number of calls in progress."""
        return {"in_progress": self.in_progress}
