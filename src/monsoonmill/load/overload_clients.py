"""Open-loop clients of the overload simulation, with aggressive retries."""

from collections.abc import Callable
from random import Random

from attrs import define, frozen

from monsoonmill.load.overload_model import EventQueue
from monsoonmill.reasons import Importance


@frozen
class RouteWorkload:
    """A route's importance, share of the calls and mean work per call."""

    route: str
    importance: Importance
    share: float
    work_s: float


WORKLOADS = (
    RouteWorkload("pledge", Importance.CRITICAL, 0.1, 0.05),
    RouteWorkload("order", Importance.INTERACTIVE, 0.2, 0.04),
    RouteWorkload("lookup", Importance.NORMAL, 0.55, 0.03),
    RouteWorkload("download", Importance.NORMAL, 0.05, 0.3),
    RouteWorkload("sync", Importance.BACKGROUND, 0.1, 0.05),
)
MEAN_WORK_S = sum(workload.share * workload.work_s for workload in WORKLOADS)


@frozen
class Surge:
    """A period in which demand is multiplied by a factor.

    Attributes
    ----------
    start, end : float
        Virtual time in seconds.
    """

    start: float
    end: float
    factor: float


@frozen
class ClientSpec:
    """Demand and retry behaviour of the clients.

    Attributes
    ----------
    rate : float
        Requests per second of all organisations together, without retries.
    first_demand_factor : float
        Demand of the first organisation as a multiple of each other one's.
    retries : int
        Attempts that may follow a failed first attempt.
    """

    rate: float
    organisations: int = 8
    first_demand_factor: float = 4.0
    timeout_s: float = 1.0
    retries: int = 5
    retry_delay_s: float = 0.1
    surge: Surge | None = None

    def rate_at(self, now: float) -> float:
        """Return the requests per second at a virtual time."""
        surge = self.surge
        if surge is not None and surge.start <= now < surge.end:
            return self.rate * surge.factor
        return self.rate


@define(eq=False)
class Request:
    """A client's request, with all its attempts."""

    organisation: int
    workload: RouteWorkload
    work_s: float
    created_at: float
    attempts: int = 0
    has_succeeded: bool = False


class Clients:
    """Sends requests and retries failed ones."""

    def __init__(self, spec: ClientSpec, events: EventQueue, rng: Random, send):
        self._spec = spec
        self._events = events
        self._rng = rng
        self._send: Callable[[Request, float], None] = send
        self._weights = [spec.first_demand_factor] + [1.0] * (spec.organisations - 1)
        self._shares = [workload.share for workload in WORKLOADS]
        self.requests: list[Request] = []

    def start(self) -> None:
        """Schedule the first request."""
        self._schedule_next_request()

    def _schedule_next_request(self):
        rate = self._spec.rate_at(self._events.now)
        self._events.schedule_after(self._rng.expovariate(rate), self._create_request)

    def _create_request(self):
        (organisation,) = self._rng.choices(
            range(self._spec.organisations), self._weights
        )
        (workload,) = self._rng.choices(WORKLOADS, self._shares)
        work_s = self._rng.gammavariate(2.0, workload.work_s / 2)
        request = Request(organisation, workload, work_s, self._events.now)
        self.requests.append(request)
        self._send_attempt(request)
        self._schedule_next_request()

    def _send_attempt(self, request):
        request.attempts += 1
        self._send(request, self._events.now + self._spec.timeout_s)

    def on_attempt_ended(self, request: Request, succeeded: bool) -> None:
        """Record a success, or schedule a retry after a failure."""
        if succeeded:
            request.has_succeeded = True
        elif request.attempts <= self._spec.retries:
            delay_s = self._spec.retry_delay_s * self._rng.uniform(0.5, 1.5)
            self._events.schedule_after(delay_s, lambda: self._send_attempt(request))
