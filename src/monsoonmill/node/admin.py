"""Administration API of a node."""

from tomllib import TOMLDecodeError, loads
from urllib.parse import parse_qsl

from cheroot.server import HTTPRequest

from monsoonmill.codec import ConfigCodec
from monsoonmill.decisions.configuration.configuration import ConfigView
from monsoonmill.decisions.configuration.signals import NoteAccepted
from monsoonmill.decisions.lifecycle.signals import DrainRequested
from monsoonmill.decisions.request_query import QueryError, RequestQuery
from monsoonmill.errors import NoteError, PlatformError, StaleNoteError
from monsoonmill.node.task_client import NoAnswerError, NodeTaskClient
from monsoonmill.node.web import App, Problem, WebRequest, WebResponse
from monsoonmill.notes import parse_note

TOPICS = {"/status": "status", "/members": "members", "/counters": "counters"}


class AdminApp(App):
    """Answers requests of operators: status, metrics, release notes and drain."""

    def __init__(
        self, task_client: NodeTaskClient, view: ConfigView, codec: ConfigCodec
    ):
        self._task_client = task_client
        self._view = view
        self._codec = codec

    def respond(self, req: WebRequest, raw_req: HTTPRequest) -> WebResponse | None:
        """Answer one request."""
        try:
            return self._route(req)
        except NoAnswerError as exc:
            return Problem(503, "no-answer", str(exc)).response()

    def _route(self, req):
        path, _, query = req.uri.partition("?")
        if req.method == "GET" and path in TOPICS:
            return WebResponse.from_json(200, self._task_client.status(TOPICS[path]))
        if req.method == "GET" and path == "/explain":
            return self._explain(query)
        if req.method == "GET" and path == "/config":
            return self._config()
        if req.method == "GET" and path == "/metrics":
            return self._metrics()
        if req.method == "POST" and path == "/notes":
            return self._submit_note(req.body)
        if req.method == "POST" and path == "/drain":
            self._task_client.post(DrainRequested())
            return WebResponse.from_json(202, {"state": "draining"})
        return Problem(404, "not-found", f"{req.method} {path}").response()

    def _config(self):
        # The configuration is immutable and replaced as a whole, so that reading it
        # from this thread is safe.
        body = self._codec.encode(self._view.config)
        return WebResponse(200, (("Content-Type", "application/json"),), body)

    def _explain(self, encoded):
        fields = dict(parse_qsl(encoded, keep_blank_values=True))
        try:
            query = RequestQuery.from_fields(fields, self._view.config)
        except QueryError as exc:
            return Problem(400, "bad-query", str(exc)).response()
        return WebResponse.from_json(200, self._task_client.explain(query))

    def _metrics(self):
        counters = self._task_client.status("counters")
        lines = (
            f'monsoon_events_total{{name="{name}"}} {value}\n'
            for name, value in counters.items()
        )
        return WebResponse(
            200,
            (("Content-Type", "text/plain; version=0.0.4"),),
            "".join(lines).encode(),
        )

    def _submit_note(self, body):
        try:
            note = parse_note(loads(body.decode()))
        except (TOMLDecodeError, UnicodeDecodeError) as exc:
            return Problem(400, "bad-note", f"invalid TOML: {exc}").response()
        except NoteError as exc:
            return Problem(400, "bad-note", str(exc)).response()
        answer = self._task_client.submit_note(note)
        if isinstance(answer, NoteAccepted):
            return WebResponse.from_json(200, {"revision": answer.revision})
        return _render_note_error(answer.error)


def _render_note_error(error):
    if isinstance(error, StaleNoteError):
        extensions = {
            "base": error.base,
            "current": error.current,
            "conflicts": list(error.conflicts),
        }
        return Problem(409, "stale-note", str(error), extensions).response()
    if isinstance(error, PlatformError):
        return Problem(503, "platform-unavailable", str(error)).response()
    return Problem(400, "bad-note", str(error)).response()
