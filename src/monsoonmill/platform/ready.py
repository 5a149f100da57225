"""The platform's question whether this node takes callers."""

from collections.abc import Callable

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.http1.server import WebApp
from monsoonmill.model import HttpRequest, HttpResponse

READY_PATH = "/monsoonmill/ready"


class ReadyApp(WebApp):
    """Answers 200 while the node takes callers, else 503."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def handle(self, name: str, req: HttpRequest) -> HttpResponse:
        """Tell whether the node takes callers."""
        if req.path.partition("?")[0] != READY_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self._is_ready() else 503)

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer; there is none here."""
        return HttpResponse(500)
