"""Tasks that make the nested calls of the stand-in backend server."""

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from monsoonmill.clock import SystemClock
from monsoonmill.model import Address
from monsoonmill.standin.backend_messages import NestedCallRequest, NestedCallResult
from monsoonmill.standin.echo import ID_HEADER
from monsoonmill.task import Inbox, MessageTask

MIN_ERROR_STATUS = 400
NO_NODE_REASON = "no-node"
CONNECTION_LOST_REASON = "connection-lost"
DEADLINE_REASON = "deadline"


class NestedCaller(MessageTask):
    """Makes one nested call at a time over its own connection."""

    def __init__(self, name: str, inbox: Inbox, node: Address, timeout_ms: int):
        super().__init__(name)
        self.inbox = inbox
        self._clock = SystemClock()
        self._timeout_s = timeout_ms / 1000
        self._pool = HTTPConnectionPool(node.host, node.port, maxsize=1, retries=False)

    def handle(self, message: NestedCallRequest) -> None:
        """Make the call and send its result."""
        message.reply.post(self._call(message))

    def close(self) -> None:
        """Close the connection to the node."""
        self._pool.close()

    def _call(self, message):
        remaining_s = self._timeout_s
        if message.deadline is not None:
            remaining_s = min(remaining_s, message.deadline - self._clock.now())
        if remaining_s <= 0:
            return NestedCallResult(False, DEADLINE_REASON)
        try:
            return self._send(message, remaining_s)
        except (HTTPError, OSError):
            return NestedCallResult(False, CONNECTION_LOST_REASON)

    def _send(self, message, remaining_s):
        call = message.call
        headers = {
            ID_HEADER: message.id,
            "Monsoon-Timeout-Ms": str(int(remaining_s * 1000)),
        }
        if message.context:
            headers["Monsoon-Context"] = message.context
        response = self._pool.request(
            call.method,
            f"/{call.service}/{call.target.lstrip('/')}",
            headers=headers,
            timeout=Timeout(total=remaining_s),
        )
        succeeded = response.status < MIN_ERROR_STATUS
        return NestedCallResult(succeeded, response.headers.get("Monsoon-Reason", ""))


class NestedCallerPool:
    """A fixed number of nested callers that share one inbox."""

    def __init__(self, callers: list[NestedCaller], inbox: Inbox):
        self._callers = callers
        self._inbox = inbox

    @classmethod
    def from_settings(cls, settings) -> "NestedCallerPool":
        """Create the callers; none if no node or no nested call is configured."""
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
        """Ask all callers to stop."""
        for caller in self._callers:
            caller.stop()

    def post(self, message: NestedCallRequest) -> None:
        """Have the next free caller make a call; fail it if there are no callers."""
        if self._callers:
            self._inbox.post(message)
        else:
            message.reply.post(NestedCallResult(False, NO_NODE_REASON))
