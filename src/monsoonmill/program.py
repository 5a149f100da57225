"""Helpers shared by all programs: command lines, errors and signals."""

import sys
from collections.abc import Callable
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from signal import SIGINT, SIGTERM, signal
from threading import Event

from fire import Fire
from fire.core import FireExit

from monsoonmill.errors import USER_ERROR_STATUS, UserError
from monsoonmill.process import replace_closed_streams


class ArgumentsError(UserError):
    """The command line contains an unknown flag or an unexpected argument."""


def run_program(command: Callable | dict, name: str, arguments=None) -> None:
    """Run a command line.

    A ``UserError`` is reported as one line and ends the program with status 2.
    """
    try:
        argv = sys.argv[1:] if arguments is None else arguments
        Fire(command, command=argv, name=name)
    except UserError as exc:
        _print_error(exc)
        sys.exit(USER_ERROR_STATUS)


def _print_error(exc):
    """Write an error to standard error as one line."""
    sys.stderr.write(" ".join(str(exc).split()) + "\n")


def run_service(
    load_settings: Callable, run: Callable, argv: list[str] | None = None
) -> int:
    """Parse the command line, run the program and return its exit status.

    Parameters
    ----------
    load_settings : callable
        Takes the flags as arguments and returns the settings.
    run : callable
        Takes the settings and returns the exit status.
    """
    replace_closed_streams()
    try:
        settings = _parse_settings(load_settings, argv)
        return 0 if settings is None else run(settings)
    except UserError as exc:
        _print_error(exc)
        return USER_ERROR_STATUS


def _parse_settings(load_settings, argv):
    """Return the settings, or None if the command line asks for help."""
    output = StringIO()
    results = []

    def store_settings(*args, **kwargs):
        results.append(load_settings(*args, **kwargs))

    store_settings.__wrapped__ = load_settings
    store_settings.__doc__ = load_settings.__doc__
    try:
        with redirect_stderr(output), redirect_stdout(output):
            Fire(store_settings, command=argv, name=load_settings.__name__)
    except FireExit as exc:
        if exc.code:
            raise ArgumentsError(_first_line(output.getvalue())) from exc
        sys.stdout.write(output.getvalue())
        return None
    return results[0]


def _first_line(text):
    lines = (line.strip() for line in text.splitlines())
    return next((line for line in lines if line), "invalid arguments")


def print_ready_line(port: int) -> None:
    """Print the line that tells the parent process that ``port`` is open.

    The line is written in one call, since other threads may be writing log lines.
    """
    sys.stdout.write(f"ready {port}\n")
    sys.stdout.flush()


def create_stop_event() -> Event:
    """Install handlers for SIGTERM and SIGINT; return the event that they set."""
    event = Event()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: event.set())
    return event
