"""The key-value stand-in's HTTP server and tasks."""

from collections.abc import Callable
from errno import ECONNRESET
from json import loads

from cheroot.wsgi import Server

from monsoonmill.errors import PlatformError, SettingsError
from monsoonmill.standin.store_calls import (
    CallArrived,
    CountsRequested,
    Dropped,
    Failed,
    ModeRequested,
    ShutdownRequested,
)
from monsoonmill.standin.store_settings import ServerSettings, StoreServerSettings
from monsoonmill.standin.store_task import StoreTask
from monsoonmill.standin.store_web import (
    STATUS_LINES,
    WebRequest,
    encode_answer,
    parse_call,
)
from monsoonmill.store.errors import BadCallError
from monsoonmill.store.wire import CALLS_PATH, CONTROL_PATH
from monsoonmill.task import Inbox, Task

ACCEPT_QUEUE_LENGTH = 256
"""Connections that the kernel queues until the server accepts them."""

MAX_IDLE_CONNECTIONS = 1024
"""Number of idle connections that the server keeps open."""

IDLE_TIMEOUT_S = 60
SHUTDOWN_TIMEOUT_S = 1


class StoreApplication:
    """WSGI application that passes requests to the store's task and waits for replies.

    Parameters
    ----------
    post : callable
        Sends a message to the store's task.
    """

    def __init__(self, post: Callable[[object], None], max_wait_ms: int):
        self._post = post
        self._max_wait_ms = max_wait_ms

    def __call__(self, environ, start_response):
        """Answer one request."""
        response = self._respond(WebRequest.from_environ(environ))
        start_response(STATUS_LINES[response.status], response.headers())
        return [response.body]

    def _respond(self, req):
        inbox = Inbox()
        try:
            message = self._message(req, inbox.post)
        except PlatformError as exc:
            return encode_answer(Failed(exc), False)
        self._post(message)
        answer = inbox.take()
        if isinstance(answer, Dropped):
            # The HTTP server closes the connection when a request raises this error.
            raise ConnectionResetError(ECONNRESET, "connection dropped")
        return encode_answer(answer, req.method != "GET")

    def _message(self, req, reply):
        if req.path == CALLS_PATH and req.method == "GET":
            return CountsRequested(reply)
        if req.path == CONTROL_PATH and req.method == "POST":
            return ModeRequested(_parse_mode(req.body), reply)
        return CallArrived(parse_call(req, self._max_wait_ms), reply)


def _parse_mode(body):
    try:
        faults = loads(body)
        return StoreServerSettings.from_dict({"faults": faults}, "control").faults
    except (ValueError, SettingsError) as exc:
        raise BadCallError(str(exc)) from exc


class HttpTask(Task):
    """Owns the listening socket and the threads of the HTTP server."""

    def __init__(self, server: Server):
        super().__init__("platform-http")
        self._server = server

    @classmethod
    def from_settings(
        cls, settings: ServerSettings, post: Callable[[object], None]
    ) -> "HttpTask":
        """Create the server and listen on the address in the settings.

        Raises
        ------
        SettingsError
            The server can't listen on the address.
        """
        server = Server(
            (settings.host, settings.port),
            StoreApplication(post, settings.max_wait_ms),
            numthreads=settings.threads + settings.max_watches,
            request_queue_size=ACCEPT_QUEUE_LENGTH,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        try:
            server.prepare()
        except OSError as exc:
            address = f"{settings.host}:{settings.port}"
            raise SettingsError(address, "server.port", str(exc)) from exc
        return cls(server)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.bind_addr[1]

    def run(self) -> None:
        """Serve until the task is stopped."""
        self._server.serve()

    def stop(self) -> None:
        """Close the listening socket and stop the server's threads."""
        self._server.stop()


class StoreServer:
    """Stand-in for the platform's key-value service: store task and HTTP server."""

    def __init__(self, store_task: StoreTask, http_task: HttpTask):
        self._store_task = store_task
        self._http_task = http_task

    @classmethod
    def from_settings(cls, settings: StoreServerSettings) -> "StoreServer":
        """Create a stand-in that listens on its port.

        Raises
        ------
        SettingsError
            The server can't listen on the address.
        """
        store_task = StoreTask.from_settings(settings)
        return cls(store_task, HttpTask.from_settings(settings.server, store_task.post))

    @property
    def port(self) -> int:
        """Port that the stand-in listens on."""
        return self._http_task.port

    def start(self) -> "StoreServer":
        """Start both tasks."""
        self._store_task.start()
        self._http_task.start()
        return self

    def stop(self) -> None:
        """Drop the calls in progress, then stop both tasks."""
        self._store_task.post(ShutdownRequested())
        self._http_task.stop()
        self._http_task.join()
        self._store_task.stop()
        self._store_task.join()
