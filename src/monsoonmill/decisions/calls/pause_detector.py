"""Detection of pauses of the own process.

The time limit of a message starts when it is received, so a message that waited in
a socket during a pause may have been received long after its deadline.
"""

from monsoonmill.counters import Counters

MIN_PAUSE_S = 5.0
"""A process without activity for longer than this was paused."""
STALE_WINDOW_S = 1.0
"""Messages that arrived during a pause may be received until this long after it."""


class PauseDetector:
    """Detects pauses; ``record_activity`` must be called at least every second."""

    def __init__(self, counters: Counters):
        self._counters = counters
        self._active_at: float | None = None
        self._stale_until = float("-inf")

    def record_activity(self, now: float) -> None:
        """Record that the process runs at ``now``."""
        if self._active_at is not None and now - self._active_at > MIN_PAUSE_S:
            self._counters.add("pauses")
            self._stale_until = now + STALE_WINDOW_S
        self._active_at = now

    def may_be_stale(self, now: float) -> bool:
        """Return whether a message received now may have waited during a pause."""
        return now < self._stale_until
