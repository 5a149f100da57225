"""Bound on the calls in progress at one node, each of which holds a thread.

Less important classes reach their bound first, so that they can't use up the
threads that more important calls need. Calls from outside and nested ones
have threads of their own and are counted apart.
"""

from abc import ABC, abstractmethod
from collections import Counter

from monsoonmill.errors import RefusedError
from monsoonmill.reasons import Importance, Reason
from monsoonmill.settings import HttpSettings

RETRY_AFTER_S = 1.0
RESERVE_PARTS = {
    Importance.BACKGROUND: 1.0,
    Importance.NORMAL: 1.0,
    Importance.INTERACTIVE: 0.5,
    Importance.CRITICAL: 0.0,
}
"""Part of the reserved threads that each class must leave free."""
BACKGROUND_SHARE = 0.5
"""Part of the threads outside the reserve that background calls may hold."""


class ThreadLimit(ABC):
    """Decides whether one more call may be in progress."""

    @abstractmethod
    def acquire(self, importance: Importance, is_nested: bool) -> None:
        """Count a call in.

        Raises
        ------
        RefusedError
            Too many calls of this importance are in progress.
        """

    @abstractmethod
    def release(self, importance: Importance, is_nested: bool) -> None:
        """Count a call out."""


class UnlimitedThreads(ThreadLimit):
    """Lets every call in; the baseline to compare with."""

    def acquire(self, importance: Importance, is_nested: bool) -> None:
        """Let the call in."""

    def release(self, importance: Importance, is_nested: bool) -> None:
        """Count nothing."""


class ReservedThreadLimit(ThreadLimit):
    """Lets calls in while threads are left for the more important ones."""

    def __init__(self, cfg: HttpSettings):
        open_threads = cfg.crew_threads - cfg.reserved_threads
        self._bounds = {
            one: max(cfg.crew_threads - int(part * cfg.reserved_threads), 1)
            for one, part in RESERVE_PARTS.items()
        }
        self._background_bound = max(int(open_threads * BACKGROUND_SHARE), 1)
        self._in_progress = {True: Counter(), False: Counter()}

    def acquire(self, importance: Importance, is_nested: bool) -> None:
        """Count a call in, if its class may hold one more thread."""
        counts = self._in_progress[is_nested]
        is_full = counts.total() >= self._bounds[importance]
        if importance is Importance.BACKGROUND:
            is_full = is_full or counts[importance] >= self._background_bound
        if is_full:
            raise RefusedError(Reason.QUEUE_FULL, retry_after_s=RETRY_AFTER_S)
        counts[importance] += 1

    def release(self, importance: Importance, is_nested: bool) -> None:
        """Count a call out."""
        self._in_progress[is_nested][importance] -= 1
