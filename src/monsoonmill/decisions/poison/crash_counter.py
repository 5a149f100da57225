"""Attribution of lost connections to crashes of the node's own backend server."""

SAME_CRASH_S = 0.5
"""Connections lost within this time of a crash belong to the same crash."""
RESTART_S = 2.0
"""After this time a backend server may have crashed and restarted unobserved."""


class CrashCounter:
    """Numbers the crashes that lost connections indicate.

    A backend server that breaks every connection counts as having crashed once
    per ``RESTART_S``, unless it was observed to be up or down in between.
    """

    def __init__(self):
        self._number = 0
        self._started_at = float("-inf")
        self._has_changed = True

    def record_state_change(self) -> None:
        """Record an answer or a refused connection after the last crash."""
        self._has_changed = True

    def record_lost_connection(self, now: float) -> int:
        """Return the number of the crash that caused a lost connection."""
        elapsed_s = now - self._started_at
        is_new = self._has_changed and elapsed_s > SAME_CRASH_S
        if is_new or elapsed_s > RESTART_S:
            self._number += 1
            self._started_at = now
            self._has_changed = False
        return self._number
