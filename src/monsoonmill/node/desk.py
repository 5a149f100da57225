"""How the front ends ask the node's task, and wait for its answers."""

from itertools import count

from monsoonmill.decisions.calls.signals import Answer, CallArrived, CallerDisconnected
from monsoonmill.decisions.configuration.signals import NoteSubmitted
from monsoonmill.decisions.lifecycle.signals import StatusRequested
from monsoonmill.errors import MonsoonError
from monsoonmill.node.task import Ask, Ended, NodeTask
from monsoonmill.notes import ReleaseNote
from monsoonmill.task import Inbox

STATUS_TIMEOUT_S = 5.0
NOTE_TIMEOUT_S = 30.0


class NoAnswerError(MonsoonError):
    """The node's task gave no answer in time, or ends."""


class NodeDesk:
    """Front door of the node's task; any thread may use it.

    It knows nothing of HTTP, so that another front end can stand here.
    """

    def __init__(self, task: NodeTask):
        self._task = task
        self._numbers = count(1)

    def next_name(self) -> str:
        """Return a new name for a call or request."""
        return str(next(self._numbers))

    def start_call(self, arrival: CallArrived) -> Inbox:
        """Hand a call in; its ``Answer`` will come to the returned inbox."""
        reply = Inbox()
        self._task.post(Ask(arrival.call, arrival, reply))
        return reply

    def abandon_call(self, call: str) -> None:
        """Tell that a call's caller has left."""
        self._task.post(CallerDisconnected(call))

    def call(self, arrival: CallArrived, timeout_s: float) -> Answer:
        """Hand a call in and wait for its answer.

        Raises
        ------
        NoAnswerError
            No answer came in time.
        """
        answer = self.start_call(arrival).take(timeout_s)
        if answer is None or isinstance(answer, Ended):
            raise NoAnswerError(f"call {arrival.call}")
        return answer

    def status(self, topic: str) -> dict:
        """Return a part of the node's state as plain data."""
        name = f"status-{self.next_name()}"
        return self._ask(name, StatusRequested(name, topic), STATUS_TIMEOUT_S).report

    def submit_note(self, note: ReleaseNote) -> object:
        """Hand a release note in; return ``NoteAccepted`` or ``NoteRefused``."""
        name = f"note-{self.next_name()}"
        return self._ask(name, NoteSubmitted(name, note), NOTE_TIMEOUT_S)

    def post(self, signal: object) -> None:
        """Hand in a signal that has no answer."""
        self._task.post(signal)

    def _ask(self, name, signal, timeout_s):
        reply = Inbox()
        self._task.post(Ask(name, signal, reply))
        answer = reply.take(timeout_s)
        if answer is None or isinstance(answer, Ended):
            raise NoAnswerError(name)
        return answer
