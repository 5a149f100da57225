"""Stand-in for a backend server on the users' platform, for tests only."""

from collections.abc import Callable
from itertools import count
from json import dumps
from urllib.parse import urlsplit

from attrs import define, field, frozen

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.timers import Timers
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse
from monsoonmill.reasons import Outcome

HEADER_PREFIX = "X-Monsoonmill-"
MISDIRECTED = 421


@frozen
class RecordedRequest:
    """A request that was executed."""

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes


@define
class PlatformBackendBehaviour:
    """How requests are executed and answered.

    Attributes
    ----------
    work_s : float
        Service time in seconds.
    requests_to_shed : int
        Number of further requests that are rejected as not executed.
    status : int
        HTTP status of the answers.
    stray_answers : int
        Number of further answers to precede by an answer to an earlier request;
        not implemented.
    signed : bool
        Whether answers have a signature.
    body_bytes : int
        Size of the answers' bodies; 0 for a short JSON document.
    most_held : int
        Number of requests that can be executed or queued; further ones, and later
        ones on the same connection, are never answered. 0 for no limit.
    """

    work_s: float = 0.0
    requests_to_shed: int = 0
    status: int = 200
    stray_answers: int = 0
    signed: bool = True
    body_bytes: int = 0
    most_held: int = 0


@define(eq=False)
class RunningRequest:
    """A request in progress and its response."""

    name: str
    response: HttpResponse


class PlatformBackendApp(WebApp):
    """Executes requests and records each execution."""

    def __init__(self, instance: str, service: str, clock):
        self.instance = instance
        self.service = service
        self.behaviour = PlatformBackendBehaviour()
        self.runs: list[RecordedRequest] = []
        self._clock = clock
        self._timers = Timers()
        self._running: dict[str, RunningRequest] = {}
        self._signature_numbers = count(1)

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Execute a request, or reject it as not executed."""
        headers = {key.lower(): value for key, value in req.headers}
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
        self.runs.append(
            RecordedRequest(request_id, urlsplit(req.path).path, headers, req.body)
        )
        resp = self._response(request_id, req)
        if self.behaviour.work_s <= 0:
            return resp
        running = RunningRequest(name, resp)
        self._running[name] = running
        self._timers.set(name, self._clock.now() + self.behaviour.work_s)
        return running

    def _response(self, request_id, req):
        body = dumps({"path": req.path, "by": self.instance}).encode()
        if self.behaviour.body_bytes:
            body = bytes(self.behaviour.body_bytes)
        headers = [(HEADER_PREFIX + "Attempt-Id", request_id)]
        if self.behaviour.signed:
            signature = f"{next(self._signature_numbers):x}"
            headers.append((HEADER_PREFIX + "Response-Signature", signature))
        return HttpResponse(self.behaviour.status, tuple(headers), body)

    def due_answers(self):
        """Yield the answers of the requests that have finished."""
        for name in self._timers.pop_due(self._clock.now()):
            running = self._running.pop(name)
            yield Answer(name, Outcome.DONE, running.response)

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
