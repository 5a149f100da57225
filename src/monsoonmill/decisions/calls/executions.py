"""Executions of calls at the own backend server."""

from collections import OrderedDict

from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.admission import Admission
from monsoonmill.decisions.admission.nested_overload import NestedOverload
from monsoonmill.decisions.admission.signals import Admitted, NotAdmitted
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.execution import (
    EXECUTION_CHART,
    Execution,
    ExecutionOwner,
)
from monsoonmill.decisions.calls.pauses import PauseWatch
from monsoonmill.decisions.calls.running_chains import RunningChains
from monsoonmill.decisions.calls.signals import RunFailure, RunFinished
from monsoonmill.decisions.decaying_ratio import DecayingRatio
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.poison.crash_counter import CrashCounter
from monsoonmill.decisions.poison.poison import PoisonGuard
from monsoonmill.decisions.poison.signals import BackendCrashed, SuspectAnswered
from monsoonmill.decisions.retries.chain_work import ChainWork
from monsoonmill.decisions.signals import (
    BackendAnnounced,
    BackendUnreachable,
    Received,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import RefusedError
from monsoonmill.messages import Cancel, Forward, Load
from monsoonmill.model import Address
from monsoonmill.reasons import Reason

UNANSWERED_S = 2.0
"""Lost answers count for about this long, less than a rest of ``health.eject_ms``,
so that a backend server is judged anew after it."""
LEAST_RUNS = 30.0
"""Fewer runs count as so many: 6 lost answers are needed to call them a fifth."""
LOST_ANSWERS = (RunFailure.CONNECTION_LOST, RunFailure.BROKEN_ANSWER)
BEAT = "beat"
BEAT_S = 0.5
MAX_ENDED = 10_000
"""Ended attempts whose repeats are recognised."""


class Executions(Decision, ExecutionOwner):
    """Runs what other nodes forward, at the own backend server."""

    def __init__(
        self,
        authorization: Authorization,
        admission: Admission,
        contexts: Contexts,
        poison: PoisonGuard,
        work: ChainWork,
        strain: NestedOverload,
        chains: RunningChains,
        counters: Counters,
        most_readmits: int,
    ):
        self.most_readmits = most_readmits
        self.counters = counters
        self.work = work
        self.strain = strain
        self.chains = chains
        self.admission = admission
        self.contexts = contexts
        self.backend_address: Address | None = None
        self.instance = ""
        self.draining = False
        self._authorization = authorization
        self._poison = poison
        self._crashes = CrashCounter()
        self._service = ""
        self._backend_leaves = False
        self._executions: dict[str, Execution] = {}
        self._pauses = PauseWatch(counters)
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._unanswered = DecayingRatio(UNANSWERED_S, LEAST_RUNS)
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
        }

    def load(self, now: float) -> Load:
        """Return the load to tell with a reply."""
        load = self.admission.load()
        return Load(
            load.running,
            load.waiting,
            load.limit,
            load.level,
            self.work.runs,
            round(self.strain.value(now), 3),
            round(self._unanswered.value(now), 3),
        )

    @property
    def in_progress(self) -> int:
        """Number of attempts without a reply."""
        return len(self._executions)

    def next_due(self):
        """Return when the next attempt's time is up."""
        return self._timers.next_due()

    def start(self, now):
        """Begin to notice pauses."""
        self._timers.set(BEAT, now + BEAT_S)
        return ()

    def tick(self, now):
        """End the attempts whose time is up."""
        self._pauses.note_awake(now)
        for attempt in self._timers.pop_due(now):
            if attempt == BEAT:
                self._timers.set(BEAT, now + BEAT_S)
            yield from self._send(attempt, "expire", now)

    def set_timer(self, attempt: str, due: float) -> None:
        """Let an attempt's chart get ``expire`` at a time."""
        self._timers.set(attempt, due)

    def on_backend_announced(self, signal, now):
        """Remember where the backend server listens."""
        self.backend_address = signal.address
        self.instance = signal.instance
        self._service = signal.service
        self._backend_leaves = signal.draining
        return ()

    def on_forward(self, signal: Received, now):
        """Check an attempt and queue it."""
        self._pauses.note_awake(now)
        forward = signal.message
        if forward.attempt in self._executions or forward.attempt in self._ended:
            self.counters.add("repeated-attempts")
            return
        deadline = now + forward.timeout_ms / 1000
        execution = Execution(
            signal.node, forward, deadline, self, tries=forward.tries, arrived_at=now
        )
        execution.chart = EXECUTION_CHART.start(execution)
        self._executions[forward.attempt] = execution
        self._timers.set(forward.attempt, deadline)
        try:
            self._check(forward, now)
        except RefusedError as exc:
            self.counters.add(exc.reason)
            refusal = NotAdmitted(forward.attempt, exc.reason, exc.retry_after_s)
            yield from self._send(forward.attempt, "refuse", now, refusal)
            return
        yield from self._send(forward.attempt, "accept", now)

    def _check(self, forward, now):
        if self.backend_address is None or forward.service != self._service:
            raise RefusedError(Reason.NO_BACKEND_SERVER)
        if self.draining or self._backend_leaves:
            raise RefusedError(Reason.DRAINING)
        if forward.at_most_once and self._pauses.may_be_stale(now):
            raise RefusedError(Reason.UNREACHABLE)
        if forward.key and self._authorization.is_withdrawn(forward.key):
            raise RefusedError(Reason.KEY_WITHDRAWN)
        if self._poison.is_poison(forward.fingerprint):
            raise RefusedError(Reason.POISON)

    def on_cancel(self, signal, now):
        """Stop an attempt that nobody waits for."""
        execution = self._executions.get(signal.message.attempt)
        if execution is not None and execution.sender == signal.node:
            self.counters.add("cancelled-attempts")
            yield from self._send(signal.message.attempt, "cancel", now)

    def on_admitted(self, signal, now):
        """Run an attempt that has a slot, if its time and its key allow it."""
        execution = self._executions.get(signal.attempt)
        if execution is not None:
            event = self._event_at_slot(execution, now)
            yield from self._send(signal.attempt, event, now)

    def _event_at_slot(self, execution, now):
        if now >= execution.deadline:
            return "expire"
        key = execution.forward.key
        if key and self._authorization.is_withdrawn(key):
            self.counters.add(Reason.KEY_WITHDRAWN)
            return "key_withdrawn"
        return "admitted"

    def on_not_admitted(self, signal, now):
        """Refuse an attempt that gets no slot."""
        self.counters.add(signal.reason)
        yield from self._send(signal.attempt, "not_admitted", now, signal)

    def on_run_finished(self, signal, now):
        """Reply with the end of a request."""
        execution = self._executions.get(signal.attempt)
        if execution is not None and execution.chart.is_in("running"):
            self._unanswered.record_event(now)
            self._unanswered.record_match(signal.failure in LOST_ANSWERS, now)
            yield from self._look_for_crash(execution, signal, now)
        yield from self._send(signal.attempt, "finished", now, signal)

    def _look_for_crash(self, execution, finished, now):
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

    def _send(self, attempt, event, now, arg=None):
        execution = self._executions.get(attempt)
        if execution is None:
            return
        execution.now = now
        execution.chart.send(event, arg)
        if execution.chart.finished:
            del self._executions[attempt]
            self._note_ended(attempt)
            self._timers.cancel(attempt)
        yield from execution.out
        execution.out.clear()

    def _note_ended(self, attempt):
        self._ended[attempt] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def status(self):
        """Return the number of attempts in progress."""
        return {"in_progress": self.in_progress, "service": self._service}
