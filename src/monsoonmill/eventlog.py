"""Structured log lines: one event a line, in JSON, bounded and never blocking."""

from json import dumps
from os import set_blocking, write
from time import monotonic

from absl import logging

LINES_PER_S = 40.0
"""Lines a second of one process in the long run; setting ``node.log_lines``."""
BURST_LINES = 400.0
"""Lines that may come at once after a quiet time."""
STDOUT = 1


class LogRateLimiter:
    """Bounds the lines of a process; what is left out is counted."""

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._rate = lines_per_s
        self._burst = burst
        self._left = burst
        self._filled_at = monotonic()
        self.dropped = 0

    def try_acquire(self, now: float) -> bool:
        """Return whether one more line may be written."""
        earned = (now - self._filled_at) * self._rate
        self._left = min(self._burst, self._left + earned)
        self._filled_at = now
        if self._left < 1:
            self.dropped += 1
            return False
        self._left -= 1
        return True


class RequestLog:
    """Writes one line for each decision on a request, to standard output.

    A line that standard output does not take at once is dropped and counted:
    a node never waits for its log.
    """

    def __init__(self, budget: LogRateLimiter | None = None):
        self._budget = budget or LogRateLimiter()
        self._is_open = True

    def set_rate_limit(self, lines_per_s: float) -> None:
        """Bound the lines a second; 0 writes none."""
        self._budget = LogRateLimiter(lines_per_s, lines_per_s * 10)

    def set_nonblocking(self) -> None:
        """Make standard output refuse rather than wait."""
        set_blocking(STDOUT, False)

    def write(self, event: str, **fields) -> None:
        """Write an event, if the budget has room."""
        now = monotonic()
        if not self._budget.try_acquire(now):
            return
        dropped, self._budget.dropped = self._budget.dropped, 0
        if dropped:
            fields["lines_dropped"] = dropped
        line = dumps({"event": event, "at": round(now, 4), **fields}, default=str)
        try:
            write(STDOUT, f"{line}\n".encode())
        except BlockingIOError:
            self._budget.dropped += dropped + 1
        except OSError:
            # Nobody reads the log any more; what a node does goes on.
            self._budget.dropped += dropped + 1


request_log = RequestLog()
"""The process's log of requests."""


class EventLog:
    """Writes events of one module.

    Keys, bodies and contexts never go into a line.
    """

    def __init__(self, module: str):
        self.module = module

    def info(self, event: str, **fields) -> None:
        """Log an event of normal operation."""
        logging.info("%s", self._line("info", event, fields))

    def warning(self, event: str, **fields) -> None:
        """Log an event that an operator may want to look at."""
        logging.warning("%s", self._line("warning", event, fields))

    def traceback(self) -> None:
        """Log the traceback of the exception that is being handled."""
        logging.exception("%s", self._line("error", "traceback", {}))

    def _line(self, level, event, fields):
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
