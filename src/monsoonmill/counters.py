"""Counters and latency histograms of a process."""

from collections import Counter
from enum import Enum

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2


class Counters:
    """Event counters by name; not thread-safe, so each task has its own."""

    def __init__(self):
        self._counts = Counter()

    def add(self, name: Enum | str, amount: int = 1) -> None:
        """Increment a counter."""
        self._counts[name if type(name) is str else name.value] += amount

    def value(self, name: Enum | str) -> int:
        """Return the value of a counter."""
        return self._counts[name.value if isinstance(name, Enum) else name]

    def snapshot(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        return dict(sorted(self._counts.items()))


class LatencyHistogram:
    """HDR histogram of latencies from 1 us to 1 h, with two significant digits."""

    def __init__(self):
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record(self, seconds: float) -> None:
        """Record a latency in seconds; values out of range are clamped."""
        value = min(max(int(seconds * 1e6), MIN_LATENCY_US), MAX_LATENCY_US)
        self._histogram.record_value(value)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000

    @property
    def total_s(self) -> float:
        """Sum of the recorded latencies in seconds."""
        return (
            self._histogram.get_mean_value() * self.count / 1e6 if self.count else 0.0
        )

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return self._histogram.get_total_count()

    def encode(self) -> bytes:
        """Return the histogram in the HDR histogram wire format."""
        return self._histogram.encode()
