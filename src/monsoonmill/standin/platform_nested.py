"""Calls that a stand-in for a backend server on the users' platform makes itself."""

from json import JSONDecodeError, loads

from attrs import frozen
from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    TimeoutError,
)

from monsoonmill.clock import SystemClock
from monsoonmill.model import Address
from monsoonmill.task import Inbox, MessageTask

HEADER_PREFIX = "X-Monsoonmill-"
SUCCESS = 200
ANSWER_MARGIN_S = 1.0
"""Time after a call's deadline for which a caller still waits."""


@frozen
class CallPlan:
    """A call that requests on a path need.

    Attributes
    ----------
    parent_prefix : str
        Start of the paths of the requests that need it.
    share : float
        Share of these requests that make the call.
    """

    parent_prefix: str
    prefix: str
    deadline_s: float
    share: float = 1.0


@frozen
class NestedCall:
    """A call for a request in progress.

    Attributes
    ----------
    parent : str
        Name of the request in progress.
    service : str
        Service of the backend server that makes it.
    remaining_s : float
        Time left for the call.
    """

    parent: str
    service: str
    request_id: str
    host: str
    path: str
    remaining_s: float


@frozen
class NestedResult:
    """The end of a nested call.

    Attributes
    ----------
    status : int
        Status of the answer; 0 without one.
    is_own : bool
        Whether the answer, if any, belongs to the call.
    end : str
        How the call ended: ``answer``, ``unsent`` (no connection), ``timeout`` or
        ``closed``.
    sent_at, ended_at : float
        Monotonic time in seconds before the call was sent, and at its end.
    """

    call: NestedCall
    status: int
    is_own: bool = True
    end: str = "answer"
    sent_at: float = 0.0
    ended_at: float = 0.0

    @property
    def succeeded(self) -> bool:
        """Whether the call was answered with success."""
        return self.status == SUCCESS


class NestedCaller(MessageTask):
    """Makes one call at a time through the node of the backend server's machine."""

    def __init__(self, name: str, inbox: Inbox, node: Address, results: Inbox):
        super().__init__(name)
        self.inbox = inbox
        self._results = results
        self._clock = SystemClock()
        self._pool = HTTPConnectionPool(node.host, node.port, maxsize=1, retries=False)

    def handle(self, message: NestedCall) -> None:
        """Make the call and send its result."""
        sent_at = self._clock.now()
        status, is_own = 0, True
        try:
            status, is_own = self._call(message)
            end = "answer"
        except (NewConnectionError, ConnectTimeoutError):
            end = "unsent"
        except TimeoutError:
            end = "timeout"
        except (HTTPError, OSError):
            end = "closed"
        ended_at = self._clock.now()
        self._results.post(
            NestedResult(message, status, is_own, end, sent_at, ended_at)
        )

    def close(self) -> None:
        """Close the connection to the node."""
        self._pool.close()

    def _call(self, call):
        """Return the status, and whether the answer belongs to the call."""
        headers = {
            "Host": call.host,
            HEADER_PREFIX + "Attempt-Id": call.request_id,
            HEADER_PREFIX + "Request-Deadline": str(int(call.remaining_s * 1000)),
        }
        timeout = Timeout(total=call.remaining_s + ANSWER_MARGIN_S)
        resp = self._pool.urlopen("GET", call.path, headers=headers, timeout=timeout)
        if resp.status != SUCCESS:
            return resp.status, True
        try:
            return SUCCESS, loads(resp.data).get("id") == call.request_id
        except JSONDecodeError:
            return SUCCESS, False


class NestedCalls:
    """The callers of one backend server, which share an inbox.

    Attributes
    ----------
    plans : tuple of CallPlan
        Calls that requests need.
    results : Inbox
        Results of the calls, for the backend server.
    """

    def __init__(self, name: str, node: Address, host: str, plans, callers: int):
        self.plans: tuple[CallPlan, ...] = tuple(plans)
        self.host = host
        self.results = Inbox()
        self._inbox = Inbox()
        self._callers = [
            NestedCaller(f"{name}-nested-{n}", self._inbox, node, self.results)
            for n in range(callers)
        ]

    def start(self) -> None:
        """Start all callers."""
        for caller in self._callers:
            caller.start()

    def stop(self) -> None:
        """Ask all callers to stop."""
        for caller in self._callers:
            caller.stop()

    def post(self, call: NestedCall) -> None:
        """Have the next free caller make a call."""
        self._inbox.post(call)

    def take_results(self):
        """Yield the results that have arrived."""
        while (result := self.results.take(0.0)) is not None:
            yield result
