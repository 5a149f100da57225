"""The nodes of the overload trial: real decisions between modelled parties."""

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

HOP_S = 0.001
SERVICE = "service"
RETRIED = (Reason.SHED, Reason.QUEUE_FULL)


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
        """Return all entries."""
        return [self.own, *self._members]

    def live(self):
        """Return all entries, since none dies."""
        return self.members()


@define(eq=False)
class Attempt:
    """One try of a node to have a request run."""

    name: str
    request: Request
    deadline: float
    on_end: object
    job: ServerJob | None = None
    started_at: float = 0.0
    is_over: bool = False


class ServerNode:
    """A real admission decision beside a modelled backend server."""

    def __init__(
        self, admission: Admission, spec: ServerSpec, announced: int, events: EventQueue
    ):
        self.admission = admission
        self.server = ModelServer(spec, events)
        self.wasted_s = 0.0
        self._events = events
        self._attempts: dict[str, Attempt] = {}
        self._tick_at = float("inf")
        handlers = admission.handlers()
        if BackendAnnounced in handlers:
            hint = BackendAnnounced(SERVICE, Address("127.0.0.1", 8000), announced)
            list(handlers[BackendAnnounced](hint, events.now))

    def admit(self, attempt: Attempt) -> None:
        """Ask for a slot."""
        self._attempts[attempt.name] = attempt
        request = attempt.request
        wanted = AdmitCall(
            attempt.name,
            request.workload.route,
            f"org-{request.organisation}",
            request.workload.importance,
            attempt.deadline,
        )
        self._events.at(attempt.deadline, lambda: self._expire(attempt))
        self._carry_out(self.admission.on_admit_call(wanted, self._events.now))

    def _carry_out(self, produced):
        for signal in list(produced):
            attempt = self._attempts[signal.attempt]
            if isinstance(signal, Admitted):
                self._start(attempt)
            elif isinstance(signal, NotAdmitted):
                self._end(attempt, signal.reason)
        self._plan_tick()

    def _plan_tick(self):
        due = self.admission.next_due()
        if due is not None and (due < self._tick_at or self._tick_at < self._now):
            self._tick_at = due
            self._events.at(due, self._tick)

    @property
    def _now(self):
        return self._events.now

    def _tick(self):
        self._tick_at = float("inf")
        self._carry_out(self.admission.tick(self._now))

    def _start(self, attempt):
        attempt.started_at = self._now
        attempt.job = self.server.start(
            attempt.request.work_s, lambda: self._finish(attempt)
        )

    def _finish(self, attempt):
        self._end(attempt, None)
        self._release(attempt, timed_out=False)

    def _expire(self, attempt):
        """Drop an attempt whose time is up, as the execution's chart does."""
        if attempt.is_over:
            return
        self._end(attempt, Reason.DEADLINE)
        if attempt.job is None:
            left = CancelAdmission(attempt.name)
            self._carry_out(self.admission.on_cancel_admission(left, self._now))
            return
        self.wasted_s += self._now - attempt.started_at
        self.server.abort(attempt.job)
        self._release(attempt, timed_out=True)

    def _release(self, attempt, timed_out):
        latency_s = self._now - attempt.started_at
        released = SlotReleased(attempt.name, latency_s, False, timed_out)
        self._carry_out(self.admission.on_slot_released(released, self._now))

    def _end(self, attempt, reason):
        attempt.is_over = True
        del self._attempts[attempt.name]
        load = self.admission.load()
        self._events.after(HOP_S, lambda: attempt.on_end(reason, load))


@define(eq=False)
class IngressCall:
    """A call at the node where it came in."""

    request: Request
    deadline: float
    on_answer: object
    tries: int
    excluded: set[str] = field(factory=set)


class Ingress:
    """The node where calls come in: real routing and retry bounds."""

    def __init__(self, cfg: Settings, spec: ServerSpec, size: int, announced, events):
        self._cfg = cfg
        self._events = events
        members = StaticMembers(size, announced)
        self.router = Router(members, AllHealthy(), Random(cfg.node.random_seed))
        self._retries = RetryLimiter(cfg.call)
        self.nodes = {
            one.node: ServerNode(make_admission(cfg), spec, announced, events)
            for one in members.members()[1:]
        }
        self._numbers = count(1)
        self.refusals: dict[Reason, int] = {}
        self.attempts = 0

    def call(self, request: Request, deadline: float, on_answer) -> None:
        """Take a call in."""
        self._retries.deposit(SERVICE)
        self._try(IngressCall(request, deadline, on_answer, self._cfg.call.tries))

    def _try(self, call):
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
            f"attempt-{next(self._numbers)}",
            call.request,
            call.deadline,
            lambda reason, load: self._ended(call, node, reason, load),
        )
        self._events.after(HOP_S, lambda: self.nodes[node].admit(attempt))

    def _ended(self, call, node, reason, load):
        self.router.record_end(node, load, self._events.now)
        if reason is None:
            call.on_answer(True)
            return
        call.excluded.add(node)
        if reason in RETRIED and self._retries.refusal(SERVICE, call.tries) is None:
            call.tries -= 1
            self._retries.withdraw(SERVICE)
            self._try(call)
        else:
            self._fail(call, reason)

    def _fail(self, call, reason):
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        self._events.after(0.0, lambda: call.on_answer(False))
