"""Tasks that make the nested calls of the stand-in backend server."""

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.clock import SystemClock
from monsoonmill.model import Address
from monsoonmill.standin.backend_messages import NestedDone, NestedRequest
from monsoonmill.standin.echo import ID_HEADER
from monsoonmill.task import Inbox, MessageTask

FIRST_FAILED_STATUS = 400
NO_NODE_REASON = "no-node"
LOST_REASON = "connection-lost"
DEADLINE_REASON = "deadline"


class NestedCaller(MessageTask):
    """Makes one nested call at a time over a connection of its own."""

    def __init__(self, name: str, inbox: Inbox, node: Address, timeout_ms: int):
        super().__init__(name)
        self.inbox = inbox
        self._clock = SystemClock()
        self._timeout_s = timeout_ms / 1000
        self._pool = HTTPConnectionPool(node.host, node.port, maxsize=1, retries=False)

    def handle(self, message: NestedRequest) -> None:
        """Make the call and report its end."""
        message.reply.post(self._call(message))

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _call(self, message):
        left_s = self._timeout_s
        if message.deadline is not None:
            left_s = min(left_s, message.deadline - self._clock.now())
        if left_s <= 0:
            return NestedDone(False, DEADLINE_REASON)
        try:
            return self._send(message, left_s)
        except (HTTPError, OSError):
            return NestedDone(False, LOST_REASON)

    def _send(self, message, left_s):
        call = message.call
        headers = {ID_HEADER: message.id, "Monsoon-Timeout-Ms": str(int(left_s * 1000))}
        if message.context:
            headers["Monsoon-Context"] = message.context
        response = self._pool.request(
            call.method,
            f"/{call.service}/{call.target.lstrip('/')}",
            headers=headers,
            timeout=Timeout(total=left_s),
        )
        succeeded = response.status < FIRST_FAILED_STATUS
        return NestedDone(succeeded, response.headers.get("Monsoon-Reason", ""))


class NestedCrew:
    """A fixed number of nested callers that share an inbox."""

    def __init__(self, callers: list[NestedCaller], inbox: Inbox):
        self._callers = callers
        self._inbox = inbox

    @classmethod
    def from_settings(cls, settings) -> "NestedCrew":
        """Build the callers, none if there is nothing to call."""
        inbox = Inbox()
        nested, node = settings.nested, settings.backend.node
        count = nested.callers if nested.calls and node else 0
        callers = [
            NestedCaller(f"nested-{number}", inbox, node, nested.timeout_ms)
            for number in range(count)
        ]
        return cls(callers, inbox)

    def start(self) -> None:
        """Start all callers."""
        for caller in self._callers:
            caller.start()

    def stop(self) -> None:
        """Ask all callers to end."""
        for caller in self._callers:
            caller.stop()

    def post(self, message: NestedRequest) -> None:
        """Have a free caller make a call."""
        if self._callers:
            self._inbox.post(message)
        else:
            message.reply.post(NestedDone(False, NO_NODE_REASON))
