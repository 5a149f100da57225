"""Readiness endpoint of the platform."""

from collections.abc import Callable

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse

READINESS_PATH = "/monsoonmill/ready"


class ReadinessApp(WebApp):
    """Responds with 200 while the node accepts calls, else with 503."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def handle(self, name: str, req: HttpRequest) -> HttpResponse:
        """Return whether the node accepts calls, as a status."""
        if req.path.partition("?")[0] != READINESS_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self._is_ready() else 503)

    def render(self, answer: Answer) -> HttpResponse:
        """Return an error, since no request here is answered later."""
        return HttpResponse(500)
