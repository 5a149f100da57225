"""Signals of attempts, from which the health of nodes is determined."""

from monsoonmill.reasons import Outcome, Reason
from monsoonmill.value_classes import frozen


@frozen
class AttemptStarted:
    """An attempt of a call was sent to a node."""

    node: str
    route: str


@frozen
class AttemptObserved:
    """The result of an attempt at a node.

    Attributes
    ----------
    elapsed_s : float
        Time between the attempt's start and its end.
    timed_out : bool
        Whether the call's deadline passed before a reply arrived.
    unanswered : float
        Share of recent runs at the node, of any sender, whose answer was lost.
    """

    node: str
    route: str
    outcome: Outcome
    reason: Reason | None
    elapsed_s: float
    timed_out: bool
    unanswered: float = 0.0
