"""Structured log lines: one event a line, in JSON."""

from json import dumps

from absl import logging


class EventLog:
    """Writes events of one module.

    Keys, bodies and contexts never go into a line.
    """

    def __init__(self, module: str):
        self.module = module

    def info(self, event: str, **fields) -> None:
        """Log an event of normal operation."""
        logging.info("%s", self._line(event, fields))

    def warning(self, event: str, **fields) -> None:
        """Log an event that an operator may want to look at."""
        logging.warning("%s", self._line(event, fields))

    def traceback(self) -> None:
        """Log the traceback of the exception that is being handled."""
        logging.exception("%s", self._line("traceback", {}))

    def _line(self, event, fields):
        return dumps({"module": self.module, "event": event, **fields}, default=str)


def get_logger(module: str) -> EventLog:
    """Return the event log of a module."""
    return EventLog(module)
