"""HTTP front end of the stand-ins, based on cheroot."""

from abc import ABC, abstractmethod
from json import dumps

from attrs import field, frozen
from cheroot.server import Gateway, HTTPServer

from monsoonmill.eventlog import get_logger
from monsoonmill.standin.listening import ListenError
from monsoonmill.standin.request_inbox import RequestInbox
from monsoonmill.task import Task

log = get_logger(__name__)

LISTEN_BACKLOG = 1024

IDLE_CONNECTION_TIMEOUT_S = 300
"""Time after which the server closes an idle connection."""

MAX_IDLE_CONNECTIONS = 4096
"""Number of idle connections that are kept open."""


@frozen
class HttpAnswer:
    """Status, headers and body of an answer."""

    status: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = field(default=b"", repr=False)

    @classmethod
    def from_document(cls, document: object, status: str = "200 OK") -> "HttpAnswer":
        """Build an answer with a JSON document."""
        body = dumps(document).encode()
        return cls(status, (("Content-Type", "application/json"),), body)

    @classmethod
    def problem(cls, status: str, detail: str) -> "HttpAnswer":
        """Build an answer with a JSON document that describes an error."""
        return cls.from_document({"detail": detail}, status)


class RequestHandler(ABC):
    """Serves requests; thread-safe, since all HTTP threads share it."""

    @abstractmethod
    def serve(
        self, method: str, path: str, headers: dict, body: bytes, inbox: RequestInbox
    ) -> HttpAnswer | None:
        """Return the answer to a request; None if the client disconnected.

        Parameters
        ----------
        headers : dict
            Header values by lower-case name.
        inbox : RequestInbox
            Receives the messages that tasks send about this request.
        """


class HandlerGateway(Gateway):
    """Passes requests from cheroot to the ``RequestHandler``."""

    def respond(self):
        """Serve the current request and send the answer."""
        req = self.req
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in req.inheaders.items()
        }
        path = req.uri.decode("latin-1").partition("?")[0]
        body = req.rfile.read()
        with RequestInbox(req.conn.socket) as inbox:
            handler = req.server.handler
            answer = handler.serve(req.method.decode(), path, headers, body, inbox)
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


class HandlerServer(HTTPServer):
    """A cheroot server with a ``RequestHandler``."""

    request_queue_size = LISTEN_BACKLOG
    timeout = IDLE_CONNECTION_TIMEOUT_S
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS

    def __init__(self, bind_addr, threads: int, handler: RequestHandler):
        super().__init__(bind_addr, HandlerGateway, minthreads=threads)
        self.handler = handler

    def error_log(self, msg="", level=20, traceback=False):
        """Log an error that cheroot reports."""
        log.warning("http", message=msg)


class HttpFrontEnd(Task):
    """Task that owns the HTTP server and its listening socket."""

    def __init__(self, bind_addr, threads: int, handler: RequestHandler):
        super().__init__("http")
        self._server = HandlerServer(bind_addr, threads, handler)

    def listen(self) -> int:
        """Open the listening socket and return its port.

        Raises
        ------
        ListenError
            The address is in use or doesn't belong to this machine.
        """
        try:
            self._server.prepare()
        except OSError as exc:
            raise ListenError(self._server.bind_addr, exc) from exc
        return self._server.bind_addr[1]

    def run(self) -> None:
        """Serve until ``stop`` is called."""
        self._server.serve()

    def stop(self) -> None:
        """Close the server and its connections."""
        self._server.stop()
