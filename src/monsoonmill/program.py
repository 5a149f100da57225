"""What all programs share: arguments, logs and the manner of failing."""

import sys
from collections.abc import Callable
from signal import SIGINT, SIGTERM, signal
from threading import Event

from absl import flags, logging
from fire import Fire

from monsoonmill.errors import UserError

USER_ERROR_STATUS = 2
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def run_program(command: Callable | dict, name: str, arguments=None) -> None:
    """Run a command line; a ``UserError`` becomes one line and status 2."""
    try:
        given = sys.argv[1:] if arguments is None else arguments
        Fire(command, command=given, name=name)
    except UserError as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        sys.exit(USER_ERROR_STATUS)


def set_up_logs(level: str) -> None:
    """Write logs of a level and above to standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(LEVELS[level])
    logging.set_stderrthreshold(LEVELS[level])


def stop_event() -> Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = Event()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: event.set())
    return event
