"""Share of runs at this node that lose a nested call to overload further down.

A node reports this share with each reply. The node where a chain of calls starts
can then tell calls that fail because of overload far below from calls that fail
because a backend server within the chain is faulty.
"""

from monsoonmill.decisions.decaying_ratio import DecayingRatio
from monsoonmill.reasons import Outcome, Reason

OVERLOAD_REASONS = frozenset((Reason.SHED, Reason.QUEUE_FULL, Reason.DEADLINE))
"""Reasons of refusals that a lower rate of calls would have prevented."""
ERROR_STATUS = 500
CONCLUSIVE_SHARE = 0.05
"""Share of runs with lost nested calls from which an error is attributed to them."""
MEMORY_S = 1.0
"""Time constant of the share; older runs and losses hardly count."""
MIN_RUNS = 5.0
"""Fewer runs than this give no meaningful share."""


def overload_loss_probability(
    outcome: Outcome, reason: Reason | None, status: int, downstream_share: float
) -> float:
    """Return the probability that a call was lost to overload, from 0 to 1.

    A call that timed out while it ran does not count: one slow backend server
    among several does not indicate missing capacity.

    Parameters
    ----------
    outcome : Outcome
        What is known of the call's execution.
    reason : Reason or None
        Why the call was refused or failed; None if it was answered.
    status : int
        HTTP status of the answer.
    downstream_share : float
        Share of runs with lost nested calls that the answering backend server's
        node reported.
    """
    if reason is not None:
        return float(outcome is Outcome.NOT_RUN and reason in OVERLOAD_REASONS)
    if status < ERROR_STATUS:
        return 0.0
    return min(downstream_share / CONCLUSIVE_SHARE, 1.0)


class NestedOverload:
    """Nested calls recently lost to overload, per run that may make such calls."""

    def __init__(self):
        self._lost = DecayingRatio(MEMORY_S, MIN_RUNS)

    def record_run(self, now: float) -> None:
        """Count a run at the node's own backend server."""
        self._lost.record_event(now)

    def record_nested_call(self, lost: float, now: float) -> None:
        """Count a nested call that ended, weighted by its probability of loss."""
        self._lost.record_match(lost, now)

    def value(self, now: float) -> float:
        """Return the share of runs that lost a nested call, from 0 to 1."""
        return self._lost.value(now)
