"""Token bucket that limits a byte rate."""

MIN_SEND_BYTES = 1460
"""Payload of one TCP segment.

The burst is at least this large, and fewer bytes are sent at once only if no more
are pending.
"""

BURST_S = 0.01
"""The burst holds the bytes that the rate yields in this time."""


class ByteBucket:
    """Token bucket for bytes with a small burst."""

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.burst = max(MIN_SEND_BYTES, bytes_per_s * BURST_S)
        self._tokens = self.burst
        self._refilled_at: float | None = None

    def allowance(self, wanted: int, now: float) -> int:
        """Refill and return how many of ``wanted`` bytes may be sent now."""
        if self._refilled_at is not None:
            elapsed_s = now - self._refilled_at
            self._tokens = min(self.burst, self._tokens + elapsed_s * self.bytes_per_s)
        self._refilled_at = now
        allowed = int(self._tokens)
        return min(wanted, allowed) if allowed >= _min_send(wanted) else 0

    def spend(self, size: int) -> None:
        """Take the tokens of bytes that were sent."""
        self._tokens -= size

    def wait_s(self, wanted: int) -> float:
        """Return the time in seconds until some of ``wanted`` bytes may be sent."""
        return max(0.0, _min_send(wanted) - self._tokens) / self.bytes_per_s


def _min_send(wanted):
    return min(wanted, MIN_SEND_BYTES)
