"""Tells the crashes of the own backend server apart."""

SAME_CRASH_S = 0.5
"""Connections lost within this time belong to one crash."""
RESTART_S = 2.0
"""After this time a backend server may have crashed and restarted unseen."""


class CrashCounter:
    """Numbers the crashes that broken connections tell of.

    A backend server that breaks each connection counts as one crash for
    ``RESTART_S``, unless it has been seen up or down in between.
    """

    def __init__(self):
        self._number = 0
        self._began = float("-inf")
        self._has_changed = True

    def record_state_change(self) -> None:
        """Note an answer or a refused connection since the last crash."""
        self._has_changed = True

    def record_lost_connection(self, now: float) -> int:
        """Return the number of the crash that broke a connection."""
        since_s = now - self._began
        is_new = self._has_changed and since_s > SAME_CRASH_S
        if is_new or since_s > RESTART_S:
            self._number += 1
            self._began = now
            self._has_changed = False
        return self._number
