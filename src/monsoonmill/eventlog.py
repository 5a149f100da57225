"""Structured logging: one JSON object per line, rate-limited and non-blocking."""

from json import dumps
from os import set_blocking, write
from time import monotonic

from absl import logging

LINES_PER_S = 40.0
"""Default sustained rate of log lines per process; see ``node.log_lines_per_s``."""
BURST_LINES = 400.0
"""Lines that may be written at once after a period without any."""
STDOUT = 1


class LogRateLimiter:
    """Token bucket for log lines that counts the dropped lines."""

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._rate = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = monotonic()
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether another line may be written."""
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class RequestLog:
    """Writes one line for each decision on a request to standard output.

    A line that cannot be written without blocking is dropped and counted, so
    that logging never delays a node.
    """

    def __init__(self, limiter: LogRateLimiter | None = None):
        self._limiter = limiter or LogRateLimiter()
        self._is_open = True

    def set_rate_limit(self, lines_per_s: float) -> None:
        """Limit the lines per second; 0 disables the log."""
        self._limiter = LogRateLimiter(lines_per_s, lines_per_s * 10)

    def set_nonblocking(self) -> None:
        """Make writes to standard output fail instead of block."""
        set_blocking(STDOUT, False)

    def write(self, event: str, **fields) -> None:
        """Write an event, unless the rate limit is exceeded."""
        now = monotonic()
        if not self._limiter.try_acquire(now):
            return
        dropped, self._limiter.dropped = self._limiter.dropped, 0
        if dropped:
            fields["lines_dropped"] = dropped
        line = dumps({"event": event, "at": round(now, 4), **fields}, default=str)
        try:
            write(STDOUT, f"{line}\n".encode())
        except BlockingIOError:
            self._limiter.dropped += dropped + 1
        except OSError:
            # The reader of the log is gone; the node continues without it.
            self._limiter.dropped += dropped + 1


request_log = RequestLog()
"""The request log of the process."""


class EventLog:
    """Logs the events of one module.

    API keys, bodies and call contexts must not be logged.
    """

    def __init__(self, module: str):
        self.module = module

    def info(self, event: str, **fields) -> None:
        """Log an event of normal operation."""
        logging.info("%s", self._format("info", event, fields))

    def warning(self, event: str, **fields) -> None:
        """Log an event that may need an operator's attention."""
        logging.warning("%s", self._format("warning", event, fields))

    def traceback(self) -> None:
        """Log the traceback of the exception being handled."""
        logging.exception("%s", self._format("error", "traceback", {}))

    def _format(self, level, event, fields):
        line = {
            "event": event,
            "at": round(monotonic(), 4),
            "level": level,
            "module": self.module,
            **fields,
        }
        return dumps(line, default=str)


def get_logger(module: str) -> EventLog:
    """Return the event log of a module."""
    return EventLog(module)
