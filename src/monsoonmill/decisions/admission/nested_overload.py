"""How many runs here fail because calls below them find no room.

A node tells it with each reply, so that where a chain begins it is known that
its calls fail for want of room far below, and not because a backend server on
the way is faulty.
"""

from monsoonmill.decisions.decaying_ratio import DecayingRatio
from monsoonmill.reasons import Outcome, Reason

OVERLOAD_REASONS = frozenset((Reason.SHED, Reason.QUEUE_FULL, Reason.DEADLINE))
"""Refusals of calls that fewer calls would have prevented."""
ERROR_STATUS = 500
TELLING_STRAIN = 0.05
"""Share of strained runs from which on an error is put down to them."""
MEMORY_S = 1.0
"""Runs and losses count for about this long."""
LEAST_RUNS = 5.0
"""Fewer runs than these tell nothing."""


def overload_loss_probability(
    outcome: Outcome, reason: Reason | None, status: int, strain_below: float
) -> float:
    """Return how likely a call was lost to overload, from 0 to 1.

    A call whose time was up while it ran was slow: one slow backend server among
    others is no want of room.

    Parameters
    ----------
    outcome : Outcome
        What is known of the call.
    reason : Reason or None
        Why the call was refused or failed; None if it was answered.
    status : int
        Status of the answer.
    strain_below : float
        What the node beside the answering backend server told of its runs.
    """
    if reason is not None:
        return float(outcome is Outcome.NOT_RUN and reason in OVERLOAD_REASONS)
    if status < ERROR_STATUS:
        return 0.0
    return min(strain_below / TELLING_STRAIN, 1.0)


class NestedOverload:
    """Nested calls lost to overload lately, for each run that may make some."""

    def __init__(self):
        self._lost = DecayingRatio(MEMORY_S, LEAST_RUNS)

    def record_run(self, now: float) -> None:
        """Count a run at the own backend server."""
        self._lost.record_event(now)

    def record_nested_call(self, lost: float, now: float) -> None:
        """Count the end of a nested call, by how likely it was lost."""
        self._lost.record_match(lost, now)

    def value(self, now: float) -> float:
        """Return the share of runs that lost a nested call, from 0 to 1."""
        return self._lost.value(now)
