"""Heartbeats and goodbyes of the own backend server."""

from collections.abc import Iterable
from json import loads

from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.errors import MalformedMessageError
from monsoonmill.eventlog import get_logger
from monsoonmill.http1.server import WebApp
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.settings_fields import parse_address

PREFIX = "/monsoonmill/instances/"
HEARTBEAT = "heartbeat"
GOODBYE = "deregister"
STATES = {"ready": False, "draining": True}
"""Whether a backend server in a state leaves."""

log = get_logger("heartbeats")


class HeartbeatApp(WebApp):
    """Takes what the backend server on this host says of itself.

    Parameters
    ----------
    address : Address
        Where the backend server of this host listens.
    """

    def __init__(self, address: Address):
        self._address = address

    def request_signals(self, req: HttpRequest, now: float) -> Iterable[object]:
        """Yield the signal that a request means."""
        instance, verb = _parse_path(req)
        try:
            if verb == HEARTBEAT:
                yield self._heartbeat(instance, req.body)
            elif verb == GOODBYE:
                yield BackendDeregistered(instance)
        except MalformedMessageError as exc:
            log.warning("heartbeat_refused", instance=instance, error=str(exc))

    def handle(self, name: str, req: HttpRequest) -> HttpResponse:
        """Acknowledge a request that says something."""
        instance, verb = _parse_path(req)
        try:
            if verb == HEARTBEAT:
                self._heartbeat(instance, req.body)
            elif verb != GOODBYE:
                return HttpResponse(404, (), b"no such call\n")
        except MalformedMessageError as exc:
            return HttpResponse(400, (), f"{exc}\n".encode())
        return HttpResponse(200, (("Content-Type", "application/json"),), b"{}")

    def render(self, answer: Answer) -> HttpResponse:
        """Return the response of an answer; there is none here."""
        return HttpResponse(500)

    def _heartbeat(self, instance, body):
        heartbeat = parse_heartbeat(instance, body)
        if heartbeat.address.port != self._address.port:
            raise MalformedMessageError("not the address of this host's server")
        return heartbeat


def _parse_path(req):
    """Return the instance and the verb of a call; empty ones for others."""
    path = req.path.partition("?")[0]
    if req.method != "POST" or not path.startswith(PREFIX):
        return "", ""
    instance, _, verb = path.removeprefix(PREFIX).partition("/")
    return (instance, verb) if instance else ("", "")


def parse_heartbeat(instance: str, body: bytes) -> BackendHeartbeat:
    """Return the heartbeat in a JSON document.

    Raises
    ------
    MalformedMessageError
        A field is missing, of another type, or holds an unknown word.
    """
    try:
        doc = loads(body)
        info, status = doc["info"], doc["status"]
        started_ms = doc.get("born", 0)
        sequence, slots = status["sequence"], info["slots"]
        leaves = STATES[status["state"]]
        address = parse_address(doc["address"])
        service = info["service"]
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise MalformedMessageError(f"malformed heartbeat: {exc!r}") from exc
    if not all(type(one) is int for one in (started_ms, sequence, slots)):
        raise MalformedMessageError("born, sequence and slots must be whole numbers")
    if not isinstance(service, str) or not service or slots < 1:
        raise MalformedMessageError("service and slots are needed")
    return BackendHeartbeat(
        instance, started_ms, sequence, service, address, slots, leaves
    )
