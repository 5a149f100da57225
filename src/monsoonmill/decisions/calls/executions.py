"""Executions of calls at the own backend server."""

from collections import OrderedDict

from attrs import define, field
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.admission import Admission
from monsoonmill.decisions.admission.chain_strain import ChainStrain
from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    Admitted,
    LeaveQueue,
    NotAdmitted,
    SlotReleased,
)
from monsoonmill.decisions.calls.authorization import Authorization
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.pauses import PauseWatch
from monsoonmill.decisions.calls.running_chains import RunningChains
from monsoonmill.decisions.calls.signals import (
    AbortRun,
    RunCall,
    RunFailure,
    RunFinished,
    RunReport,
)
from monsoonmill.decisions.decision import Decision
from monsoonmill.decisions.fading_share import FadingShare
from monsoonmill.decisions.poison.crashes import CrashCounter
from monsoonmill.decisions.poison.poison import PoisonGuard
from monsoonmill.decisions.poison.signals import BackendCrashed, SuspectAnswered
from monsoonmill.decisions.retries.chain_work import ChainWork
from monsoonmill.decisions.signals import (
    BackendAnnounced,
    BackendUnreachable,
    Received,
    Send,
)
from monsoonmill.decisions.timers import Timers
from monsoonmill.errors import RefusedError
from monsoonmill.messages import Cancel, Forward, Load, Reply
from monsoonmill.model import Address, CallContext
from monsoonmill.reasons import Importance, Outcome, Reason

SHED_STATUS = 503
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
ERROR_STATUS = 500
ABORT_GRACE_S = 5.0
"""An aborted run that does not end within this time is given up."""

FAILURE_REASONS = {
    RunFailure.NOT_SENT: (Outcome.NOT_RUN, Reason.UNREACHABLE),
    RunFailure.TIMED_OUT: (Outcome.UNKNOWN, Reason.DEADLINE),
    RunFailure.CONNECTION_LOST: (Outcome.UNKNOWN, Reason.CONNECTION_LOST),
    RunFailure.BROKEN_ANSWER: (Outcome.UNKNOWN, Reason.BROKEN_ANSWER),
    RunFailure.ABORTED: (Outcome.UNKNOWN, Reason.CANCELLED),
}


@define(eq=False)
class Execution:
    """One attempt at the own backend server; owner of its execution chart."""

    sender: str
    forward: Forward
    deadline: float
    executions: "Executions"
    chart: ChartInstance | None = None
    token: str = ""
    arrived_at: float = 0.0
    started_at: float = 0.0
    tries: int = 0
    readmits: int = 0
    now: float = 0.0
    out: list = field(factory=list)

    # Guards.
    def may_wait_again(self, finished: RunFinished):
        """Return whether a request that was shed waits for a slot again.

        It did not run, and another node would find its backend server as full;
        what is less important is refused, so that its caller may look elsewhere.
        Without a key the importance may be what an id tells of the chain, a hint
        that pays for no further tries.
        """
        forward = self.forward
        is_critical = forward.importance is Importance.CRITICAL and bool(forward.key)
        is_left = self.readmits < self.executions.most_readmits
        in_time = self.now < self.deadline
        return finished.not_run and is_critical and is_left and in_time

    def has_ended(self, finished: RunFinished):
        """Return whether the request's end is final."""
        return not self.may_wait_again(finished)

    # Actions.
    def wait_again(self, finished: RunFinished):
        """Give the slot back and ask for another."""
        self.readmits += 1
        self.executions.counters.add("readmitted")
        self.release_slot(finished)
        self.ask_for_slot(None)

    def ask_for_slot(self, arg):
        """Ask for a slot at the backend server."""
        forward = self.forward
        self.out.append(
            AdmitCall(
                forward.attempt,
                forward.route,
                forward.organisation,
                forward.importance,
                self.deadline,
            )
        )

    def run(self, arg):
        """Send the request to the backend server."""
        self.started_at = self.now
        self.executions.work.note_run()
        self.executions.strain.note_run(self.now)
        forward = self.forward
        self.executions.chains.begin(forward.request_id, forward.importance)
        context = CallContext(
            forward.organisation,
            forward.importance,
            self.deadline,
            forward.tries,
            forward.depth,
        )
        self.token = self.executions.contexts.issue(context, forward.key)
        address = self.executions.backend_address
        timeout_s = self.deadline - self.now
        self.out.append(
            RunCall(
                forward.attempt,
                address,
                forward.request,
                timeout_s,
                self.token,
                forward.organisation,
                self.executions.instance,
            )
        )

    def reply_refused(self, refusal):
        """Tell the sender that the attempt never ran."""
        self._reply(Outcome.NOT_RUN, refusal.reason, None, refusal.retry_after_s)

    def reply_expired_in_queue(self, arg):
        """Tell the sender that the time was up before the attempt ran."""
        self.leave_queue(arg)
        self._reply(Outcome.NOT_RUN, Reason.DEADLINE)

    def reply_key_withdrawn(self, arg):
        """Tell the sender that the key was withdrawn before the attempt ran."""
        self.leave_queue(arg)
        self._reply(Outcome.NOT_RUN, Reason.KEY_WITHDRAWN)

    def leave_queue(self, arg):
        """Give up the place in the queue."""
        self.out.append(LeaveQueue(self.forward.attempt))

    def abort(self, arg):
        """Stop the request at the backend server."""
        self.out.append(AbortRun(self.forward.attempt))
        self.executions.set_timer(self.forward.attempt, self.now + ABORT_GRACE_S)
        self._close_context()

    def abort_and_reply_expired(self, arg):
        """Stop the request and tell the sender that the time is up."""
        self.abort(arg)
        self._reply(Outcome.UNKNOWN, Reason.DEADLINE)

    def give_up(self, arg):
        """Give the slot back of a request whose end was never told."""
        self.release_slot(RunFinished(self.forward.attempt, None, RunFailure.TIMED_OUT))

    def release_slot(self, finished: RunFinished):
        """Give the slot back."""
        self._close_context()
        failure = finished.failure
        response = finished.response
        is_cut_off = failure in (RunFailure.TIMED_OUT, RunFailure.ABORTED)
        self.out.append(
            SlotReleased(
                self.forward.attempt,
                self.now - self.started_at,
                shed=finished.not_run
                or (response is not None and response.status == SHED_STATUS),
                timed_out=is_cut_off,
                failed=response is None or response.status >= ERROR_STATUS,
                not_run=finished.not_run,
            )
        )

    def reply_finished(self, finished: RunFinished):
        """Give the slot back and tell the sender how the request ended."""
        self.release_slot(finished)
        if finished.response is None:
            self._reply(*FAILURE_REASONS[finished.failure], None)
        elif finished.not_run:
            self._reply(Outcome.NOT_RUN, Reason.BACKEND_SERVER_SHED, None, 1.0)
        else:
            self._reply(Outcome.DONE, None, finished.response)

    def _close_context(self):
        self.executions.chains.end(self.forward.request_id)
        if self.token:
            self.tries = self.executions.contexts.close(self.token)
            self.token = ""

    def _reply(self, outcome, reason, response=None, retry_after_s=0.0):
        body = response.body if response is not None else b""
        load = self.executions.load(self.now)
        reply = Reply(
            self.forward.attempt,
            outcome,
            reason,
            response,
            xxh3_64_intdigest(body),
            self.tries,
            load,
            retry_after_s,
        )
        self.out.append(Send(self.sender, reply))
        if reason is not None or outcome is Outcome.NOT_RUN:
            self.out.append(self._report(outcome, reason, load))

    def _report(self, outcome, reason, load):
        ran_s = self.now - self.started_at if self.started_at else 0.0
        return RunReport(
            self.forward.attempt,
            self.sender,
            self.forward.route,
            outcome,
            reason,
            max(self.now - self.arrived_at - ran_s, 0.0) * 1000,
            ran_s * 1000,
            load.running,
            load.waiting,
            load.limit,
        )


EXECUTION_CHART = bind_methods("execution", Execution)


class Executions(Decision):
    """Runs what other nodes forward, at the own backend server."""

    def __init__(
        self,
        authorization: Authorization,
        admission: Admission,
        contexts: Contexts,
        poison: PoisonGuard,
        work: ChainWork,
        strain: ChainStrain,
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
        self._unanswered = FadingShare(UNANSWERED_S, LEAST_RUNS)
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
            self._unanswered.note(now)
            self._unanswered.note_property(signal.failure in LOST_ANSWERS, now)
            yield from self._look_for_crash(execution, signal, now)
        yield from self._send(signal.attempt, "finished", now, signal)

    def _look_for_crash(self, execution, finished, now):
        fingerprint = execution.forward.fingerprint
        if finished.failure is RunFailure.CONNECTION_LOST:
            yield BackendCrashed(self._crashes.lose_connection(now), (fingerprint,))
        elif finished.failure is RunFailure.NOT_SENT:
            self._crashes.note_change()
            yield BackendUnreachable()
        elif finished.response is not None and not finished.not_run:
            self._crashes.note_change()
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
