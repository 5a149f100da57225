"""HTTP front end of the stand-in backend server."""

from collections.abc import Callable
from itertools import count
from json import loads

from attrs import fields

from monsoonmill.clock import SystemClock
from monsoonmill.reasons import Reason
from monsoonmill.standin.backend_messages import (
    ControlRequest,
    NestedCallRequest,
    ReportRequest,
    RequestArrived,
    RequestEnded,
    RequestRejected,
)
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, Echo, body_crc, make_body
from monsoonmill.standin.http_front_end import HttpAnswer, RequestHandler
from monsoonmill.standin.request_inbox import ClientDisconnected, RequestInbox

CLOCK = SystemClock()

REPORT_TOPICS = {
    "/health": "health",
    "/executions": "executions",
    "/executions/count": "count",
}


class BackendHandler(RequestHandler):
    """Serves requests; each HTTP thread runs one request from start to end.

    Parameters
    ----------
    post : callable
        Sends a message to the ``BackendTask``.
    call_nested : callable
        Sends a ``NestedCallRequest`` to the nested callers.
    """

    def __init__(
        self, settings: BackendSettings, post: Callable, call_nested: Callable
    ):
        self._settings = settings
        self._post = post
        self._call_nested = call_nested
        self._request_numbers = count()
        self.name = settings.backend.name

    def serve(
        self, method, path, headers, body, inbox: RequestInbox
    ) -> HttpAnswer | None:
        """Return the answer to a request; None if the client disconnected."""
        topic = REPORT_TOPICS.get(path) if method == "GET" else None
        if topic is not None:
            self._post(ReportRequest(topic, inbox))
            return _document_answer(inbox.take())
        if path == "/control":
            return self._control(body, inbox)
        return self._execute(method, path, headers, body, inbox)

    def _control(self, body, inbox):
        try:
            self._post(_parse_control(body, inbox))
        except (ValueError, TypeError) as exc:
            return HttpAnswer.problem("400 Bad Request", str(exc))
        return _document_answer(inbox.take())

    def _execute(self, method, path, headers, body, inbox):
        request_id = (
            headers.get(ID_HEADER.lower()) or f"unnamed-{next(self._request_numbers)}"
        )
        deadline = _parse_deadline(headers)
        self._post(
            RequestArrived(request_id, method, path, headers, body, deadline, inbox)
        )
        started = inbox.take()
        if isinstance(started, ClientDisconnected):
            self._post(RequestEnded(inbox, cancelled=True))
            return None
        if isinstance(started, RequestRejected):
            return _not_run_answer(started.reason)
        parent = RequestArrived(request_id, method, path, headers, b"", deadline, inbox)
        answer = self._run(started, parent)
        self._post(RequestEnded(inbox, cancelled=answer is None))
        return answer

    def _run(self, started, parent):
        """Make the nested calls, wait for the service time and return the answer."""
        inbox = parent.reply
        for call in started.nested:
            failure = self._make_nested_calls(call, parent)
            if isinstance(failure, ClientDisconnected):
                return None
            if failure is not None:
                headers = (("Monsoon-Reason", failure.reason),)
                return HttpAnswer("502 Bad Gateway", headers)
        if inbox.take(started.service_s) is not None:
            return None
        if started.fails:
            return HttpAnswer("500 Internal Server Error")
        return self._echo(parent.id, started.answer_bytes)

    def _make_nested_calls(self, call, parent):
        """Make the calls of one settings entry, until one of them fails.

        Return the result of the failed call, ``ClientDisconnected`` or, if all calls
        succeeded, None.
        """
        batch_size = call.count if call.parallel else 1
        for number in range(0, call.count, batch_size):
            for offset in range(batch_size):
                self._send_nested_call(call, parent, number + offset)
            for _ in range(batch_size):
                result = parent.reply.take()
                if isinstance(result, ClientDisconnected) or not result.succeeded:
                    return result
        return None

    def _send_nested_call(self, call, parent, number):
        context = parent.headers.get("monsoon-context", "")
        call_id = f"{parent.id}/{call.service}.{number}"
        self._call_nested(
            NestedCallRequest(call, context, call_id, parent.deadline, parent.reply)
        )

    def _echo(self, request_id, size):
        echo = Echo(request_id, self._settings.backend.service, self.name)
        body = make_body(echo, size)
        headers = (
            ("Content-Type", "application/json"),
            (CRC_HEADER, body_crc(body)),
        )
        return HttpAnswer("200 OK", headers, body)


def _document_answer(report):
    if isinstance(report, ClientDisconnected):
        return None
    return HttpAnswer.from_document(report.document)


def _not_run_answer(reason):
    is_late = reason is Reason.DEADLINE
    status = "504 Gateway Timeout" if is_late else "503 Service Unavailable"
    headers = (("Monsoon-Outcome", "not-run"), ("Monsoon-Reason", reason.value))
    return HttpAnswer(status, headers)


def _parse_deadline(headers):
    text = headers.get("monsoon-timeout-ms", "")
    return CLOCK.now() + int(text) / 1000 if text.isdigit() else None


def _parse_control(body, inbox):
    doc = loads(body)
    known = {field.name for field in fields(ControlRequest)} - {"reply"}
    if not isinstance(doc, dict) or not set(doc) <= known:
        raise ValueError(f"expected an object with keys among {sorted(known)}")
    return ControlRequest(inbox, **doc)
