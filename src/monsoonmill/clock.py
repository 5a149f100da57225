"""Clocks, so that tests can control the time that decisions see."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic time in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the current monotonic time in seconds."""

    @abstractmethod
    def unix_ms(self) -> int:
        """Return the time of day in Unix milliseconds, which may be set back."""


class SystemClock(Clock):
    """Monotonic clock that also advances while the machine is suspended.

    The holder of a lease must notice a suspension, during which
    ``CLOCK_MONOTONIC`` stops.
    """

    def now(self) -> float:
        """Return the seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return the system's time of day in Unix milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """Clock for tests that only ``advance`` moves."""

    def __init__(self, start=1000.0):
        self._now = start

    def now(self) -> float:
        """Return the current time of the clock in seconds."""
        return self._now

    def unix_ms(self) -> int:
        """Return the current time of the clock as Unix milliseconds."""
        return int(self._now * 1000)

    def advance(self, seconds: float) -> float:
        """Advance the clock and return the new time."""
        self._now += seconds
        return self._now
