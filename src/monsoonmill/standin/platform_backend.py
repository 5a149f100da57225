"""Stand-in for a backend server on the users' platform, for tests only."""

from collections.abc import Callable
from itertools import count
from json import dumps
from math import inf
from random import Random
from urllib.parse import urlsplit

from attrs import define, field

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.timers import Timers
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome
from monsoonmill.standin.platform_answers import AnswerDelivery, WholeAnswer
from monsoonmill.standin.platform_nested import NestedCall, NestedCalls, NestedResult

HEADER_PREFIX = "X-Monsoonmill-"
MISDIRECTED = 421
HEALTH_PATH = "/health"


@define(eq=False)
class RecordedRequest:
    """A request that was executed.

    Attributes
    ----------
    path : str
        Path without the query.
    started_at, ended_at : float
        Time of the start, and of the answer; infinity without one.
    status : int
        Status of the answer; 0 without one.
    """

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    method: str = "GET"
    instance: str = ""
    service: str = ""
    started_at: float = 0.0
    ended_at: float = inf
    status: int = 0


@define
class PlatformBackendBehaviour:
    """How requests are executed and answered.

    Attributes
    ----------
    work_s : float
        Service time in seconds.
    work_by_prefix : dict
        Service time of the paths with some prefixes, in place of ``work_s``.
    slowness : float
        Multiplies the service times.
    requests_to_shed : int
        Number of further requests that are rejected as not executed.
    status : int
        HTTP status of the answers.
    failing_share : float
        Share of the requests that are answered with 500.
    stray_answers : int
        Number of further answers to precede by an answer to an earlier request;
        not implemented.
    signed : bool
        Whether answers have a signature.
    body_bytes : int
        Size of the answers' bodies; 0 for a short JSON document.
    filler_bytes : int
        Size of a text that is added to the JSON document.
    most_held : int
        Number of requests that can be executed or queued; further ones, and later
        ones on the same connection, are never answered. 0 for no limit.
    is_leaving : bool
        Whether health checks fail.
    delivery : AnswerDelivery
        How answers are handed to their connections.
    """

    work_s: float = 0.0
    work_by_prefix: dict[str, float] = field(factory=dict)
    slowness: float = 1.0
    requests_to_shed: int = 0
    status: int = 200
    failing_share: float = 0.0
    stray_answers: int = 0
    signed: bool = True
    body_bytes: int = 0
    filler_bytes: int = 0
    most_held: int = 0
    is_leaving: bool = False
    delivery: AnswerDelivery = field(factory=WholeAnswer)

    def service_time_s(self, path: str) -> float:
        """Return the service time of a request."""
        times = (
            time_s
            for prefix, time_s in self.work_by_prefix.items()
            if path.startswith(prefix)
        )
        return next(times, self.work_s) * self.slowness


@define(eq=False)
class RunningRequest:
    """A request in progress and its response.

    Attributes
    ----------
    ends_by : float
        Time at which the work is stopped.
    open_calls : int
        Number of nested calls without a result.
    """

    name: str
    response: HttpResponse
    run: RecordedRequest | None = None
    work_s: float = 0.0
    ends_by: float = inf
    open_calls: int = 0


class PlatformBackendApp(WebApp):
    """Executes requests and records each execution.

    Attributes
    ----------
    runs : list of RecordedRequest
        Requests that it has executed.
    calls : dict
        Nested calls that it has made, by their ids.
    call_results : list of NestedResult
        How these calls have ended.
    """

    def __init__(
        self, instance: str, service: str, clock, nested: NestedCalls | None = None
    ):
        self.instance = instance
        self.service = service
        self.behaviour = PlatformBackendBehaviour()
        self.runs: list[RecordedRequest] = []
        self.calls: dict[str, NestedCall] = {}
        self.call_results: list[NestedResult] = []
        self._clock = clock
        self._nested = nested
        self._rng = Random(instance)
        self._timers = Timers()
        self._running: dict[str, RunningRequest] = {}
        self._signature_numbers = count(1)

    @property
    def in_progress(self) -> int:
        """Number of requests that are being executed."""
        return len(self._running)

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Execute a request, or reject it as not executed."""
        headers = {key.lower(): value for key, value in req.headers}
        path = urlsplit(req.path).path
        if path == HEALTH_PATH:
            status = 503 if self.behaviour.is_leaving else 200
            return HttpResponse(
                status, ((HEADER_PREFIX + "Instance-Id", self.instance),)
            )
        request_id = headers.get((HEADER_PREFIX + "Attempt-Id").lower(), "")
        expected = headers.get(
            (HEADER_PREFIX + "Expected-Instance").lower(), self.instance
        )
        if expected != self.instance:
            return HttpResponse(
                MISDIRECTED, ((HEADER_PREFIX + "Instance-Id", self.instance),)
            )
        if self.behaviour.requests_to_shed > 0:
            self.behaviour.requests_to_shed -= 1
            return HttpResponse(503, ((HEADER_PREFIX + "Not-Executed", "1"),))
        if 0 < self.behaviour.most_held <= len(self._running):
            return RunningRequest(name, HttpResponse(503))
        run = RecordedRequest(
            request_id,
            path,
            headers,
            req.body,
            req.method,
            self.instance,
            self.service,
            self._clock.now(),
        )
        self.runs.append(run)
        return self._execute(name, req, run)

    def _execute(self, name, req, run):
        resp = self._response(run.request_id, req)
        run.status = resp.status
        work_s = self.behaviour.service_time_s(run.path)
        running = RunningRequest(name, resp, run, work_s)
        calls = tuple(self._make_calls(running))
        if work_s <= 0 and not calls:
            run.ended_at = run.started_at
            return resp
        self._running[name] = running
        for call in calls:
            self._nested.post(call)
        if not calls:
            self._start_work(running)
        return running

    def _make_calls(self, running):
        """Yield the nested calls that a request needs."""
        if self._nested is None:
            return
        run = running.run
        timeout = run.headers.get((HEADER_PREFIX + "Request-Deadline").lower(), "5000")
        running.ends_by = run.started_at + int(timeout) / 1000
        for plan in self._nested.plans:
            is_needed = run.path.startswith(plan.parent_prefix)
            if is_needed and self._rng.random() < plan.share:
                number = len(self.calls)
                remaining_s = min(plan.deadline_s, int(timeout) / 1000)
                call = NestedCall(
                    running.name,
                    self.service,
                    f"{self.instance}-call-{number}",
                    self._nested.host,
                    f"{plan.prefix}{number}",
                    remaining_s,
                )
                self.calls[call.request_id] = call
                running.open_calls += 1
                yield call

    def _start_work(self, running):
        end = self._clock.now() + running.work_s
        if end > running.ends_by:
            end = running.ends_by
            running.response = self._failure(running, 504)
        self._timers.set(running.name, end)

    def _failure(self, running, status):
        """Return an answer of a request that could not be executed to its end."""
        running.run.status = status
        return HttpResponse(status, running.response.headers, b"failed\n")

    def _response(self, request_id, req):
        doc = {"path": req.path, "by": self.instance, "id": request_id}
        if self.behaviour.filler_bytes:
            doc["filler"] = "f" * self.behaviour.filler_bytes
        body = dumps(doc).encode()
        if self.behaviour.body_bytes:
            body = bytes(self.behaviour.body_bytes)
        headers = [(HEADER_PREFIX + "Attempt-Id", request_id)]
        if self.behaviour.signed:
            signature = f"{next(self._signature_numbers):x}"
            headers.append((HEADER_PREFIX + "Response-Signature", signature))
        status = self.behaviour.status
        if self._rng.random() < self.behaviour.failing_share:
            status = 500
        return HttpResponse(status, tuple(headers), body)

    def due_answers(self):
        """Yield the answers of the requests that have finished."""
        if self._nested is not None:
            for result in self._nested.take_results():
                self._end_call(result)
        now = self._clock.now()
        for name in self._timers.pop_due(now):
            running = self._running.pop(name)
            running.run.ended_at = now
            yield Answer(name, Outcome.DONE, running.response)

    def _end_call(self, result):
        """Start the work of a request if it has all that it needs, or end it."""
        self.call_results.append(result)
        running = self._running.get(result.call.parent)
        if running is None:
            return
        running.open_calls -= 1
        now = self._clock.now()
        if not result.succeeded:
            status = 504 if now >= running.ends_by else 500
            running.response = self._failure(running, status)
            running.open_calls = -1
            self._timers.set(running.name, now)
        elif running.open_calls == 0:
            self._start_work(running)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer."""
        return answer.response


@define
class HeartbeatSource:
    """Creates the heartbeats of a backend server.

    Attributes
    ----------
    born : int
        Start time of the process in milliseconds, by which restarts are told apart.
    """

    instance: str
    address: str
    service: str
    slots: int
    born: int
    state: str = "ready"
    sequence: int = 0
    extra: Callable[[dict], None] | None = field(default=None)

    def next_document(self) -> bytes:
        """Return the next heartbeat as JSON."""
        self.sequence += 1
        doc = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "zone-1",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_left": "0ms",
            },
        }
        return dumps(doc).encode()
