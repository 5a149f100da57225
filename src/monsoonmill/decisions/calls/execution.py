"""State of one attempt at the own backend server, and its chart."""

from abc import ABC, abstractmethod

from attrs import define, field
from xxhash import xxh3_64_intdigest

from monsoonmill.chart import ChartInstance, bind_methods
from monsoonmill.counters import Counters
from monsoonmill.decisions.admission.chain_admission import band
from monsoonmill.decisions.admission.nested_overload import NestedOverload
from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    CancelAdmission,
    SlotReleased,
)
from monsoonmill.decisions.calls.contexts import Contexts
from monsoonmill.decisions.calls.location_rules import LOCATION_RETRY_S
from monsoonmill.decisions.calls.running_requests import (
    RunningRequest,
    RunningRequests,
)
from monsoonmill.decisions.calls.signals import (
    AbortRun,
    RunCall,
    RunFailure,
    RunFinished,
    RunReport,
)
from monsoonmill.decisions.retries.call_amplification import CallAmplification
from monsoonmill.decisions.signals import Send
from monsoonmill.messages import Forward, Load, Reply
from monsoonmill.model import Address, CallContext
from monsoonmill.reasons import Importance, Outcome, Reason

SHED_STATUS = 503
MISDIRECTED_STATUS = 421
ERROR_STATUS = 500
ABORT_GRACE_S = 5.0
"""The slot of an aborted run is released if the run does not end within this time."""

LOST_RUN_FAILURES = frozenset(
    (RunFailure.TIMED_OUT, RunFailure.CONNECTION_LOST, RunFailure.BROKEN_ANSWER)
)
"""Runs that may have failed because the backend server had stopped."""

FAILURE_REASONS = {
    RunFailure.NOT_SENT: (Outcome.NOT_RUN, Reason.UNREACHABLE),
    RunFailure.TIMED_OUT: (Outcome.UNKNOWN, Reason.DEADLINE),
    RunFailure.CONNECTION_LOST: (Outcome.UNKNOWN, Reason.CONNECTION_LOST),
    RunFailure.BROKEN_ANSWER: (Outcome.UNKNOWN, Reason.BROKEN_ANSWER),
    RunFailure.ABORTED: (Outcome.UNKNOWN, Reason.CANCELLED),
}


class ExecutionController(ABC):
    """What an execution needs from the decision that drives its chart."""

    max_readmits: int
    counters: Counters
    amplification: CallAmplification
    nested_overload: NestedOverload
    running_requests: RunningRequests
    contexts: Contexts
    backend_address: Address | None
    instance: str

    @abstractmethod
    def load(self, now: float, route: str) -> Load:
        """Return the load to report with a reply to an attempt of a route."""

    @abstractmethod
    def set_timer(self, attempt: str, due: float) -> None:
        """Send an attempt's chart the event ``timed_out`` at a time."""


@define(eq=False)
class Execution:
    """One attempt at the own backend server; its methods are its chart's bindings."""

    sender: str
    forward: Forward
    deadline: float
    controller: ExecutionController
    chart: ChartInstance | None = None
    token: str = ""
    running_request: RunningRequest | None = None
    arrived_at: float = 0.0
    started_at: float = 0.0
    retries_left: int = 0
    readmits: int = 0
    now: float = 0.0
    outbox: list = field(factory=list)

    # Guards.
    def can_requeue(self, finished: RunFinished):
        """Return whether a request that the backend server shed is queued again.

        The request did not run, and other backend servers are probably as full.
        Less important requests are refused, so that their callers may try other
        nodes. Without an API key the importance may be inherited by request id,
        which is only a hint and must not cause further attempts.
        """
        forward = self.forward
        is_critical = forward.importance is Importance.CRITICAL and bool(forward.key)
        has_readmits_left = self.readmits < self.controller.max_readmits
        is_before_deadline = self.now < self.deadline
        return (
            finished.not_run
            and is_critical
            and has_readmits_left
            and is_before_deadline
        )

    def is_final(self, finished: RunFinished):
        """Return whether the result of the run is final."""
        return not self.can_requeue(finished)

    # Actions.
    def requeue(self, finished: RunFinished):
        """Release the slot and queue the request again."""
        self.readmits += 1
        self.controller.counters.add("readmitted")
        self.release_slot(finished)
        self.request_slot(None)

    def request_slot(self, arg):
        """Request a slot at the backend server."""
        forward = self.forward
        self.outbox.append(
            AdmitCall(
                forward.attempt,
                forward.route,
                forward.organisation,
                band(forward.importance, forward.rank),
                self.deadline,
                forward.rank,
            )
        )

    def start_run(self, arg):
        """Send the request to the backend server."""
        self.started_at = self.now
        self.controller.amplification.record_run()
        self.controller.nested_overload.record_run(self.now)
        forward = self.forward
        self.running_request = RunningRequest(
            forward.importance,
            forward.rank,
            forward.route,
            forward.root_organisation or forward.organisation,
            forward.has_crossed,
        )
        self.controller.running_requests.add(forward.request_id, self.running_request)
        context = CallContext(
            forward.organisation,
            forward.importance,
            self.deadline,
            forward.tries,
            forward.depth,
            forward.rank,
        )
        self.token = self.controller.contexts.issue(context, forward.key)
        address = self.controller.backend_address
        timeout_s = self.deadline - self.now
        self.outbox.append(
            RunCall(
                forward.attempt,
                address,
                forward.request,
                timeout_s,
                self.token,
                forward.organisation,
                self.controller.instance,
            )
        )

    def reply_refused(self, refusal):
        """Reply that the attempt was refused and never ran."""
        self._reply(Outcome.NOT_RUN, refusal.reason, None, refusal.retry_after_s)

    def reply_deadline_in_queue(self, arg):
        """Reply that the deadline passed before the attempt ran."""
        self.leave_queue(arg)
        self._reply(Outcome.NOT_RUN, Reason.DEADLINE)

    def reply_permission_lapsed(self, reason: Reason):
        """Reply that the attempt must no longer run here, and never ran."""
        self.leave_queue(reason)
        self._reply(Outcome.NOT_RUN, reason, None, LOCATION_RETRY_S)

    def reply_draining_in_queue(self, arg):
        """Reply that the node exits before the attempt ran."""
        self.leave_queue(arg)
        self._reply(Outcome.NOT_RUN, Reason.DRAINING)

    def reply_draining(self, arg):
        """Reply that the node exits while the attempt runs."""
        self._close_context()
        self._reply(Outcome.UNKNOWN, Reason.DRAINING)

    def leave_queue(self, arg):
        """Remove the attempt from the queue."""
        self.outbox.append(CancelAdmission(self.forward.attempt))

    def abort(self, arg):
        """Abort the request at the backend server."""
        self.outbox.append(AbortRun(self.forward.attempt))
        self.controller.set_timer(self.forward.attempt, self.now + ABORT_GRACE_S)
        self._close_context()

    def abort_and_reply_deadline(self, arg):
        """Abort the request and reply that the deadline has passed."""
        self.abort(arg)
        self._reply(Outcome.UNKNOWN, Reason.DEADLINE)

    def release_slot_of_unfinished_run(self, arg):
        """Release the slot of an aborted run that did not end in time."""
        self.release_slot(RunFinished(self.forward.attempt, None, RunFailure.TIMED_OUT))

    def release_slot(self, finished: RunFinished):
        """Release the slot and report how the run ended."""
        self._close_context()
        failure = finished.failure
        response = finished.response
        is_cut_off = failure in (RunFailure.TIMED_OUT, RunFailure.ABORTED)
        self.outbox.append(
            SlotReleased(
                self.forward.attempt,
                self.now - self.started_at,
                shed=finished.not_run
                or (response is not None and response.status == SHED_STATUS),
                timed_out=is_cut_off,
                failed=response is None or response.status >= ERROR_STATUS,
                not_run=finished.not_run,
                misdirected=response is not None
                and response.status == MISDIRECTED_STATUS,
                not_sent=failure is RunFailure.NOT_SENT,
                lost=failure in LOST_RUN_FAILURES,
            )
        )

    def reply_finished(self, finished: RunFinished):
        """Release the slot and reply with the result of the run."""
        self.release_slot(finished)
        if finished.response is None:
            self._reply(*FAILURE_REASONS[finished.failure], None)
        elif finished.not_run:
            self._reply(Outcome.NOT_RUN, Reason.BACKEND_SERVER_SHED, None, 1.0)
        else:
            self._reply(Outcome.DONE, None, finished.response)

    def _close_context(self):
        self.controller.running_requests.remove(
            self.forward.request_id, self.running_request
        )
        if self.token:
            self.retries_left = self.controller.contexts.close(self.token)
            self.token = ""

    def _reply(self, outcome, reason, response=None, retry_after_s=0.0):
        body = response.body if response is not None else b""
        load = self.controller.load(self.now, self.forward.route)
        reply = Reply(
            self.forward.attempt,
            outcome,
            reason,
            response,
            xxh3_64_intdigest(body),
            self.retries_left,
            load,
            retry_after_s,
        )
        self.outbox.append(Send(self.sender, reply))
        if reason is not None or outcome is Outcome.NOT_RUN:
            self.outbox.append(self._report(outcome, reason, load))

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
