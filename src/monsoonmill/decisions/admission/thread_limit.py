"""Limit on the calls in progress at one node, each of which occupies a thread.

Less important classes have a lower limit, so that they cannot exhaust the
threads that more important calls need. External and nested calls are handled
by separate sets of threads and are counted separately.
"""

from abc import ABC, abstractmethod
from collections import Counter

from monsoonmill.errors import CallRefusedError
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import HttpSettings

RETRY_AFTER_S = 1.0
RESERVE_SHARES = {
    Importance.BACKGROUND: 1.0,
    Importance.NORMAL: 1.0,
    Importance.INTERACTIVE: 0.5,
    Importance.CRITICAL: 0.0,
}
"""Share of the reserved threads that each class must leave free."""
BACKGROUND_SHARE = 0.5
"""Share of the unreserved threads that background calls may occupy."""


class ThreadLimit(ABC):
    """Decides whether one more call may be in progress."""

    @abstractmethod
    def acquire(self, importance: Importance, is_nested: bool) -> None:
        """Count a call that starts.

        Raises
        ------
        CallRefusedError
            Too many calls are in progress for this importance class.
        """

    @abstractmethod
    def release(self, importance: Importance, is_nested: bool) -> None:
        """Stop counting a call that ended."""


class UnlimitedThreads(ThreadLimit):
    """Accepts every call; a baseline for comparisons."""

    def acquire(self, importance: Importance, is_nested: bool) -> None:
        """Accept the call."""

    def release(self, importance: Importance, is_nested: bool) -> None:
        """Do nothing."""


class ReservedThreadLimit(ThreadLimit):
    """Accepts calls while enough threads remain for more important ones."""

    def __init__(self, cfg: HttpSettings):
        unreserved_threads = cfg.crew_threads - cfg.reserved_threads
        self._limits = {
            importance: max(cfg.crew_threads - int(share * cfg.reserved_threads), 1)
            for importance, share in RESERVE_SHARES.items()
        }
        self._background_limit = max(int(unreserved_threads * BACKGROUND_SHARE), 1)
        self._in_progress = {True: Counter(), False: Counter()}

    def acquire(self, importance: Importance, is_nested: bool) -> None:
        """Count a call that starts, if its class may occupy one more thread."""
        counts = self._in_progress[is_nested]
        is_full = counts.total() >= self._limits[importance]
        if importance is Importance.BACKGROUND:
            is_full = is_full or counts[importance] >= self._background_limit
        if is_full:
            raise CallRefusedError(Reason.QUEUE_FULL, retry_after_s=RETRY_AFTER_S)
        counts[importance] += 1

    def release(self, importance: Importance, is_nested: bool) -> None:
        """Stop counting a call that ended."""
        self._in_progress[is_nested][importance] -= 1
