"""Signals of attempts, by which nodes are judged."""

from attrs import frozen

from monsoonmill.reasons import Outcome, Reason


@frozen
class AttemptStarted:
    """An attempt of a call was sent to a node."""

    node: str
    route: str


@frozen
class AttemptObserved:
    """How an attempt at a node went, for the judgement of its health.

    Attributes
    ----------
    elapsed_s : float
        Time between the attempt's start and its end.
    timed_out : bool
        Whether the call's time was up before a reply came.
    unanswered : float
        Share of all runs there, of any sender, whose answer was lost lately.
    """

    node: str
    route: str
    outcome: Outcome
    reason: Reason | None
    elapsed_s: float
    timed_out: bool
    unanswered: float = 0.0
