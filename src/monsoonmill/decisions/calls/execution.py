"""One attempt at the own backend server, from its queue to its reply."""

from abc import ABC, abstractmethod

from attrs import define, field
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.nested_overload import NestedOverload
from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    CancelAdmission,
    SlotReleased,
)
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.running_chains import RunningChains
from monsoonmill.decisions.calls.signals import (
    AbortRun,
    RunCall,
    RunFailure,
    RunFinished,
    RunReport,
)
from monsoonmill.decisions.retries.chain_work import ChainWork
from monsoonmill.decisions.signals import Send
from monsoonmill.messages import Forward, Load, Reply
from monsoonmill.model import Address, CallContext
from monsoonmill.reasons import Importance, Outcome, Reason

SHED_STATUS = 503
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


class ExecutionOwner(ABC):
    """What an execution needs of the node that it runs at."""

    most_readmits: int
    counters: Counters
    work: ChainWork
    strain: NestedOverload
    chains: RunningChains
    contexts: Contexts
    backend_address: Address | None
    instance: str

    @abstractmethod
    def load(self, now: float) -> Load:
        """Return the load to tell with a reply."""

    @abstractmethod
    def set_timer(self, attempt: str, due: float) -> None:
        """Let an attempt's chart get ``expire`` at a time."""


@define(eq=False)
class Execution:
    """One attempt at the own backend server; owner of its execution chart."""

    sender: str
    forward: Forward
    deadline: float
    executions: ExecutionOwner
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
        self.executions.strain.record_run(self.now)
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
        self.out.append(CancelAdmission(self.forward.attempt))

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
