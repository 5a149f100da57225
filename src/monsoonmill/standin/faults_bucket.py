"""Token bucket for bytes."""

LEAST_BURST_BYTES = 1460
"""Bytes that are sent at once at least, one segment's worth."""

BURST_S = 0.01
"""Time whose bytes may be sent at once."""


class ByteBucket:
    """Bytes that may be sent at a rate, with a small burst."""

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.burst = max(LEAST_BURST_BYTES, bytes_per_s * BURST_S)
        self._level = self.burst
        self._filled: float | None = None

    def allowance(self, wanted: int, now: float) -> int:
        """Return how many of ``wanted`` bytes may be sent now."""
        if self._filled is not None:
            passed_s = now - self._filled
            self._level = min(self.burst, self._level + passed_s * self.bytes_per_s)
        self._filled = now
        allowed = int(self._level)
        return min(wanted, allowed) if allowed >= _segment(wanted) else 0

    def spend(self, size: int) -> None:
        """Note that bytes were sent."""
        self._level -= size

    def wait_s(self, wanted: int) -> float:
        """Return how long to wait before some of ``wanted`` bytes may be sent."""
        return max(0.0, _segment(wanted) - self._level) / self.bytes_per_s


def _segment(wanted):
    return min(wanted, LEAST_BURST_BYTES)
