"""Client interface of the node's task, used by the front ends."""

from itertools import count

from monsoonmill.decisions.calls.signals import Answer, CallArrived, CallerDisconnected
from monsoonmill.decisions.configuration.signals import NoteSubmitted
from monsoonmill.decisions.lifecycle.signals import ExplainRequested, StatusRequested
from monsoonmill.decisions.request_query import RequestQuery
from monsoonmill.errors import MonsoonError
from monsoonmill.node.task import NodeTask, ShuttingDown, TaskRequest
from monsoonmill.notes import ReleaseNote
from monsoonmill.task import Inbox

STATUS_TIMEOUT_S = 5.0
NOTE_TIMEOUT_S = 30.0


class NoAnswerError(MonsoonError):
    """The node's task did not answer in time, or is shutting down."""


class NodeTaskClient:
    """Sends signals to the node's task and waits for its answers; thread-safe.

    It is independent of HTTP, so that front ends of other protocols can use it.
    """

    def __init__(self, task: NodeTask):
        self._task = task
        self._numbers = count(1)

    def next_name(self) -> str:
        """Return a new unique name for a call or request."""
        return str(next(self._numbers))

    def start_call(self, arrival: CallArrived) -> Inbox:
        """Submit a call; its ``Answer`` is posted to the returned inbox."""
        reply = Inbox()
        self._task.post(TaskRequest(arrival.call, arrival, reply))
        return reply

    def abandon_call(self, call: str) -> None:
        """Report that the caller of a call has disconnected."""
        self._task.post(CallerDisconnected(call))

    def call(self, arrival: CallArrived, timeout_s: float) -> Answer:
        """Submit a call and wait for its answer.

        Raises
        ------
        NoAnswerError
            The call was not answered in time.
        """
        answer = self.start_call(arrival).take(timeout_s)
        if answer is None or isinstance(answer, ShuttingDown):
            raise NoAnswerError(f"call {arrival.call}")
        return answer

    def status(self, topic: str) -> dict:
        """Return a part of the node's state as plain data."""
        name = f"status-{self.next_name()}"
        return self._request(
            name, StatusRequested(name, topic), STATUS_TIMEOUT_S
        ).report

    def explain(self, query: RequestQuery) -> dict:
        """Return where a request would go now, as plain data."""
        name = f"explain-{self.next_name()}"
        return self._request(
            name, ExplainRequested(name, query), STATUS_TIMEOUT_S
        ).report

    def submit_note(self, note: ReleaseNote) -> object:
        """Submit a release note; return ``NoteAccepted`` or ``NoteRefused``."""
        name = f"note-{self.next_name()}"
        return self._request(name, NoteSubmitted(name, note), NOTE_TIMEOUT_S)

    def post(self, signal: object) -> None:
        """Send a signal that has no answer."""
        self._task.post(signal)

    def _request(self, name, signal, timeout_s):
        reply = Inbox()
        self._task.post(TaskRequest(name, signal, reply))
        answer = reply.take(timeout_s)
        if answer is None or isinstance(answer, ShuttingDown):
            raise NoAnswerError(name)
        return answer
