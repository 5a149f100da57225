"""Signals of slots at the own backend server."""

from attrs import frozen

from monsoonmill.reasons import Importance, Reason


@frozen
class AdmitCall:
    """Asks for a slot at the backend server."""

    attempt: str
    route: str
    organisation: str
    importance: Importance
    deadline: float


@frozen
class Admitted:
    """A slot is free for an attempt."""

    attempt: str


@frozen
class NotAdmitted:
    """An attempt gets no slot."""

    attempt: str
    reason: Reason
    retry_after_s: float


@frozen
class CancelAdmission:
    """An attempt needs its slot or its place in the queue no more."""

    attempt: str


@frozen
class SlotReleased:
    """An attempt that held a slot ended.

    Attributes
    ----------
    latency_s : float
        Time at the backend server.
    shed : bool
        Whether the backend server refused it for overload.
    timed_out : bool
        Whether it was cut off before its answer.
    failed : bool
        Whether it ended in an error, so that its latency tells nothing.
    not_run : bool
        Whether the backend server said that it was full and ran nothing.
    """

    attempt: str
    latency_s: float
    shed: bool
    timed_out: bool
    failed: bool = False
    not_run: bool = False
