"""Stand-in of the users' backend servers, for tests and try-out only."""

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
    """One run of a request, as the stand-in recorded it."""

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes


@define
class PlatformBackendBehaviour:
    """How the stand-in treats requests.

    Attributes
    ----------
    work_s : float
        Time that a request takes.
    requests_to_shed : int
        So many further requests are refused as not executed.
    status : int
        Status of the answers.
    stray_answers : int
        So many further answers are preceded by one of an earlier request.
    signed : bool
        Whether answers are signed.
    """

    work_s: float = 0.0
    requests_to_shed: int = 0
    status: int = 200
    stray_answers: int = 0
    signed: bool = True


@define(eq=False)
class Waiting:
    """A request that runs."""

    name: str
    response: HttpResponse


class PlatformBackendApp(WebApp):
    """Runs requests and records each run."""

    def __init__(self, instance: str, service: str, clock):
        self.instance = instance
        self.service = service
        self.behaviour = PlatformBackendBehaviour()
        self.runs: list[RecordedRequest] = []
        self._clock = clock
        self._timers = Timers()
        self._waiting: dict[str, Waiting] = {}
        self._signatures = count(1)

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Run a request, or say that it does not run."""
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
        self.runs.append(
            RecordedRequest(request_id, urlsplit(req.path).path, headers, req.body)
        )
        resp = self._response(request_id, req)
        if self.behaviour.work_s <= 0:
            return resp
        waiting = Waiting(name, resp)
        self._waiting[name] = waiting
        self._timers.set(name, self._clock.now() + self.behaviour.work_s)
        return waiting

    def _response(self, request_id, req):
        body = dumps({"path": req.path, "by": self.instance}).encode()
        headers = [(HEADER_PREFIX + "Attempt-Id", request_id)]
        if self.behaviour.signed:
            signature = f"{next(self._signatures):x}"
            headers.append((HEADER_PREFIX + "Response-Signature", signature))
        return HttpResponse(self.behaviour.status, tuple(headers), body)

    def due_answers(self):
        """Yield the answers of the runs that have ended."""
        for name in self._timers.pop_due(self._clock.now()):
            waiting = self._waiting.pop(name)
            yield Answer(name, Outcome.DONE, waiting.response)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer."""
        return answer.response


@define
class HeartbeatSource:
    """What a target says of itself."""

    instance: str
    address: str
    service: str
    slots: int
    born: int
    state: str = "ready"
    sequence: int = 0
    extra: Callable[[dict], None] | None = field(default=None)

    def next_document(self) -> bytes:
        """Return the next heartbeat."""
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
