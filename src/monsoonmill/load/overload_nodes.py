"""Nodes of the overload simulation.

They run the decision code of real nodes; clients and backend servers are modelled.
"""

from itertools import count
from random import Random

from attrs import define, field

from monsoonmill.decisions.admission.admission import Admission
from monsoonmill.decisions.admission.signals import (
    AdmitCall,
    Admitted,
    CancelAdmission,
    NotAdmitted,
    SlotReleased,
)
from monsoonmill.decisions.health.health import AllHealthy
from monsoonmill.decisions.policies import make_admission
from monsoonmill.decisions.retries.retry_limiter import RetryLimiter
from monsoonmill.decisions.routing.router import Router
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.load.overload_clients import Request
from monsoonmill.load.overload_model import (
    EventQueue,
    ModelServer,
    ServerJob,
    ServerSpec,
)
from monsoonmill.model import Address, Member
from monsoonmill.reasons import Reason
from monsoonmill.settings import Settings

HOP_DELAY_S = 0.001
"""Network delay between the ingress node and another node, each way."""
SERVICE = "service"
RETRIED_REASONS = (Reason.SHED, Reason.QUEUE_FULL)


class StaticMembers:
    """A membership list that never changes."""

    def __init__(self, size: int, slots: int):
        self._members = [
            Member(
                f"node-{number}",
                1,
                1,
                Address("127.0.0.1", 7000 + number),
                "region-1",
                "dc-1",
                service=SERVICE,
                accepts_calls=True,
                slots=slots,
            )
            for number in range(size)
        ]
        self.own = Member(
            "ingress", 1, 1, Address("127.0.0.1", 6999), "region-1", "dc-1"
        )

    def members(self):
        """Return all members."""
        return [self.own, *self._members]

    def live(self):
        """Return all members, since none fails."""
        return self.members()


@define(eq=False)
class Attempt:
    """An attempt to execute a request on a node."""

    name: str
    request: Request
    deadline: float
    on_ended: object
    job: ServerJob | None = None
    started_at: float = 0.0
    has_ended: bool = False


class ServerNode:
    """Admission decision of a node, with a modelled backend server."""

    def __init__(
        self,
        admission: Admission,
        spec: ServerSpec,
        announced_slots: int,
        events: EventQueue,
    ):
        self.admission = admission
        self.server = ModelServer(spec, events)
        self.wasted_s = 0.0
        self._events = events
        self._attempts: dict[str, Attempt] = {}
        self._next_tick_at = float("inf")
        handlers = admission.handlers()
        if BackendAnnounced in handlers:
            announcement = BackendAnnounced(
                SERVICE, Address("127.0.0.1", 8000), announced_slots
            )
            list(handlers[BackendAnnounced](announcement, events.now))

    def admit(self, attempt: Attempt) -> None:
        """Request a slot for an attempt."""
        self._attempts[attempt.name] = attempt
        request = attempt.request
        admit_call = AdmitCall(
            attempt.name,
            request.workload.route,
            f"org-{request.organisation}",
            request.workload.importance,
            attempt.deadline,
        )
        self._events.schedule_at(attempt.deadline, lambda: self._expire(attempt))
        self._process(self.admission.on_admit_call(admit_call, self._events.now))

    def _process(self, signals):
        for signal in list(signals):
            attempt = self._attempts[signal.attempt]
            if isinstance(signal, Admitted):
                self._start(attempt)
            elif isinstance(signal, NotAdmitted):
                self._end(attempt, signal.reason)
        self._schedule_tick()

    def _schedule_tick(self):
        due = self.admission.next_due()
        if due is not None and (
            due < self._next_tick_at or self._next_tick_at < self._now
        ):
            self._next_tick_at = due
            self._events.schedule_at(due, self._tick)

    @property
    def _now(self):
        return self._events.now

    def _tick(self):
        self._next_tick_at = float("inf")
        self._process(self.admission.tick(self._now))

    def _start(self, attempt):
        attempt.started_at = self._now
        attempt.job = self.server.start(
            attempt.request.work_s, lambda: self._finish(attempt)
        )

    def _finish(self, attempt):
        self._end(attempt, None)
        self._release(attempt, timed_out=False)

    def _expire(self, attempt):
        """End an attempt at its deadline, like the state chart of an execution."""
        if attempt.has_ended:
            return
        self._end(attempt, Reason.DEADLINE)
        if attempt.job is None:
            cancel = CancelAdmission(attempt.name)
            self._process(self.admission.on_cancel_admission(cancel, self._now))
            return
        self.wasted_s += self._now - attempt.started_at
        self.server.abort(attempt.job)
        self._release(attempt, timed_out=True)

    def _release(self, attempt, timed_out):
        latency_s = self._now - attempt.started_at
        released = SlotReleased(attempt.name, latency_s, False, timed_out)
        self._process(self.admission.on_slot_released(released, self._now))

    def _end(self, attempt, reason):
        attempt.has_ended = True
        del self._attempts[attempt.name]
        load = self.admission.load()
        self._events.schedule_after(HOP_DELAY_S, lambda: attempt.on_ended(reason, load))


@define(eq=False)
class IngressCall:
    """A call at the node that received it."""

    request: Request
    deadline: float
    on_ended: object
    retries_left: int
    excluded: set[str] = field(factory=set)


class Ingress:
    """The node that receives calls; it has the routing and retry limits of a node."""

    def __init__(
        self, cfg: Settings, spec: ServerSpec, size: int, announced_slots, events
    ):
        self._cfg = cfg
        self._events = events
        members = StaticMembers(size, announced_slots)
        self.router = Router(members, AllHealthy(), Random(cfg.node.random_seed))
        self._retries = RetryLimiter(cfg.call)
        self.nodes = {
            member.node: ServerNode(make_admission(cfg), spec, announced_slots, events)
            for member in members.members()[1:]
        }
        self._attempt_numbers = count(1)
        self.refusals: dict[Reason, int] = {}
        self.attempts = 0

    def call(self, request: Request, deadline: float, on_ended) -> None:
        """Receive a call."""
        self._retries.deposit(SERVICE)
        self._send_attempt(
            IngressCall(request, deadline, on_ended, self._cfg.call.tries)
        )

    def _send_attempt(self, call):
        node = self.router.choose(
            SERVICE,
            call.request.workload.importance,
            frozenset(call.excluded),
            self._events.now,
        )
        if node is None:
            self._fail(call, Reason.SHED)
            return
        self.attempts += 1
        self.router.record_start(node)
        attempt = Attempt(
            f"attempt-{next(self._attempt_numbers)}",
            call.request,
            call.deadline,
            lambda reason, load: self._on_attempt_ended(call, node, reason, load),
        )
        self._events.schedule_after(
            HOP_DELAY_S, lambda: self.nodes[node].admit(attempt)
        )

    def _on_attempt_ended(self, call, node, reason, load):
        self.router.record_end(node, load, self._events.now)
        if reason is None:
            call.on_ended(True)
            return
        call.excluded.add(node)
        if (
            reason in RETRIED_REASONS
            and self._retries.refusal(SERVICE, call.retries_left) is None
        ):
            call.retries_left -= 1
            self._retries.withdraw(SERVICE)
            self._send_attempt(call)
        else:
            self._fail(call, reason)

    def _fail(self, call, reason):
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        self._events.schedule_after(0.0, lambda: call.on_ended(False))
