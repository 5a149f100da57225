"""Calls received by this node, and their attempts."""

from itertools import count
from math import inf
from random import Random

from attrs import evolve

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.chain_admission import (
    RouteThresholds,
    band,
    draw_retry_after_s,
    max_retry_after_s,
)
from monsoonmill.decisions.admission.entry_limit import EntryLimit
from monsoonmill.decisions.admission.nested_overload import (
    OVERLOAD_REASONS,
    NestedOverload,
    overload_loss_probability,
)
from monsoonmill.decisions.admission.thread_limit import ThreadLimit
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.call import (
    CALL_CHART,
    RETRY_COUNTERS,
    AttemptFailure,
    Call,
    CallController,
    DeferredEvent,
    verify_response,
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
from monsoonmill.decisions.retries.call_amplification import CallAmplification
from monsoonmill.decisions.retries.retry_limiter import RetryLimiter
from monsoonmill.decisions.routing.router import Router
from monsoonmill.decisions.signals import PeerDown, PeerUnreachable, Send
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import CallRefusedError
from monsoonmill.messages import Forward, Load, Reply
from monsoonmill.reasons import Outcome, Reason, RetryReason
from monsoonmill.settings import Settings

RETURNING_REASONS = OVERLOAD_REASONS | {Reason.BACKEND_SERVER_SHED}
"""Reasons of refusals after which a caller that returns as told has an advantage."""


class CallFlow(Decision, CallController):
    """Drives the calls of this node from request to answer."""

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
        amplification: CallAmplification,
        nested_overload: NestedOverload,
        entry_limit: EntryLimit,
        nested_thresholds: RouteThresholds,
        rng: Random,
        counters: Counters,
    ):
        self.cfg = cfg
        self.counters = counters
        self.retry_limiter = RetryLimiter(cfg.call)
        self._checks = checks
        self._node = node
        self._incarnation = incarnation
        self._authorization = authorization
        self._router = router
        self._contexts = contexts
        self._poison = poison
        self._thread_limit = thread_limit
        self._amplification = amplification
        self._nested_overload = nested_overload
        self._entry_limit = entry_limit
        self._nested_thresholds = nested_thresholds
        self._rng = rng
        self._attempt_numbers = count(1)
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
            ClaimGranted: self.on_claim_granted,
            ClaimDenied: self.on_claim_denied,
            Reply: self.on_reply,
            PeerDown: self.on_peer_down,
            PeerUnreachable: self.on_peer_unreachable,
        }

    def start_draining(self, ends_at: float) -> None:
        """Refuse new calls that may not be answered before the drain ends.

        Parameters
        ----------
        ends_at : float
            Time in seconds at which the drain ends at the latest.
        """
        self._checks.drain_ends_at = ends_at

    def stop_accepting(self) -> None:
        """Refuse all new calls, since the process is about to exit."""
        self._checks.drain_ends_at = float("-inf")

    def end_unfinished(self, now: float):
        """Answer all calls in progress, since the process is about to exit."""
        for name in list(self._calls):
            yield from self._dispatch(name, "drain_timed_out", now)

    @property
    def in_progress(self) -> int:
        """Number of calls without an answer."""
        return len(self._calls)

    def next_due(self):
        """Return the earliest deadline of a call."""
        return self._timers.next_due()

    def tick(self, now):
        """End the calls whose deadline has passed."""
        for name in self._timers.pop_due(now):
            yield from self._dispatch(name, "deadline_passed", now)

    def on_call_arrived(self, signal, now):
        """Check a call and start it."""
        self.counters.add("calls")
        try:
            call = self._checks.check_call(signal, self, now)
        except CallRefusedError as exc:
            self.counters.add(exc.reason)
            answer = Answer(
                signal.call,
                Outcome.NOT_RUN,
                reason=exc.reason,
                detail=exc.detail,
                retry_after_s=exc.retry_after_s,
                max_retry_after_s=self._retry_after_cap_s(signal, exc),
            )
            return (answer, self._report_refused(signal, exc))
        self._calls[call.name] = call
        self._timers.set(call.name, call.context.deadline)
        if call.parent or call.caller.key:
            self.retry_limiter.deposit(call.route.service)
        call.chart = CALL_CHART.start(call)
        return self._dispatch(call.name, "accepted", now)

    def _retry_after_cap_s(self, arrival, exc):
        """Return the longest wait that a caller refused on arrival can be told."""
        if not self._is_capped(exc.reason):
            return inf
        if exc.reason is Reason.SHED:
            # The entry limit knows the deadline of the call.
            return exc.retry_after_s
        timeout_ms = arrival.timeout_ms
        return inf if timeout_ms is None else max_retry_after_s(timeout_ms / 1000)

    def _is_capped(self, reason):
        """Return whether the wait that callers are told is capped.

        Callers with a short deadline ignore longer waits. A rate limit is not capped,
        since the organisation has no token before.
        """
        has_mixed = self._authorization.has_mixed_objectives
        return has_mixed and reason is not Reason.OVER_RATE

    def on_caller_disconnected(self, signal, now):
        """End a call whose caller has disconnected."""
        return self._dispatch(signal.call, "caller_disconnected", now)

    def on_token_granted(self, signal, now):
        """Continue a call that has its token, or return the token if it has ended."""
        call = self._calls.get(signal.call)
        if call is not None:
            call.token_organisation = signal.organisation
            return self._dispatch(signal.call, "token_granted", now)
        return (TokenReturned(signal.organisation),) if signal.organisation else ()

    def on_token_denied(self, signal, now):
        """End a call that is over its organisation's rate limit."""
        return self._dispatch(signal.call, "token_denied", now, signal)

    def on_claim_granted(self, signal, now):
        """Continue a call that has its claim, or release the claim if it has ended."""
        if signal.call not in self._calls:
            # The call ended while it waited for the claim, so it never ran.
            return (ClaimedCallEnded(signal.call, Outcome.NOT_RUN),)
        return self._dispatch(signal.call, "claim_granted", now)

    def on_claim_denied(self, signal, now):
        """End a call whose claim is denied."""
        return self._dispatch(signal.call, "claim_denied", now, signal)

    # Attempts.
    def start_attempt(self, call: Call) -> None:
        """Send a call to a node, or send its chart an event if there is none."""
        if call.now >= call.context.deadline:
            # After a pause, an event may be handled before the call's timer.
            call.outbox.append(DeferredEvent("deadline_passed", None))
            return
        service = call.route.service
        if call.caller.key and self._authorization.is_withdrawn(call.caller.key):
            call.outbox.append(DeferredEvent("no_backend_server", Reason.KEY_WITHDRAWN))
            return
        regions = self._authorization.allowed_regions(
            call.route.name, call.context.organisation, call.root_organisation
        )
        context = call.context
        node = self._router.choose(
            service,
            band(context.importance, context.rank),
            frozenset(call.excluded),
            call.now,
            regions,
            call.has_crossed,
        )
        if node is None:
            reason = self._placement_refusal(service, regions)
            call.outbox.append(DeferredEvent("no_backend_server", reason))
            return
        call.rerun_cost = self._router.target(node).load.work
        call.attempt = f"{self._node}/{self._incarnation}/{next(self._attempt_numbers)}"
        call.node = node
        call.sent_at = call.now
        call.was_suspect = self._poison.is_suspect(call.fingerprint)
        call.delegate_retries()
        self._attempts[call.attempt] = call
        self._router.record_start(node)
        call.outbox.append(AttemptStarted(node, call.route.name))
        call.outbox.append(Send(node, self._make_forward(call)))

    def _placement_refusal(self, service, regions):
        """Return why no node can take a call."""
        if self._router.has_backend_server(service, regions):
            return Reason.SHED
        if regions is not None and self._router.has_backend_server(service):
            return Reason.NO_ALLOWED_REGION
        return Reason.NO_BACKEND_SERVER

    def _make_forward(self, call):
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
            root_organisation=call.root_organisation,
            has_crossed=call.has_crossed
            or not self._router.is_in_own_region(call.node),
            rank=context.rank,
        )

    def on_reply(self, signal, now):
        """Handle the reply of an attempt; count replies that are not awaited."""
        reply = signal.message
        call = self._attempts.get(reply.attempt)
        if call is None or call.node != signal.node:
            self.counters.add("late-replies")
            return ()
        reply = verify_response(reply)
        self.close_attempt(call, reply, now, reply.load)
        call.rerun_cost = reply.load.work
        call.nested_overload_share = reply.load.strain
        if call.is_nested:
            self._amplification.record_nested_call(reply.load.work)
        if self._authorization.has_mixed_objectives:
            self._record_threshold(call, reply.load.threshold, now)
        call.reclaim_retries(reply.tries)
        if reply.response is not None and reply.reason is None:
            return self._dispatch(call.name, "attempt_succeeded", now, reply)
        reason = reply.reason or Reason.INTERNAL
        call.failure = AttemptFailure(reply.outcome, reason, reply.retry_after_s)
        return self._handle_failure(call, now)

    def _record_threshold(self, call, threshold, now):
        service = call.route.service
        if not call.is_nested:
            self._entry_limit.record_threshold(call.route.name, service, threshold, now)
        elif call.parent_route:
            # Replies of other services must not outweigh those of a scarce one.
            self._nested_thresholds.record(call.parent_route, service, threshold, now)

    def on_peer_down(self, signal, now):
        """Fail the attempts at a node whose stream was lost; they may have run."""
        lost = [call for call in self._attempts.values() if call.node == signal.node]
        for call in lost:
            call.failure = AttemptFailure(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
            self.close_attempt(call, call.failure, now)
            yield from self._handle_failure(call, now)

    def on_peer_unreachable(self, signal, now):
        """Fail an attempt that could not be sent."""
        if not isinstance(signal.message, Forward):
            return
        call = self._attempts.get(signal.message.attempt)
        if call is not None:
            call.reclaim_retries(call.delegated_retries)
            call.failure = AttemptFailure(Outcome.NOT_RUN, Reason.UNREACHABLE)
            self.close_attempt(call, call.failure, now)
            yield from self._handle_failure(call, now)

    def _handle_failure(self, call, now):
        call.excluded.add(call.node)
        if call.failure.reason is Reason.EVACUATED:
            call.excluded |= self._router.nodes_beside(call.node)
        call.lost_connections += call.failure.reason is Reason.CONNECTION_LOST
        call.may_have_run |= call.failure.outcome is not Outcome.NOT_RUN
        if call.may_have_run:
            call.failure = evolve(call.failure, outcome=Outcome.UNKNOWN)
        return self._dispatch(call.name, "attempt_failed", now)

    def close_attempt(
        self,
        call: Call,
        result: Reply | AttemptFailure,
        now: float,
        load: Load | None = None,
    ) -> None:
        """Record the result of an attempt and stop waiting for its reply."""
        del self._attempts[call.attempt]
        self._router.record_end(call.node, load, now)
        elapsed_s = max(now - call.sent_at, 0.0)
        cause = result.outcome if result.reason is None else result.reason
        call.attempt_results.append(f"{call.attempt} at {call.node}: {cause.value}")
        timed_out = result.reason is Reason.DEADLINE
        call.outbox.append(
            AttemptObserved(
                call.node,
                call.route.name,
                result.outcome,
                result.reason,
                elapsed_s,
                timed_out,
                0.0 if load is None else load.unanswered,
            )
        )
        call.attempt = ""

    def retry_refusal(self, call: Call) -> RetryReason | None:
        """Return why a failed attempt is not retried; None if it may be."""
        failure = call.failure
        if failure.reason not in RETRY_COUNTERS:
            return RetryReason.NOT_IDEMPOTENT
        if call.is_uncharged_placement(self.cfg.call.placements):
            return None
        if failure.outcome is not Outcome.NOT_RUN and not call.route.idempotent:
            return RetryReason.NOT_IDEMPOTENT
        is_rerun = failure.outcome is not Outcome.NOT_RUN
        if is_rerun and call.rerun_cost > self.cfg.call.max_rerun_work:
            return RetryReason.CHAIN_BELOW
        if failure.reason is Reason.CONNECTION_LOST and not (
            self._poison.may_retry_after_lost_connection(
                call.lost_connections, call.was_suspect
            )
        ):
            return RetryReason.SUSPECT
        # The importance inherited by request id is only a hint, so it does not
        # give access to the retries reserved for critical calls.
        is_trusted = call.parent or call.caller.key
        importance = call.context.importance if is_trusted else call.route.importance
        return self.retry_limiter.refusal(
            call.route.service, call.retries_left, importance
        )

    # Charts.
    def _dispatch(self, name, event, now, arg=None):
        """Send an event to a call's chart and return the signals that follow."""
        call = self._calls.get(name)
        if call is None:
            return ()
        call.now = now
        call.chart.send(event, arg)
        return self._drain_outbox(call, now)

    def _drain_outbox(self, call, now):
        signals = []
        while call.outbox:
            outbox, call.outbox = call.outbox, []
            for signal in outbox:
                cls = type(signal)
                if cls is DeferredEvent:
                    call.chart.send(signal.event, signal.arg)
                    continue
                if cls is Answer:
                    signal = self._cap_retry_after(call, signal, now)
                    self._close_call(call, signal, now)
                    signals.append(self._report(call, signal, now))
                    if call.token_organisation and signal.outcome is Outcome.NOT_RUN:
                        signals.append(TokenReturned(call.token_organisation))
                signals.append(signal)
        return signals

    def _cap_retry_after(self, call, answer, now):
        """Return an answer with a wait that its caller honours.

        The caller of a chain that was refused for overload is recognised when it
        returns.
        """
        is_refusal = answer.outcome is Outcome.NOT_RUN and answer.reason is not None
        if not is_refusal or not self._is_capped(answer.reason):
            return answer
        remaining_s = call.context.deadline - now
        wait_s = answer.retry_after_s
        if wait_s > 0:
            wait_s = min(wait_s, draw_retry_after_s(remaining_s, self._rng))
        if answer.reason in RETURNING_REASONS and not call.is_nested:
            self._entry_limit.record_refusal(
                call.fingerprint, call.context.rank, wait_s, now
            )
        return evolve(
            answer,
            retry_after_s=wait_s,
            max_retry_after_s=max_retry_after_s(remaining_s),
        )

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
            call.revision,
            (now - call.arrived_at) * 1000,
            tuple(call.attempt_results),
            answer.detail,
        )

    def _close_call(self, call, answer, now):
        del self._calls[call.name]
        self._timers.cancel(call.name)
        self._thread_limit.release(call.context.importance, bool(call.parent))
        if call.parent:
            self._contexts.return_retries(call.parent, call.retries_left)
        self._record_overload(call, answer, now)
        if answer.reason is not None:
            self.counters.add(answer.reason)
            if answer.reason in RETRY_COUNTERS and call.failure is not None:
                refusal = self.retry_refusal(call)
                if refusal is not None:
                    self.counters.add(refusal)
        else:
            self.counters.add("answered")

    def _record_overload(self, call, answer, now):
        """Record how likely the call was lost to overload."""
        if answer.reason is Reason.CANCELLED:
            return
        status = 0 if answer.response is None else answer.response.status
        lost = overload_loss_probability(
            answer.outcome, answer.reason, status, call.nested_overload_share
        )
        if call.is_nested:
            self._nested_overload.record_nested_call(lost, now)
        else:
            self._entry_limit.record_result(call.route.name, lost, now)

    def status(self):
        """Return the number of calls in progress, and the limited routes."""
        return {
            "in_progress": self.in_progress,
            "entry": self._entry_limit.shares(),
            "thresholds": self._entry_limit.thresholds(),
        }
