"""HTTP server of the node's front ends, built on cheroot."""

from abc import ABC, abstractmethod
from http import HTTPStatus
from io import BytesIO
from json import dumps
from socket import SHUT_RD
from time import monotonic
from traceback import format_exc

from attrs import field, frozen
from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer

from monsoonmill.counters import Counters
from monsoonmill.eventlog import get_logger, request_log
from monsoonmill.node.headers import OUTCOME, REASON
from monsoonmill.node.open_connections import LimitedConnection, OpenConnections
from monsoonmill.node.request_body import (
    BodyError,
    BodyMemoryError,
    HeldBodies,
    RequestBody,
    read_body,
)
from monsoonmill.node.socket_files import NEVER, open_socket_file
from monsoonmill.reasons import HTTP_STATUS, Outcome
from monsoonmill.settings import HttpSettings

log = get_logger("web")

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"
LISTEN_BACKLOG = 1024
HEADER_TIMEOUT_S = 3.0
"""Time limit for a request's headers, since each request being read takes a thread; as
operators give clients."""
MEMORY_RETRY_AFTER = ("Retry-After", "1")
SHUTDOWN_TIMEOUT_S = 2
INITIAL_THREADS = 4
"""Worker threads of a port at its start. Each start of a thread waits until the thread
has run, up to 0.1 s on a busy host; a hundred of them held up the start of nodes."""


@frozen
class WebRequest:
    """A request with its complete body.

    Attributes
    ----------
    headers : tuple of pairs
        Names in lower case.
    """

    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value; empty if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


@frozen
class WebResponse:
    """A response with its complete body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @classmethod
    def from_json(cls, status: int, document: object) -> "WebResponse":
        """Return a response that carries a JSON document."""
        body = dumps(document).encode()
        return cls(status, (("Content-Type", JSON_TYPE),), body)


@frozen
class Problem:
    """Problem details of a failed request, as in RFC 9457."""

    status: int
    title: str
    detail: str = ""
    extensions: dict = field(factory=dict)

    def response(self, headers: tuple[tuple[str, str], ...] = ()) -> WebResponse:
        """Return the response that carries the problem details."""
        document = {
            "type": "about:blank",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            **self.extensions,
        }
        content_type = ("Content-Type", PROBLEM_TYPE)
        return WebResponse(
            self.status, (content_type, *headers), dumps(document).encode()
        )


class App(ABC):
    """Application that answers the requests of one port."""

    @abstractmethod
    def respond(self, req: WebRequest, raw_req: HTTPRequest) -> WebResponse | None:
        """Return the response; None closes the connection without a response.

        Parameters
        ----------
        raw_req : cheroot.server.HTTPRequest
            The request as cheroot has it, with its connection.
        """


class CountingRequest(HTTPRequest):
    """Counts the requests that cheroot rejects, and writes responses."""

    def parse_request(self):
        """Parse the headers within their time limit."""
        reader = self.conn.rfile
        reader.set_deadline(monotonic() + HEADER_TIMEOUT_S)
        try:
            super().parse_request()
        finally:
            reader.set_deadline(NEVER)

    def simple_response(self, status, msg=""):
        """Write and count a response with which cheroot rejects a request."""
        code = str(status).split(" ", 1)[0]
        self.server.counters.add("too-large" if code == "413" else "bad-request")
        super().simple_response(status, msg)

    def write_response(self, body: bytes) -> None:
        """Write the headers and the body in a single system call."""
        wfile = self.conn.wfile
        self.conn.wfile = BytesIO()
        try:
            self.ensure_headers_sent()
            headers = self.conn.wfile.getvalue()
        finally:
            self.conn.wfile = wfile
        wfile.write(headers + body)


class CountingConnection(HTTPConnection, LimitedConnection):
    """A connection whose rejected requests are counted.

    Attributes
    ----------
    is_input_ended : bool
        Whether it has to give way to another connection.
    """

    RequestHandlerClass = CountingRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock, open_socket_file)
        self.has_sent_data = False
        self.used_at = monotonic()
        self.is_in_thread = False
        self.has_request = False
        self.is_input_ended = False

    def end_input(self) -> None:
        """Have it closed; the answer to a request that has arrived is still sent."""
        self.is_input_ended = True
        try:
            self.socket.shutdown(SHUT_RD)
        except OSError:
            # The client has closed it already.
            return

    def close(self) -> None:
        """Close the socket and make room for another connection."""
        self.server.open_connections.discard(self)
        super().close()


class AppGateway(Gateway):
    """Reads a request, passes it to the server's app, and writes the response."""

    def respond(self):
        """Answer one request."""
        body = RequestBody(self.req.server.held_bodies)
        try:
            req = self._read(body)
            self.req.conn.has_request = True
            response = self.req.server.app.respond(req, self.req)
        except BodyError as exc:
            self.req.server.counters.add(exc.reason)
            self.req.close_connection = True
            response = render_body_error(exc)
        finally:
            body.release()
        if response is None:
            self.req.close_connection = True
            return
        self._write(response)

    def _read(self, body):
        req = self.req
        headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in req.inheaders.items()
        )
        method, uri = req.method.decode("latin-1"), req.uri.decode("latin-1")
        return WebRequest(method, uri, headers, read_body(req, body))

    def _write(self, response):
        req = self.req
        phrase = _phrase(response.status)
        req.status = f"{response.status} {phrase}".encode("latin-1")
        req.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers
        ]
        length = str(len(response.body)).encode()
        req.outheaders.append((b"Content-Length", length))
        req.write_response(b"" if req.method == b"HEAD" else response.body)


def render_body_error(error: BodyError) -> WebResponse:
    """Return the response to a request whose body could not be read."""
    reason, outcome = error.reason, Outcome.NOT_RUN.value
    problem = Problem(
        HTTP_STATUS[reason], reason.value, str(error), {"outcome": outcome}
    )
    headers = [(OUTCOME, outcome), (REASON, reason.value)]
    if isinstance(error, BodyMemoryError):
        headers.append(MEMORY_RETRY_AFTER)
        request_log.write("memory-refused", error=str(error))
    return problem.response(tuple(headers))


def _phrase(status):
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unassigned"


class AppServer(HTTPServer):
    """A cheroot server for one application.

    Parameters
    ----------
    threads : int
        Maximum number of worker threads; they are started as requests need them.
    max_connections : int, optional
        Open connections, in place of the settings' limit for callers.
    """

    ConnectionClass = CountingConnection

    def __init__(
        self,
        host: str,
        port: int,
        app: App,
        threads: int,
        cfg: HttpSettings,
        counters: Counters,
        max_connections: int | None = None,
    ):
        super().__init__(
            (host, port),
            gateway=AppGateway,
            minthreads=min(threads, INITIAL_THREADS),
            maxthreads=threads,
            server_name="monsoon-node",
        )
        self.app = app
        self.counters = counters
        self.request_queue_size = LISTEN_BACKLOG
        self.timeout = cfg.idle_connection_s
        self.keep_alive_conn_limit = None
        self.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.max_request_header_size = cfg.max_header_bytes
        self.max_request_body_size = cfg.max_body_bytes
        self.held_bodies = HeldBodies(cfg.max_buffered_bytes)
        self.open_connections = OpenConnections(
            max_connections or cfg.max_connections, counters
        )

    @property
    def port(self) -> int:
        """Port that the server listens on; valid after ``prepare``."""
        return self.bind_addr[1]

    def process_conn(self, conn: CountingConnection) -> None:
        """Give a connection to a thread, or wait for its first bytes without one.

        A thread is started if all are in use.
        """
        if not conn.has_sent_data:
            conn.has_sent_data = True
            if self.open_connections.add(conn):
                self.put_conn(conn)
            else:
                conn.close()
            return
        if conn.is_input_ended and not conn.is_in_thread:
            conn.close()
            return
        conn.is_in_thread = True
        if self.ready and self.requests.qsize >= self.requests.idle:
            self.requests.grow(1)
        super().process_conn(conn)

    def put_conn(self, conn: CountingConnection) -> None:
        """Wait for the next request of a connection without a thread."""
        conn.has_request = False
        conn.is_in_thread = False
        conn.used_at = monotonic()
        super().put_conn(conn)

    def end_connections(self) -> None:
        """End each connection with its next response; any thread may call this."""
        self.keep_alive_conn_limit = 0

    def error_log(self, msg="", level=20, traceback=False):
        """Count and log an error that cheroot reports."""
        self.counters.add("http-errors")
        trace = format_exc() if traceback else ""
        log.warning("http_error", problem=str(msg), trace=trace)
