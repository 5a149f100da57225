"""Signals about slots at the node's own backend server."""

from monsoonmill.reasons import Importance, Reason
from monsoonmill.value_classes import frozen


@frozen
class AdmitCall:
    """Requests a slot at the backend server for an attempt.

    Attributes
    ----------
    rank : int
        Rank within the importance; 0 where chains have no ranks.
    """

    attempt: str
    route: str
    organisation: str
    importance: Importance
    deadline: float
    rank: int = 0


@frozen
class Admitted:
    """An attempt was assigned a slot."""

    attempt: str


@frozen
class NotAdmitted:
    """An attempt was refused a slot."""

    attempt: str
    reason: Reason
    retry_after_s: float


@frozen
class CancelAdmission:
    """An attempt no longer needs its slot or its place in the queue."""

    attempt: str


@frozen
class SlotReleased:
    """An attempt that held a slot has ended.

    Attributes
    ----------
    latency_s : float
        Time that the attempt spent at the backend server.
    shed : bool
        Whether the backend server refused it because of overload.
    timed_out : bool
        Whether it was cut off before its answer arrived.
    failed : bool
        Whether it ended in an error, which makes its latency meaningless.
    not_run : bool
        Whether the backend server reported that it ran nothing, since it was full or
        the request was meant for another one.
    misdirected : bool
        Whether the backend server rejected it as meant for another server.
    not_sent : bool
        Whether the backend server could not be reached.
    lost : bool
        Whether it was sent, and there was no response or an invalid one.
    """

    attempt: str
    latency_s: float
    shed: bool
    timed_out: bool
    failed: bool = False
    not_run: bool = False
    misdirected: bool = False
    not_sent: bool = False
    lost: bool = False
