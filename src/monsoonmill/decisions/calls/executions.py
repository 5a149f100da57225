"""Execution of attempts at the own backend server."""

from collections import OrderedDict

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.admission import Admission
from monsoonmill.decisions.admission.chain_admission import RouteThresholds
from monsoonmill.decisions.admission.nested_overload import NestedOverload
from monsoonmill.decisions.admission.signals import Admitted, NotAdmitted
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.execution import (
    EXECUTION_CHART,
    Execution,
    ExecutionController,
)
from monsoonmill.decisions.calls.location_rules import LOCATION_RETRY_S, LocationRules
from monsoonmill.decisions.calls.pause_detector import PauseDetector
from monsoonmill.decisions.calls.running_requests import RunningRequests
from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.decisions.configuration.signals import EvacuationsChanged
from monsoonmill.decisions.decaying_ratio import DecayingRatio
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.poison.crash_counter import CrashCounter
from monsoonmill.decisions.poison.poison import PoisonGuard
from monsoonmill.decisions.poison.signals import BackendCrashed, SuspectAnswered
from monsoonmill.decisions.retries.call_amplification import CallAmplification
from monsoonmill.decisions.signals import (
    BackendAnnounced,
    BackendUnreachable,
    Received,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import CallRefusedError
from monsoonmill.messages import Cancel, Forward, Load
from monsoonmill.model import Address
from monsoonmill.reasons import Reason

LOST_ANSWER_TIME_CONSTANT_S = 2.0
"""Time constant of the share of lost answers. It is shorter than ``health.eject_ms``,
so that a backend server is judged by new answers after an ejection."""
MIN_RUNS = 30.0
"""Minimum number of runs for the share of lost answers: with fewer runs, 6 lost
answers are needed for a share of one fifth."""
LOST_ANSWER_FAILURES = (RunFailure.CONNECTION_LOST, RunFailure.BROKEN_ANSWER)
ACTIVITY_CHECK = "beat"
ACTIVITY_CHECK_S = 0.5
MAX_ENDED_ATTEMPTS = 10_000
"""Number of ended attempts whose duplicates are recognised."""


class Executions(Decision, ExecutionController):
    """Runs the attempts that nodes forward at the own backend server."""

    def __init__(
        self,
        authorization: Authorization,
        location: LocationRules,
        admission: Admission,
        contexts: Contexts,
        poison: PoisonGuard,
        amplification: CallAmplification,
        nested_overload: NestedOverload,
        running_requests: RunningRequests,
        nested_thresholds: RouteThresholds,
        counters: Counters,
        max_readmits: int,
    ):
        self.max_readmits = max_readmits
        self.counters = counters
        self.amplification = amplification
        self.nested_overload = nested_overload
        self.running_requests = running_requests
        self.admission = admission
        self.contexts = contexts
        self.backend_address: Address | None = None
        self.instance = ""
        self.draining = False
        self._nested_thresholds = nested_thresholds
        self._authorization = authorization
        self._location = location
        self._poison = poison
        self._crashes = CrashCounter()
        self._service = ""
        self._backend_draining = False
        self._executions: dict[str, Execution] = {}
        self._pause_detector = PauseDetector(counters)
        self._finished: OrderedDict[str, None] = OrderedDict()
        self._lost_answer_ratio = DecayingRatio(LOST_ANSWER_TIME_CONSTANT_S, MIN_RUNS)
        self._timers = Timers()

    def handlers(self):
        """Return the handlers of this decision."""
        return {
            BackendAnnounced: self.on_backend_announced,
            Forward: self.on_forward,
            Cancel: self.on_cancel,
            Admitted: self.on_admitted,
            NotAdmitted: self.on_not_admitted,
            RunFinished: self.on_run_finished,
            EvacuationsChanged: self.on_evacuations_changed,
        }

    def load(self, now: float, route: str) -> Load:
        """Return the load to report with a reply to an attempt of a route."""
        load = self.admission.load()
        return Load(
            load.running,
            load.waiting,
            load.limit,
            load.level,
            self.amplification.factor,
            round(self.nested_overload.value(now), 3),
            round(self._lost_answer_ratio.value(now), 3),
            self._threshold(now, route),
            load.latency_ms,
        )

    def _threshold(self, now, route):
        """Return the lowest standing of a route's calls for which there is capacity.

        The threshold here and those of the services that the route's runs call count.
        """
        if not self._authorization.has_mixed_objectives:
            return 0
        nested = round(self._nested_thresholds.highest(route, now))
        return max(self.admission.threshold(now), nested)

    @property
    def in_progress(self) -> int:
        """Number of attempts without a reply."""
        return len(self._executions)

    def next_due(self):
        """Return when the next timer is due."""
        return self._timers.next_due()

    def start(self, now):
        """Start the timer that detects pauses."""
        self._timers.set(ACTIVITY_CHECK, now + ACTIVITY_CHECK_S)
        return ()

    def tick(self, now):
        """Send a timeout to the attempts whose timer is due."""
        self._pause_detector.record_activity(now)
        for attempt in self._timers.pop_due(now):
            if attempt == ACTIVITY_CHECK:
                self._timers.set(ACTIVITY_CHECK, now + ACTIVITY_CHECK_S)
            yield from self._dispatch(attempt, "timed_out", now)

    def set_timer(self, attempt: str, due: float) -> None:
        """Send an attempt's chart the event ``timed_out`` at a time."""
        self._timers.set(attempt, due)

    def on_backend_announced(self, signal, now):
        """Record the address, service and state of the backend server."""
        self.backend_address = signal.address
        self.instance = signal.instance
        self._service = signal.service
        self._backend_draining = signal.draining
        return ()

    def on_forward(self, signal: Received, now):
        """Check an attempt and queue it."""
        self._pause_detector.record_activity(now)
        forward = signal.message
        if forward.attempt in self._executions or forward.attempt in self._finished:
            self.counters.add("repeated-attempts")
            return ()
        deadline = now + forward.timeout_ms / 1000
        execution = Execution(
            signal.node,
            forward,
            deadline,
            self,
            retries_left=forward.tries,
            arrived_at=now,
        )
        execution.chart = EXECUTION_CHART.start(execution)
        self._executions[forward.attempt] = execution
        self._timers.set(forward.attempt, deadline)
        try:
            self._check(forward, now)
        except CallRefusedError as exc:
            self.counters.add(exc.reason)
            refusal = NotAdmitted(forward.attempt, exc.reason, exc.retry_after_s)
            return self._dispatch(forward.attempt, "refused", now, refusal)
        return self._dispatch(forward.attempt, "accepted", now)

    def _check(self, forward, now):
        if self.backend_address is None or forward.service != self._service:
            raise CallRefusedError(Reason.NO_BACKEND_SERVER)
        if self.draining or self._backend_draining:
            raise CallRefusedError(Reason.DRAINING)
        reason = self._location.find_refusal(forward)
        if reason is not None:
            raise CallRefusedError(reason, retry_after_s=LOCATION_RETRY_S)
        if forward.at_most_once and self._pause_detector.may_be_stale(now):
            raise CallRefusedError(Reason.UNREACHABLE)
        if forward.key and self._authorization.is_withdrawn(forward.key):
            raise CallRefusedError(Reason.KEY_WITHDRAWN)
        if self._poison.is_poison(forward.fingerprint):
            raise CallRefusedError(Reason.POISON)

    def on_cancel(self, signal, now):
        """Cancel an attempt whose reply is no longer awaited."""
        execution = self._executions.get(signal.message.attempt)
        if execution is not None and execution.sender == signal.node:
            self.counters.add("cancelled-attempts")
            return self._dispatch(signal.message.attempt, "cancelled", now)
        return ()

    def on_admitted(self, signal, now):
        """Run an attempt that has a slot, unless what it needs has lapsed meanwhile.

        That is its deadline, its API key, or its permission to run at this location.
        """
        execution = self._executions.get(signal.attempt)
        if execution is None:
            return ()
        event, reason = self._event_on_admission(execution, now)
        if reason is not None:
            self.counters.add(reason)
        return self._dispatch(signal.attempt, event, now, reason)

    def _event_on_admission(self, execution, now):
        """Return the event for the chart, and the reason if it is a refusal."""
        if now >= execution.deadline:
            return "timed_out", None
        key = execution.forward.key
        if key and self._authorization.is_withdrawn(key):
            return "permission_lapsed", Reason.KEY_WITHDRAWN
        reason = self._location.find_refusal(execution.forward)
        return ("admitted" if reason is None else "permission_lapsed"), reason

    def on_not_admitted(self, signal, now):
        """Refuse an attempt that is not admitted."""
        self.counters.add(signal.reason)
        return self._dispatch(signal.attempt, "not_admitted", now, signal)

    def on_evacuations_changed(self, signal, now):
        """Refuse all waiting attempts, or ramp up after a withdrawn order."""
        if self._location.returns(signal):
            self.admission.record_return(now)
        if not self._location.is_evacuated:
            return
        waiting = [
            attempt
            for attempt, execution in self._executions.items()
            if execution.chart.is_in("queued")
        ]
        for attempt in waiting:
            self.counters.add(Reason.EVACUATED)
            yield from self._dispatch(
                attempt, "permission_lapsed", now, Reason.EVACUATED
            )

    def on_run_finished(self, signal, now):
        """Reply with the result of a run."""
        execution = self._executions.get(signal.attempt)
        if execution is not None and execution.chart.is_in("running"):
            self._lost_answer_ratio.record_event(now)
            self._lost_answer_ratio.record_match(
                signal.failure in LOST_ANSWER_FAILURES, now
            )
            yield from self._detect_crash(execution, signal, now)
        yield from self._dispatch(signal.attempt, "finished", now, signal)

    def _detect_crash(self, execution, finished, now):
        fingerprint = execution.forward.fingerprint
        if finished.failure is RunFailure.CONNECTION_LOST:
            yield BackendCrashed(
                self._crashes.record_lost_connection(now), (fingerprint,)
            )
        elif finished.failure is RunFailure.NOT_SENT:
            self._crashes.record_state_change()
            yield BackendUnreachable()
        elif finished.response is not None and not finished.not_run:
            self._crashes.record_state_change()
            if self._poison.is_suspect(fingerprint):
                yield SuspectAnswered(fingerprint)

    def _dispatch(self, attempt, event, now, arg=None):
        """Send an event to an attempt's chart and return the signals that follow."""
        execution = self._executions.get(attempt)
        if execution is None:
            return ()
        execution.now = now
        execution.chart.send(event, arg)
        if execution.chart.finished:
            del self._executions[attempt]
            self._remember_finished(attempt)
            self._timers.cancel(attempt)
        signals, execution.outbox = execution.outbox, []
        return signals

    def _remember_finished(self, attempt):
        self._finished[attempt] = None
        if len(self._finished) > MAX_ENDED_ATTEMPTS:
            self._finished.popitem(last=False)

    def end_unfinished(self, now: float):
        """Reply to all attempts in progress, since the process is about to exit."""
        for attempt in list(self._executions):
            yield from self._dispatch(attempt, "drain_timed_out", now)

    def status(self):
        """Return the number of attempts in progress."""
        return {"in_progress": self.in_progress, "service": self._service}
