"""Messages between the tasks of the load generator."""

from enum import Enum, unique

from attrs import frozen

from monsoonmill.load.plan import StreamPlan
from monsoonmill.model import Address


@unique
class Verdict(Enum):
    """What a caller makes of one attempt or of a whole call."""

    WHOLE = "whole"
    BROKEN = "broken"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    UNFINISHED = "unfinished"


@frozen
class SendCall:
    """Asks a caller to send one attempt of a call.

    Attributes
    ----------
    due : float
        Time at which it should start.
    run : object
        The call that the answer belongs to.
    """

    id: str
    stream: StreamPlan
    address: Address
    due: float
    run: object


@frozen
class AttemptEnded:
    """Tells how an attempt ended.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no answer came.
    outcome, reason : str
        The answer's ``Monsoon-Outcome`` and ``Monsoon-Reason``.
    late_s : float
        How much later than due the attempt started.
    """

    run: object
    verdict: Verdict
    late_s: float
    ended: float
    status: int = 0
    outcome: str = ""
    reason: str = ""
