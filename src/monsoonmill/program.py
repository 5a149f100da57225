"""What all programs share: arguments, logs and the manner of failing."""

import sys
from collections.abc import Callable
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from signal import SIGINT, SIGTERM, signal
from threading import Event

from fire import Fire
from fire.core import FireExit

from monsoonmill.errors import USER_ERROR_STATUS, UserError


class ArgumentsError(UserError):
    """The command line holds an unknown flag or a stray argument."""


def run_program(command: Callable | dict, name: str, arguments=None) -> None:
    """Run a command line; a ``UserError`` becomes one line and status 2."""
    try:
        given = sys.argv[1:] if arguments is None else arguments
        Fire(command, command=given, name=name)
    except UserError as exc:
        _show(exc)
        sys.exit(USER_ERROR_STATUS)


def _show(exc):
    """Write an error as one line."""
    sys.stderr.write(" ".join(str(exc).split()) + "\n")


def run_service(collect: Callable, run: Callable, argv: list[str] | None = None) -> int:
    """Parse the command line, run the program and return its exit status.

    Parameters
    ----------
    collect : callable
        Takes the flags and returns the settings.
    run : callable
        Takes the settings and returns the exit status.
    """
    try:
        settings = _parse(collect, argv)
        return 0 if settings is None else run(settings)
    except UserError as exc:
        _show(exc)
        return USER_ERROR_STATUS


def _parse(collect, argv):
    """Return what ``collect`` built; None after help was shown."""
    shown = StringIO()
    collected = []

    def collect_once(*args, **kwargs):
        collected.append(collect(*args, **kwargs))

    collect_once.__wrapped__ = collect
    collect_once.__doc__ = collect.__doc__
    try:
        with redirect_stderr(shown), redirect_stdout(shown):
            Fire(collect_once, command=argv, name=collect.__name__)
    except FireExit as exc:
        if exc.code:
            raise ArgumentsError(_first_line(shown.getvalue())) from exc
        sys.stdout.write(shown.getvalue())
        return None
    return collected[0]


def _first_line(text):
    lines = (line.strip() for line in text.splitlines())
    return next((line for line in lines if line), "invalid arguments")


def print_ready_line(port: int) -> None:
    """Write the line with the port that whoever started the program waits for.

    It goes out in one piece, since other threads write lines of log meanwhile.
    """
    sys.stdout.write(f"ready {port}\n")
    sys.stdout.flush()


def create_stop_event() -> Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = Event()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: event.set())
    return event
