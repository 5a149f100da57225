"""All calls that came in at this node, and the attempts that they wait for."""

from itertools import count

from attrs import evolve

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.entry_limit import EntryLimit
from monsoonmill.decisions.admission.nested_overload import (
    NestedOverload,
    overload_loss_probability,
)
from monsoonmill.decisions.admission.thread_limit import ThreadLimit
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.call import (
    CALL_CHART,
    RETRY_COUNTERS,
    Call,
    CallOwner,
    ChartEvent,
    Failure,
    check_whole,
    is_unplaced,
)
from monsoonmill.decisions.calls.call_checks import CallChecks
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.signals import (
    Answer,
    CallArrived,
    CallerDisconnected,
    CallReport,
)
from monsoonmill.decisions.claims.signals import (
    ClaimDenied,
    ClaimedCallEnded,
    ClaimGranted,
)
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.health.signals import AttemptObserved, AttemptStarted
from monsoonmill.decisions.poison.poison import PoisonGuard
from monsoonmill.decisions.quota.signals import TokenDenied, TokenGranted, TokenReturned
from monsoonmill.decisions.retries.chain_work import ChainWork
from monsoonmill.decisions.retries.retry_limiter import RetryLimiter
from monsoonmill.decisions.routing.router import Router
from monsoonmill.decisions.signals import PeerDown, PeerUnreachable, Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import RefusedError
from monsoonmill.messages import Forward, Load, Reply
from monsoonmill.reasons import Outcome, Reason, RetryReason
from monsoonmill.settings import Settings


class CallFlow(Decision, CallOwner):
    """Takes calls from arrival to answer."""

    def __init__(
        self,
        cfg: Settings,
        node: str,
        incarnation: int,
        authorization: Authorization,
        router: Router,
        contexts: Contexts,
        poison: PoisonGuard,
        checks: CallChecks,
        thread_limit: ThreadLimit,
        work: ChainWork,
        strain: NestedOverload,
        entry: EntryLimit,
        counters: Counters,
    ):
        self.cfg = cfg
        self.counters = counters
        self.retries = RetryLimiter(cfg.call)
        self._checks = checks
        self._node = node
        self._incarnation = incarnation
        self._authorization = authorization
        self._router = router
        self._contexts = contexts
        self._poison = poison
        self._thread_limit = thread_limit
        self._work = work
        self._strain = strain
        self._entry = entry
        self._numbers = count(1)
        self._calls: dict[str, Call] = {}
        self._attempts: dict[str, Call] = {}
        self._timers = Timers()

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            CallArrived: self.on_call_arrived,
            CallerDisconnected: self.on_caller_disconnected,
            TokenGranted: self.on_token_granted,
            TokenDenied: self.on_token_denied,
            ClaimGranted: self.on_claim_given,
            ClaimDenied: self.on_claim_denied,
            Reply: self.on_reply,
            PeerDown: self.on_peer_down,
            PeerUnreachable: self.on_peer_unreachable,
        }

    def stop_accepting(self) -> None:
        """Let no more calls in, since the node leaves."""
        self._checks.draining = True

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
            call = self._checks.let_in(signal, self, now)
        except RefusedError as exc:
            self.counters.add(exc.reason)
            yield Answer(
                signal.call,
                Outcome.NOT_RUN,
                reason=exc.reason,
                detail=exc.detail,
                retry_after_s=exc.retry_after_s,
            )
            yield self._report_refused(signal, exc)
            return
        self._calls[call.name] = call
        self._timers.set(call.name, call.context.deadline)
        if call.parent or call.caller.key:
            self.retries.deposit(call.route.service)
        call.chart = CALL_CHART.start(call)
        yield from self._send(call.name, "accept", now)

    def on_caller_disconnected(self, signal, now):
        """Stop a call whose caller has left."""
        yield from self._send(signal.call, "caller_gone", now)

    def on_token_granted(self, signal, now):
        """Go on with a call that has its token."""
        call = self._calls.get(signal.call)
        if call is not None:
            call.token_of = signal.organisation
            yield from self._send(signal.call, "token_given", now)
        elif signal.organisation:
            # The call ended while it waited.
            yield TokenReturned(signal.organisation)

    def on_token_denied(self, signal, now):
        """End a call that gets no token."""
        yield from self._send(signal.call, "token_denied", now, signal)

    def on_claim_given(self, signal, now):
        """Go on with a call that may run."""
        if signal.call not in self._calls:
            # The call ended while its claim was under way: it never ran.
            yield ClaimedCallEnded(signal.call, Outcome.NOT_RUN)
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
            serves = self._router.has_backend_server(service)
            reason = Reason.SHED if serves else Reason.NO_BACKEND_SERVER
            call.out.append(ChartEvent("no_backend_server", reason))
            return
        call.rerun_work = self._router.target(node).load.work
        call.attempt = f"{self._node}/{self._incarnation}/{next(self._numbers)}"
        call.node = node
        call.sent_at = call.now
        call.was_suspect = self._poison.is_suspect(call.fingerprint)
        call.delegate_retries()
        self._attempts[call.attempt] = call
        self._router.record_start(node)
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
            tries=call.delegated_retries,
            depth=context.depth,
            fingerprint=call.fingerprint,
            key=call.caller.key,
            request_id=call.arrival.request_id,
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
        call.rerun_work = reply.load.work
        call.strain_below = reply.load.strain
        if call.is_nested:
            self._work.note_nested(reply.load.work)
        call.reclaim_retries(reply.tries)
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
            call.reclaim_retries(call.delegated_retries)
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
        self._router.record_end(call.node, load, now)
        elapsed_s = max(now - call.sent_at, 0.0)
        how = end.outcome if end.reason is None else end.reason
        call.ended.append(f"{call.attempt} at {call.node}: {how.value}")
        timed_out = end.reason is Reason.DEADLINE
        call.out.append(
            AttemptObserved(
                call.node,
                call.route.name,
                end.outcome,
                end.reason,
                elapsed_s,
                timed_out,
                0.0 if load is None else load.unanswered,
            )
        )
        call.attempt = ""

    def why_no_retry(self, call: Call) -> RetryReason | None:
        """Return why a failed attempt is not followed by another."""
        failure = call.failure
        if failure.reason not in RETRY_COUNTERS:
            return RetryReason.NOT_IDEMPOTENT
        if is_unplaced(failure) and call.placements < self.cfg.call.placements:
            return None
        if failure.outcome is not Outcome.NOT_RUN and not call.route.idempotent:
            return RetryReason.NOT_IDEMPOTENT
        is_rerun = failure.outcome is not Outcome.NOT_RUN
        if is_rerun and call.rerun_work > self.cfg.call.max_rerun_work:
            return RetryReason.CHAIN_BELOW
        if failure.reason is Reason.CONNECTION_LOST and not (
            self._poison.may_retry_after_lost_connection(call.lost, call.was_suspect)
        ):
            return RetryReason.SUSPECT
        # What an id tells of the chain is a hint, and pays for no further tries.
        is_sure = call.parent or call.caller.key
        importance = call.context.importance if is_sure else call.route.importance
        return self.retries.refusal(call.route.service, call.retries_left, importance)

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
                    yield self._report(call, signal, now)
                    if call.token_of and signal.outcome is Outcome.NOT_RUN:
                        yield TokenReturned(call.token_of)
                yield signal

    def _report_refused(self, arrival, exc):
        req = arrival.request
        return CallReport(
            arrival.request_id,
            arrival.call,
            f"{arrival.virtual_host or arrival.service}{req.path}",
            arrival.service,
            "",
            Outcome.NOT_RUN,
            exc.reason,
            0,
            self._authorization.revision,
            0.0,
            detail=exc.detail,
        )

    def _report(self, call, answer, now):
        resp = answer.response
        return CallReport(
            call.arrival.request_id,
            call.name,
            call.route.name,
            call.route.service,
            call.context.organisation,
            answer.outcome,
            answer.reason,
            0 if resp is None else resp.status,
            self._authorization.revision,
            (now - call.arrived_at) * 1000,
            tuple(call.ended),
            answer.detail,
        )

    def _finish(self, call, answer, now):
        del self._calls[call.name]
        self._timers.cancel(call.name)
        self._thread_limit.release(call.context.importance, bool(call.parent))
        if call.parent:
            self._contexts.return_retries(call.parent, call.retries_left)
        self._note_lost(call, answer, now)
        if answer.reason is not None:
            self.counters.add(answer.reason)
            if answer.reason in RETRY_COUNTERS and call.failure is not None:
                why = self.why_no_retry(call)
                if why is not None:
                    self.counters.add(why)
        else:
            self.counters.add("answered")

    def _note_lost(self, call, answer, now):
        """Learn whether there was room for the call's chain."""
        if answer.reason is Reason.CANCELLED:
            return
        status = 0 if answer.response is None else answer.response.status
        lost = overload_loss_probability(
            answer.outcome, answer.reason, status, call.strain_below
        )
        if call.is_nested:
            self._strain.record_nested_call(lost, now)
        else:
            self._entry.record_result(call.route.name, lost, now)

    def status(self):
        """Return the calls in progress, and the routes that are limited."""
        return {"in_progress": self.in_progress, "entry": self._entry.shares()}
