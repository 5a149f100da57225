"""Operators' questions to a node, on the node's own HTTP engine."""

from collections.abc import Callable, Iterable
from json import dumps

from monsoonmill.codec_json import JsonConfigCodec
from monsoonmill.counters import LatencyHistogram
from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.core import NodeCore
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse

TOPICS = ("status", "members", "counters")
JSON = (("Content-Type", "application/json"),)


class OperatorApp(WebApp):
    """Answers operators; runs in the node's task, whose state it reads.

    Parameters
    ----------
    latency : callable
        Returns the histogram of the calls' latencies.
    """

    def __init__(self, core: NodeCore, latency: Callable[[], LatencyHistogram]):
        self._core = core
        self._latency = latency

    def request_signals(self, req: HttpRequest, now: float) -> Iterable[object]:
        """Yield the signal that a request means."""
        if _target(req) == ("POST", "/drain"):
            yield DrainRequested()

    def handle(self, name: str, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        method, path = _target(req)
        if method == "GET" and path == "/metrics":
            return self._metrics()
        if method == "GET" and path == "/config":
            body = JsonConfigCodec().encode(self._core.view.config)
            return HttpResponse(200, JSON, body)
        if method == "GET" and path[1:] in TOPICS:
            report = self._core.report(path[1:])
            return HttpResponse(200, JSON, dumps(report, default=str).encode())
        if (method, path) == ("POST", "/drain"):
            return HttpResponse(202, JSON, b'{"state": "draining"}')
        return HttpResponse(404, JSON, b'{"title": "not-found"}')

    def _metrics(self):
        # Loaded by the first question, so that a node that nobody asks starts
        # sooner and stays smaller.
        from monsoonmill.node.metrics import CONTENT_TYPE, render_metrics

        text = render_metrics(self._core.counters.snapshot(), self._latency())
        return HttpResponse(200, (("Content-Type", CONTENT_TYPE),), text)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer; there is none here."""
        return HttpResponse(500)


def _target(req):
    return req.method, req.path.partition("?")[0]
