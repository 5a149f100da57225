"""HTTP control of the fault-injecting proxy."""

from collections.abc import Callable
from json import loads

from attrs import asdict

from monsoonmill.standin.faults_messages import (
    FaultApplied,
    Scope,
    SetFault,
    StatusRequest,
)
from monsoonmill.standin.faults_modes import FaultError, fault_from_document
from monsoonmill.standin.http_front_end import HttpAnswer, RequestHandler
from monsoonmill.standin.request_inbox import ClientDisconnected, RequestInbox


class FaultsHandler(RequestHandler):
    """Serves ``GET /faults`` and ``POST /faults``."""

    def __init__(self, post: Callable[[object], None]):
        self._post = post

    def serve(
        self, method, path, headers, body, inbox: RequestInbox
    ) -> HttpAnswer | None:
        """Return the answer to a request; None if the client disconnected."""
        if path != "/faults":
            return HttpAnswer.problem("404 Not Found", "only /faults is served")
        try:
            message = (
                _parse_set_fault(body, inbox)
                if method == "POST"
                else StatusRequest(inbox)
            )
        except (FaultError, ValueError) as exc:
            return HttpAnswer.problem("400 Bad Request", str(exc))
        self._post(message)
        result = inbox.take()
        if isinstance(result, ClientDisconnected):
            return None
        if result == FaultApplied(0):
            return HttpAnswer.problem("404 Not Found", "no pair of this name")
        return HttpAnswer.from_document(asdict(result))


def _parse_set_fault(body, inbox):
    doc = loads(body)
    if not isinstance(doc, dict):
        raise FaultError("the body must be an object")
    pair = doc.pop("pair", "")
    scope = Scope(doc.pop("scope", Scope.ALL.value))
    mode = doc.pop("mode", None)
    return SetFault(pair, fault_from_document(mode, doc), scope, inbox)
