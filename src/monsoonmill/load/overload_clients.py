"""Callers of the overload trial: open loop, eight organisations, hard retries."""

from collections.abc import Callable
from random import Random

from attrs import define, frozen

from monsoonmill.load.overload_model import EventQueue
from monsoonmill.reasons import Importance


@frozen
class Workload:
    """One route: its importance, its share of the calls and its work."""

    route: str
    importance: Importance
    share: float
    work_s: float


WORKLOADS = (
    Workload("pledge", Importance.CRITICAL, 0.1, 0.05),
    Workload("order", Importance.INTERACTIVE, 0.2, 0.04),
    Workload("lookup", Importance.NORMAL, 0.55, 0.03),
    Workload("download", Importance.NORMAL, 0.05, 0.3),
    Workload("sync", Importance.BACKGROUND, 0.1, 0.05),
)
MEAN_WORK_S = sum(one.share * one.work_s for one in WORKLOADS)


@frozen
class Surge:
    """A time in which demand is a multiple of what it is otherwise."""

    start: float
    end: float
    factor: float


@frozen
class ClientSpec:
    """How callers behave.

    Attributes
    ----------
    rate : float
        First tries a second, of all organisations together.
    greedy : float
        Demand of the first organisation as a multiple of another's.
    retries : int
        Further tries of a caller after a failure.
    """

    rate: float
    organisations: int = 8
    greedy: float = 4.0
    timeout_s: float = 1.0
    retries: int = 5
    retry_delay_s: float = 0.1
    surge: Surge | None = None

    def rate_at(self, now: float) -> float:
        """Return the calls a second at a time."""
        surge = self.surge
        if surge is not None and surge.start <= now < surge.end:
            return self.rate * surge.factor
        return self.rate


@define(eq=False)
class Request:
    """A caller's request, with all its tries."""

    organisation: int
    workload: Workload
    work_s: float
    asked_at: float
    tries: int = 0
    is_done: bool = False


class Clients:
    """Sends requests and tries failed ones again."""

    def __init__(self, spec: ClientSpec, events: EventQueue, rng: Random, send):
        self._spec = spec
        self._events = events
        self._rng = rng
        self._send: Callable[[Request, float], None] = send
        self._weights = [spec.greedy] + [1.0] * (spec.organisations - 1)
        self._shares = [one.share for one in WORKLOADS]
        self.requests: list[Request] = []

    def start(self) -> None:
        """Begin to send."""
        self._plan_next()

    def _plan_next(self):
        rate = self._spec.rate_at(self._events.now)
        self._events.after(self._rng.expovariate(rate), self._arrive)

    def _arrive(self):
        (organisation,) = self._rng.choices(
            range(self._spec.organisations), self._weights
        )
        (workload,) = self._rng.choices(WORKLOADS, self._shares)
        work_s = self._rng.gammavariate(2.0, workload.work_s / 2)
        request = Request(organisation, workload, work_s, self._events.now)
        self.requests.append(request)
        self._try(request)
        self._plan_next()

    def _try(self, request):
        request.tries += 1
        self._send(request, self._events.now + self._spec.timeout_s)

    def on_answer(self, request: Request, is_done: bool) -> None:
        """Take a try's end; a failed one is followed by another."""
        if is_done:
            request.is_done = True
        elif request.tries <= self._spec.retries:
            delay_s = self._spec.retry_delay_s * self._rng.uniform(0.5, 1.5)
            self._events.after(delay_s, lambda: self._try(request))
