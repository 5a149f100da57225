"""Heartbeats and deregistration of the local backend server."""

from collections.abc import Iterable
from typing import Annotated, Literal

from attrs import evolve, frozen
from msgspec import Meta, Raw

from monsoonmill.clock import Clock
from monsoonmill.decisions.calls.signals import Answer
from monsoonmill.decisions.lifecycle.signals import BackendHeartbeat
from monsoonmill.decisions.signals import BackendDeregistered
from monsoonmill.errors import MalformedMessageError
from monsoonmill.eventlog import get_logger
from monsoonmill.http1.server import WebApp
from monsoonmill.model import Address, HttpRequest, HttpResponse
from monsoonmill.outside_data import Name, NonNegativeInt, decode_json
from monsoonmill.platform.durations import parse_ms
from monsoonmill.reasons import Outcome
from monsoonmill.settings_fields import parse_address

INSTANCES_PATH = "/monsoonmill/instances/"
HEARTBEAT = "heartbeat"
DEREGISTER = "deregister"
DRAINING = "draining"
MAX_SLOTS = 1_000_000

OK = HttpResponse(200, (("Content-Type", "application/json"),), b"{}")
NOT_KEPT = HttpResponse(503, (), b"no other host has confirmed it\n")

log = get_logger("heartbeats")


@frozen
class HeartbeatInfo:
    """What a backend server is, in its heartbeats."""

    service: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


@frozen
class HeartbeatStatus:
    """Current state of a backend server, in its heartbeats.

    Attributes
    ----------
    sequence : int
        Increases with each heartbeat of one start of the backend server.
    cold_left : Raw
        Duration for which the backend server stays cold. It is decoded separately,
        since the rest of the heartbeat is used even if it is malformed.
    """

    state: Literal["ready", "draining"]
    sequence: NonNegativeInt
    cold_left: Raw = Raw(b"null")


@frozen
class HeartbeatDocument:
    """A heartbeat.

    Attributes
    ----------
    born : int
        Unix time in milliseconds at which the backend server started.
    """

    address: str
    info: HeartbeatInfo
    status: HeartbeatStatus
    born: NonNegativeInt = 0


class HeartbeatApp(WebApp):
    """Handles the heartbeats and the deregistration of the local backend server.

    Parameters
    ----------
    address : Address
        Address on which the backend server of this host listens.
    clock : Clock
        Gives the time of day of heartbeats and deregistrations.
    """

    def __init__(self, address: Address, clock: Clock):
        self._address = address
        self._clock = clock

    def request_signals(self, req: HttpRequest, now: float) -> Iterable[object]:
        """Yield the signal of a heartbeat that is acknowledged at once."""
        instance, action = _parse_path(req)
        try:
            if action == HEARTBEAT:
                heartbeat = self._heartbeat(instance, req.body)
                if not heartbeat.leaves:
                    yield heartbeat
        except MalformedMessageError as exc:
            log.warning("heartbeat_refused", instance=instance, error=str(exc))

    def handle(self, name: str, req: HttpRequest) -> HttpResponse | object:
        """Acknowledge a valid request, or return the signal of one that leaves.

        That a backend server leaves is acknowledged once it outlives this process.
        """
        instance, action = _parse_path(req)
        try:
            if action == HEARTBEAT:
                heartbeat = self._heartbeat(instance, req.body)
                return evolve(heartbeat, request=name) if heartbeat.leaves else OK
        except MalformedMessageError as exc:
            return HttpResponse(400, (), f"{exc}\n".encode())
        if action == DEREGISTER:
            return BackendDeregistered(instance, self._clock.unix_ms(), name)
        return HttpResponse(404, (), b"no such call\n")

    def render(self, answer: Answer) -> HttpResponse:
        """Return the acknowledgement of a departure, or that there is none yet."""
        return OK if answer.outcome is Outcome.DONE else NOT_KEPT

    def _heartbeat(self, instance, body):
        heartbeat = parse_heartbeat(instance, body)
        if heartbeat.address.port != self._address.port:
            raise MalformedMessageError("not the address of this host's server")
        return evolve(heartbeat, received_ms=self._clock.unix_ms())


def _parse_path(req):
    """Return the instance and the action in a path; empty ones if it has none."""
    path = req.path.partition("?")[0]
    if req.method != "POST" or not path.startswith(INSTANCES_PATH):
        return "", ""
    instance, _, action = path.removeprefix(INSTANCES_PATH).partition("/")
    return (instance, action) if instance else ("", "")


def parse_heartbeat(instance: str, body: bytes) -> BackendHeartbeat:
    """Parse the JSON document of a heartbeat.

    Raises
    ------
    MalformedMessageError
        A field is missing or has an invalid type or value.
    """
    try:
        doc = decode_json(body, HeartbeatDocument)
        address = parse_address(doc.address)
    except (ValueError, MalformedMessageError) as exc:
        raise MalformedMessageError(f"malformed heartbeat: {exc}") from exc
    return BackendHeartbeat(
        instance,
        doc.born,
        doc.status.sequence,
        doc.info.service,
        address,
        doc.info.slots,
        doc.status.state == DRAINING,
        _parse_cold_left_ms(instance, doc.status.cold_left),
    )


def _parse_cold_left_ms(instance, raw):
    """Return for how long a backend server is cold; 0 if that cannot be read."""
    try:
        text = decode_json(raw, str | None)
        return 0.0 if text is None else parse_ms(text)
    except MalformedMessageError as exc:
        log.warning(
            "field_replaced", error=f"cold_left of {instance}: {exc}", value="0"
        )
        return 0.0
