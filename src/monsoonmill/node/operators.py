"""Administration API of a node on the HTTP server of ``monsoonmill.http1``."""

from collections.abc import Callable, Iterable
from json import dumps
from urllib.parse import parse_qsl

from monsoonmill.clock import Clock
from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.request_query import QueryError, RequestQuery
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse

TOPICS = ("status", "members", "counters")
JSON = (("Content-Type", "application/json"),)


class OperatorApp(WebApp):
    """Answers requests of operators; runs in the node's task and reads its state.

    Parameters
    ----------
    clock : Clock
        Clock of the node's task.
    latency : callable
        Returns the histogram of call latencies.
    """

    def __init__(
        self, core: NodeCore, clock: Clock, latency: Callable[[], LatencyHistogram]
    ):
        self._core = core
        self._clock = clock
        self._latency = latency

    def request_signals(self, req: HttpRequest, now: float) -> Iterable[object]:
        """Yield the signal that a request raises."""
        if _method_and_path(req) == ("POST", "/drain"):
            yield DrainRequested()

    def handle(self, name: str, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        method, path = _method_and_path(req)
        if method == "GET" and path == "/metrics":
            return self._metrics()
        if method == "GET" and path == "/config":
            body = JsonConfigCodec().encode(self._core.view.config)
            return HttpResponse(200, JSON, body)
        if method == "GET" and path[1:] in TOPICS:
            report = self._core.report(path[1:])
            return HttpResponse(200, JSON, dumps(report, default=str).encode())
        if (method, path) == ("GET", "/explain"):
            return self._explain(req.path.partition("?")[2])
        if (method, path) == ("POST", "/drain"):
            return HttpResponse(202, JSON, b'{"state": "draining"}')
        return HttpResponse(404, JSON, b'{"title": "not-found"}')

    def _explain(self, encoded):
        fields = dict(parse_qsl(encoded, keep_blank_values=True))
        try:
            query = RequestQuery.from_fields(fields, self._core.view.config)
        except QueryError as exc:
            problem = {"title": "bad-query", "detail": str(exc)}
            return HttpResponse(400, JSON, dumps(problem).encode())
        report = self._core.explain(query, self._clock.now())
        return HttpResponse(200, JSON, dumps(report).encode())

    def _metrics(self):
        # Imported on first use: a node whose metrics are not read starts faster and
        # uses less memory.
        from monsoonmill.node.metrics import CONTENT_TYPE, render_metrics

        body = render_metrics(self._core.counters.snapshot(), self._latency())
        return HttpResponse(200, (("Content-Type", CONTENT_TYPE),), body)

    def render(self, answer: Answer) -> HttpResponse:
        """Return an error, since no request of operators has an ``Answer``."""
        return HttpResponse(500)


def _method_and_path(req):
    return req.method, req.path.partition("?")[0]
