"""Sources of time, so that decisions can be driven by a test."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic time in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the current monotonic time in seconds."""


class SystemClock(Clock):
    """Monotonic time that goes on while the machine is suspended.

    A lease holder must notice a suspension, which ``CLOCK_MONOTONIC`` hides.
    """

    def now(self) -> float:
        """Return seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told to, for tests."""

    def __init__(self, start=1000.0):
        self._now = start

    def now(self) -> float:
        """Return the time that was last set, in seconds."""
        return self._now

    def advance(self, seconds: float) -> float:
        """Move the clock forward and return the new time."""
        self._now += seconds
        return self._now
