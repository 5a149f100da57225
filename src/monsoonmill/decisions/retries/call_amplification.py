"""Number of runs that one run at the own backend server causes in its call chain.

Repeating a call repeats its nested calls too. Each reply carries the factor of its
backend server, so that a node that may retry a call knows the cost of the whole
chain below it, at any depth.
"""

HALF_LIFE_RUNS = 256
"""The weight of a run halves after this many later runs."""


class CallAmplification:
    """Counts the own backend server's runs and the runs caused by nested calls."""

    def __init__(self):
        self._runs = 0.0
        self._nested = 0.0

    @property
    def factor(self) -> float:
        """Mean number of runs that one run causes, itself included."""
        return 1.0 + self._nested / max(self._runs, 1.0)

    def record_run(self) -> None:
        """Count a run at the own backend server."""
        self._runs += 1
        if self._runs >= 2 * HALF_LIFE_RUNS:
            self._runs /= 2
            self._nested /= 2

    def record_nested_call(self, runs: float) -> None:
        """Count the runs that a nested call caused, its own included."""
        self._nested += runs
