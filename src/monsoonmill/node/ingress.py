"""HTTP front ends for callers and for the local backend server."""

from json import loads
from math import ceil
from select import select
from socket import MSG_DONTWAIT, MSG_PEEK

from cheroot.server import HTTPRequest

from monsoonmill.decisions.calls.signals import Answer, CallArrived
from monsoonmill.decisions.signals import BackendAnnounced
from monsoonmill.errors import UserError
from monsoonmill.model import HttpRequest
from monsoonmill.node.headers import (
    AUTHORIZATION,
    CONTEXT,
    IDEMPOTENCY_KEY,
    NOT_FORWARDED,
    OUTCOME,
    REASON,
    RETRY_AFTER,
    TIMEOUT,
    returned_headers,
)
from monsoonmill.node.task import ShuttingDown
from monsoonmill.node.task_client import NodeTaskClient
from monsoonmill.node.web import App, Problem, WebRequest, WebResponse
from monsoonmill.reasons import HTTP_STATUS, Outcome, Reason
from monsoonmill.settings_fields import parse_address
from monsoonmill.task import Inbox

BEARER = "bearer "
DISCONNECT_CHECK_INTERVAL_S = 0.5
"""Interval at which a pending call checks that its caller is still connected."""
MAX_IDEMPOTENCY_KEY_CHARS = 256
ANNOUNCE_PATH = "/announce"


class BadRequestError(UserError):
    """A request is malformed."""


def parse_call(name: str, req: WebRequest) -> CallArrived:
    """Return the call that an HTTP request makes.

    Raises
    ------
    BadRequestError
        The path or a header that the node reads is malformed.
    """
    service, _, path_and_query = req.uri.lstrip("/").partition("/")
    if not req.uri.startswith("/") or not service:
        raise BadRequestError("the path must be /{service}/{path}")
    path = "/" + path_and_query
    segments = path.partition("?")[0].split("/")
    if any(segment.lower().replace("%2e", ".") in (".", "..") for segment in segments):
        raise BadRequestError("the path has dot segments")
    key = req.header(IDEMPOTENCY_KEY)
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise BadRequestError("Idempotency-Key is too long")
    headers = tuple(header for header in req.headers if header[0] not in NOT_FORWARDED)
    return CallArrived(
        call=name,
        service=service,
        request=HttpRequest(req.method, path, headers, req.body),
        bearer=_parse_bearer(req.header(AUTHORIZATION)),
        idempotency_key=key,
        timeout_ms=_parse_timeout(req.header(TIMEOUT)),
        context=req.header(CONTEXT),
    )


def _parse_bearer(value):
    if not value:
        return ""
    if not value.lower().startswith(BEARER):
        raise BadRequestError("Authorization must be a bearer key")
    return value[len(BEARER) :].strip()


def _parse_timeout(value):
    if not value:
        return None
    if not value.isascii() or not value.isdigit() or len(value) > 9:
        raise BadRequestError("Monsoon-Timeout-Ms must be a number of milliseconds")
    return int(value)


def render_answer(answer: Answer) -> WebResponse:
    """Return the HTTP response for an answer."""
    outcome = (OUTCOME, answer.outcome.value)
    if answer.response is not None:
        response = answer.response
        headers = tuple(returned_headers(response.headers))
        return WebResponse(response.status, (*headers, outcome), response.body)
    headers = [outcome, (REASON, answer.reason.value)]
    if answer.retry_after_s > 0:
        headers.append((RETRY_AFTER, str(ceil(answer.retry_after_s))))
    problem = Problem(
        HTTP_STATUS[answer.reason],
        answer.reason.value,
        answer.detail,
        {"outcome": answer.outcome.value},
    )
    return problem.response(tuple(headers))


class CallApp(App):
    """Answers the calls of callers."""

    def __init__(self, task_client: NodeTaskClient):
        self.task_client = task_client

    def respond(self, req: WebRequest, raw_req: HTTPRequest) -> WebResponse | None:
        """Submit a call and wait for its answer."""
        name = self.task_client.next_name()
        try:
            arrival = parse_call(name, req)
        except BadRequestError as exc:
            raw_req.server.counters.add(Reason.BAD_REQUEST)
            answer = Answer(
                name, Outcome.NOT_RUN, reason=Reason.BAD_REQUEST, detail=str(exc)
            )
            return render_answer(answer)
        reply = self.task_client.start_call(arrival)
        answer = self._await_answer(name, reply, raw_req)
        if isinstance(answer, ShuttingDown):
            # The drain has timed out, and the call may be running.
            answer = Answer(name, Outcome.UNKNOWN, reason=Reason.DRAINING)
        return None if answer is None else render_answer(answer)

    def _await_answer(self, name, reply: Inbox, raw_req):
        """Return the answer of a call; None if its caller disconnects first.

        There is no time-out here: each call has a deadline in the node's task,
        which answers it by then.
        """
        while (answer := reply.take(DISCONNECT_CHECK_INTERVAL_S)) is None:
            if _is_disconnected(raw_req.conn.socket):
                self.task_client.abandon_call(name)
                return None
        return answer


def _is_disconnected(sock):
    try:
        readable, _, _ = select([sock], [], [], 0)
        return bool(readable) and not sock.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except (OSError, ValueError):
        return True


class BackendApp(App):
    """Answers announcements and nested calls of the local backend server."""

    def __init__(self, task_client: NodeTaskClient):
        self._task_client = task_client
        self._calls = CallApp(task_client)

    def respond(self, req: WebRequest, raw_req: HTTPRequest) -> WebResponse | None:
        """Process an announcement, or answer a nested call."""
        if req.uri != ANNOUNCE_PATH:
            return self._calls.respond(req, raw_req)
        try:
            self._task_client.post(parse_announcement(req.body))
        except BadRequestError as exc:
            raw_req.server.counters.add(Reason.BAD_REQUEST)
            return Problem(400, Reason.BAD_REQUEST.value, str(exc)).response()
        return WebResponse(204)


def parse_announcement(body: bytes) -> BackendAnnounced:
    """Parse the JSON document of an announcement.

    Raises
    ------
    BadRequestError
        The document is malformed.
    """
    try:
        document = loads(body)
        service, slots = document["service"], document.get("slots", 0)
        address = parse_address(document["address"])
        draining = document.get("draining", False)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise BadRequestError("an announcement needs service and address") from exc
    if not isinstance(service, str) or not service or type(slots) is not int:
        raise BadRequestError("service must be a text and slots a number")
    if type(draining) is not bool:
        raise BadRequestError("draining must be true or false")
    return BackendAnnounced(service, address, slots, draining)
