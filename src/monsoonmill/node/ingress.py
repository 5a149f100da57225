"""Front end for callers, and for nested calls of the own backend server."""

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
    CONTEXT,
    IDEMPOTENCY_KEY,
    KEY,
    NOT_FORWARDED,
    OUTCOME,
    REASON,
    RETRY_AFTER,
    TIMEOUT,
    returned_headers,
)
from monsoonmill.node.task_client import NodeTaskClient
from monsoonmill.node.web import App, Problem, WebRequest, WebResponse
from monsoonmill.reasons import HTTP_STATUS, Outcome, Reason
from monsoonmill.settings_fields import parse_address
from monsoonmill.task import Inbox

BEARER = "bearer "
CALLER_CHECK_S = 0.5
"""How often a waiting call looks whether its caller is still there."""
MAX_IDEMPOTENCY_KEY_CHARS = 256
ANNOUNCE_PATH = "/announce"


class BadRequestError(UserError):
    """A request can't be understood."""


def parse_call(name: str, req: WebRequest) -> CallArrived:
    """Return the call that an HTTP request asks for.

    Raises
    ------
    BadRequestError
        The path or a header of ours is malformed.
    """
    service, _, rest = req.uri.lstrip("/").partition("/")
    if not req.uri.startswith("/") or not service:
        raise BadRequestError("the path must be /{service}/{path}")
    path = "/" + rest
    segments = path.partition("?")[0].split("/")
    if any(one.lower().replace("%2e", ".") in (".", "..") for one in segments):
        raise BadRequestError("the path has dot segments")
    key = req.header(IDEMPOTENCY_KEY)
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise BadRequestError("Idempotency-Key is too long")
    headers = tuple(pair for pair in req.headers if pair[0] not in NOT_FORWARDED)
    return CallArrived(
        call=name,
        service=service,
        request=HttpRequest(req.method, path, headers, req.body),
        bearer=_parse_bearer(req.header(KEY)),
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
    """Return the HTTP response of an answer."""
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
    """Answers calls."""

    def __init__(self, task_client: NodeTaskClient):
        self.task_client = task_client

    def respond(self, req: WebRequest, raw: HTTPRequest) -> WebResponse | None:
        """Hand a call in and wait for its answer."""
        name = self.task_client.next_name()
        try:
            arrival = parse_call(name, req)
        except BadRequestError as exc:
            raw.server.counters.add(Reason.BAD_REQUEST)
            refusal = Answer(
                name, Outcome.NOT_RUN, reason=Reason.BAD_REQUEST, detail=str(exc)
            )
            return render_answer(refusal)
        reply = self.task_client.start_call(arrival)
        answer = self._wait(name, reply, raw)
        return None if answer is None else render_answer(answer)

    def _wait(self, name, reply: Inbox, raw):
        """Wait for an answer, and now and then look after the caller.

        Every call has a deadline in the node's task, which ends the waiting.
        """
        while (answer := reply.take(CALLER_CHECK_S)) is None:
            if _has_left(raw.conn.socket):
                self.task_client.abandon_call(name)
                return None
        return answer


def _has_left(sock):
    try:
        readable, _, _ = select([sock], [], [], 0)
        return bool(readable) and not sock.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except (OSError, ValueError):
        return True


class BackendApp(App):
    """Answers the own backend server: its announcements and nested calls."""

    def __init__(self, task_client: NodeTaskClient):
        self._task_client = task_client
        self._calls = CallApp(task_client)

    def respond(self, req: WebRequest, raw: HTTPRequest) -> WebResponse | None:
        """Take an announcement, or answer a nested call."""
        if req.uri != ANNOUNCE_PATH:
            return self._calls.respond(req, raw)
        try:
            self._task_client.post(parse_announcement(req.body))
        except BadRequestError as exc:
            raw.server.counters.add(Reason.BAD_REQUEST)
            return Problem(400, Reason.BAD_REQUEST.value, str(exc)).response()
        return WebResponse(204)


def parse_announcement(body: bytes) -> BackendAnnounced:
    """Return the announcement in a JSON document.

    Raises
    ------
    BadRequestError
        The document is malformed.
    """
    try:
        doc = loads(body)
        service, slots = doc["service"], doc.get("slots", 0)
        address = parse_address(doc["address"])
        draining = doc.get("draining", False)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise BadRequestError("an announcement needs service and address") from exc
    if not isinstance(service, str) or not service or type(slots) is not int:
        raise BadRequestError("service must be a text and slots a number")
    if type(draining) is not bool:
        raise BadRequestError("draining must be true or false")
    return BackendAnnounced(service, address, slots, draining)
