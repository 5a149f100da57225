"""How many runs one run at the own backend server causes in the whole chain.

A call that is run again has its nested calls run again too. Each reply tells the
work of its backend server, so that whoever may repeat a call knows what lies
below it, at any depth.
"""

HALVE_AFTER_RUNS = 256
"""Older runs count half after so many newer ones."""


class ChainWork:
    """Counts the own backend server's runs and the work of their nested calls."""

    def __init__(self):
        self._runs = 0.0
        self._nested = 0.0

    @property
    def runs(self) -> float:
        """Runs that one run causes, itself included."""
        return 1.0 + self._nested / max(self._runs, 1.0)

    def note_run(self) -> None:
        """Count a run at the own backend server."""
        self._runs += 1
        if self._runs >= 2 * HALVE_AFTER_RUNS:
            self._runs /= 2
            self._nested /= 2

    def note_nested(self, runs: float) -> None:
        """Count a nested call, with the runs that it caused itself."""
        self._nested += runs
