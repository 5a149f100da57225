"""HTTP front end of the stand-in backend server."""

from collections.abc import Callable
from itertools import count
from json import dumps, loads

from attrs import field, fields, frozen
from cheroot.server import Gateway, HTTPServer

from monsoonmill.clock import SystemClock
from monsoonmill.eventlog import get_logger
from monsoonmill.reasons import Reason
from monsoonmill.standin.backend_messages import (
    Control,
    NestedRequest,
    QueryReport,
    WorkArrived,
    WorkEnded,
    WorkRefused,
)
from monsoonmill.standin.backend_settings import BackendSettings
from monsoonmill.standin.echo import CRC_HEADER, ID_HEADER, Echo, body_crc, make_body
from monsoonmill.standin.options import ListenError
from monsoonmill.standin.reply_box import ClientGone, ReplyBox
from monsoonmill.task import Task

log = get_logger(__name__)

CLOCK = SystemClock()

REPORT_TOPICS = {
    "/health": "health",
    "/executions": "executions",
    "/executions/count": "count",
}
SPARE_THREADS = 8
"""Threads beyond slots and queue, for reports and refusals."""

LISTEN_BACKLOG = 1024


@frozen
class HttpAnswer:
    """Status, headers and body of an answer."""

    status: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = field(default=b"", repr=False)

    @classmethod
    def from_document(cls, document: object, status: str = "200 OK") -> "HttpAnswer":
        """Build an answer of JSON."""
        body = dumps(document).encode()
        return cls(status, (("Content-Type", "application/json"),), body)

    @classmethod
    def not_run(cls, reason: Reason) -> "HttpAnswer":
        """Build the refusal of a request that was not run."""
        late = reason is Reason.DEADLINE
        status = "504 Gateway Timeout" if late else "503 Service Unavailable"
        headers = (("Monsoon-Outcome", "not-run"), ("Monsoon-Reason", reason.value))
        return cls(status, headers)


class RequestHandler:
    """Serves one request at a time for each thread that calls it.

    Parameters
    ----------
    post : callable
        Sends a message to the backend task.
    call_nested : callable
        Takes ``NestedRequest`` messages.
    """

    def __init__(
        self, settings: BackendSettings, post: Callable, call_nested: Callable
    ):
        self._settings = settings
        self._post = post
        self._call_nested = call_nested
        self._unnamed = count()
        self.name = settings.backend.name

    def serve(self, method, path, headers, body, box: ReplyBox) -> HttpAnswer | None:
        """Return the answer of a request; None if the client has gone."""
        topic = REPORT_TOPICS.get(path) if method == "GET" else None
        if topic is not None:
            self._post(QueryReport(topic, box))
            return _document_answer(box.take())
        if path == "/control":
            return self._control(body, box)
        return self._work(method, path, headers, body, box)

    def _control(self, body, box):
        try:
            self._post(_parse_control(body, box))
        except (ValueError, TypeError) as exc:
            problem = {"problem": str(exc)}
            return HttpAnswer.from_document(problem, "400 Bad Request")
        return _document_answer(box.take())

    def _work(self, method, path, headers, body, box):
        name = headers.get(ID_HEADER.lower()) or f"unnamed-{next(self._unnamed)}"
        deadline = _deadline(headers)
        self._post(WorkArrived(name, method, path, headers, body, deadline, box))
        started = box.take()
        if isinstance(started, ClientGone):
            self._post(WorkEnded(box, cancelled=True))
            return None
        if isinstance(started, WorkRefused):
            return HttpAnswer.not_run(started.reason)
        parent = WorkArrived(name, method, path, headers, b"", deadline, box)
        answer = self._run(started, parent)
        self._post(WorkEnded(box, cancelled=answer is None))
        return answer

    def _run(self, started, parent):
        """Make the nested calls, work, and return the answer."""
        box = parent.reply
        for call in started.nested:
            failed = self._make_nested(call, parent)
            if isinstance(failed, ClientGone):
                return None
            if failed is not None:
                headers = (("Monsoon-Reason", failed.reason),)
                return HttpAnswer("502 Bad Gateway", headers)
        if box.take(started.service_s) is not None:
            return None
        if started.fails:
            return HttpAnswer("500 Internal Server Error")
        return self._echo(parent.id, started.answer_bytes)

    def _make_nested(self, call, parent):
        """Return the failure of the calls, ``ClientGone``, or None."""
        at_once = call.count if call.parallel else 1
        for number in range(0, call.count, at_once):
            for offset in range(at_once):
                self._send_nested(call, parent, number + offset)
            for _ in range(at_once):
                done = parent.reply.take()
                if isinstance(done, ClientGone) or not done.succeeded:
                    return done
        return None

    def _send_nested(self, call, parent, number):
        context = parent.headers.get("monsoon-context", "")
        name = f"{parent.id}/{call.service}.{number}"
        self._call_nested(
            NestedRequest(call, context, name, parent.deadline, parent.reply)
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
    if isinstance(report, ClientGone):
        return None
    return HttpAnswer.from_document(report.document)


def _deadline(headers):
    text = headers.get("monsoon-timeout-ms", "")
    return CLOCK.now() + int(text) / 1000 if text.isdigit() else None


def _parse_control(body, box):
    doc = loads(body)
    known = {item.name for item in fields(Control)} - {"reply"}
    if not isinstance(doc, dict) or not set(doc) <= known:
        raise ValueError(f"expected an object with keys of {sorted(known)}")
    return Control(box, **doc)


class BackendGateway(Gateway):
    """Connects cheroot's requests with the ``RequestHandler``."""

    def respond(self):
        """Serve the current request."""
        req = self.req
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in req.inheaders.items()
        }
        path = req.uri.decode("latin-1").partition("?")[0]
        body = req.rfile.read()
        with ReplyBox(req.conn.socket) as box:
            handler = req.server.handler
            answer = handler.serve(req.method.decode(), path, headers, body, box)
        if answer is None:
            req.close_connection = True
            answer = HttpAnswer("499 Client Closed Request")
        self._send(answer)

    def _send(self, answer):
        req = self.req
        req.status = answer.status.encode()
        size = str(len(answer.body))
        for name, value in (*answer.headers, ("Content-Length", size)):
            req.outheaders.append((name.encode(), value.encode()))
        req.ensure_headers_sent()
        if answer.body:
            req.write(answer.body)


class BackendHttpServer(HTTPServer):
    """A cheroot server that knows its ``RequestHandler``."""

    request_queue_size = LISTEN_BACKLOG

    def __init__(self, bind_addr, threads: int, handler: RequestHandler):
        super().__init__(bind_addr, BackendGateway, minthreads=threads)
        self.handler = handler

    def error_log(self, msg="", level=20, traceback=False):
        """Log what cheroot reports."""
        log.warning("http", message=msg)


class HttpFront(Task):
    """Owns the HTTP server and its listening socket."""

    def __init__(self, settings: BackendSettings, handler: RequestHandler):
        super().__init__("http")
        work = settings.work
        threads = work.slots + work.queue_length + SPARE_THREADS
        bind_addr = (settings.backend.host, settings.backend.port)
        self._server = BackendHttpServer(bind_addr, threads, handler)

    def listen(self) -> int:
        """Open the listening socket and return its port.

        Raises
        ------
        ListenError
            The address is not free or not this machine's.
        """
        try:
            self._server.prepare()
        except OSError as exc:
            raise ListenError(self._server.bind_addr, exc) from exc
        return self._server.bind_addr[1]

    def run(self) -> None:
        """Serve until ``stop``."""
        self._server.serve()

    def stop(self) -> None:
        """Close the server and its connections."""
        self._server.stop()
