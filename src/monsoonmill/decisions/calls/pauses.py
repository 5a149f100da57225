"""Detection of pauses of the own process.

A message's time limit counts from its receipt, so one that waited in a socket
through a pause may be long past it.
"""

from monsoonmill.counters import Counters

STALL_S = 5.0
"""A process that did nothing for this long was paused."""
STALE_S = 1.0
"""After a pause, what came in during it may turn up for this long."""


class PauseWatch:
    """Notices pauses; ``note_awake`` must be called at least each second."""

    def __init__(self, counters: Counters):
        self._counters = counters
        self._awake_at: float | None = None
        self._stale_until = float("-inf")

    def note_awake(self, now: float) -> None:
        """Remember that the process runs at ``now``."""
        if self._awake_at is not None and now - self._awake_at > STALL_S:
            self._counters.add("pauses")
            self._stale_until = now + STALE_S
        self._awake_at = now

    def may_be_stale(self, now: float) -> bool:
        """Return whether a message of now may have waited through a pause."""
        return now < self._stale_until
