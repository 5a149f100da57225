"""Messages between the tasks of the load generator."""

from enum import Enum, unique

from attrs import frozen

from monsoonmill.load.plan import StreamPlan
from monsoonmill.model import Address


@unique
class Verdict(Enum):
    """Classification of an attempt, or of a call by its last attempt.

    The values are keys in the result document.
    """

    VALID = "whole"
    INVALID = "broken"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    UNFINISHED = "unfinished"


@frozen
class SendAttempt:
    """Requests that a caller sends one attempt of a call.

    Attributes
    ----------
    due : float
        Time at which the attempt should start.
    call : object
        ``LoadCall`` that the attempt belongs to.
    """

    id: str
    stream: StreamPlan
    address: Address
    due: float
    call: object


@frozen
class AttemptEnded:
    """Reports the end of an attempt.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no response was received.
    outcome, reason : str
        Headers ``Monsoon-Outcome`` and ``Monsoon-Reason`` of the response.
    start_delay_s : float
        Delay between the due time and the start of the attempt.
    ended_at : float
        Time at which the attempt ended.
    """

    call: object
    verdict: Verdict
    start_delay_s: float
    ended_at: float
    status: int = 0
    outcome: str = ""
    reason: str = ""
