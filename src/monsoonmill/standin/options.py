"""Command lines and settings that the stand-in programs have in common."""

import sys
from collections.abc import Callable, Mapping
from contextlib import redirect_stderr, redirect_stdout
from importlib.resources import files
from io import StringIO
from tomllib import loads

from fire import Fire
from fire.core import FireExit

from monsoonmill.errors import UserError
from monsoonmill.settings import build_sections, read_toml

USER_ERROR_STATUS = 2
"""Exit status of a program after a ``UserError``."""


class ArgumentsError(UserError):
    """The command line holds an unknown flag or a stray argument."""


class ListenError(UserError):
    """A program can't listen on the address that its settings name."""

    def __init__(self, bind_addr: tuple, cause: OSError):
        host, port = bind_addr
        super().__init__(f"can't listen on {host}:{port}: {cause.strerror or cause}")


def load_settings(cls: type, shipped: str, path: str | None, flags: Mapping):
    """Build settings from shipped defaults, a file and the command line.

    Parameters
    ----------
    shipped : str
        Name of the defaults file in the package.
    flags : mapping
        Values by ``(section, key)``; None where a flag was not given.

    Raises
    ------
    SettingsError
        The file is unreadable or a value is invalid.
    """
    defaults = loads((files("monsoonmill") / shipped).read_text(encoding="utf-8"))
    overlay = {} if path is None else read_toml(str(path))
    source = "arguments" if path is None else str(path)
    given = {key: value for key, value in flags.items() if value is not None}
    for (section, key), value in given.items():
        table = overlay.setdefault(section, {})
        if isinstance(table, dict):
            table[key] = value
    return build_sections(cls, defaults, overlay, source)


def run_program(collect: Callable, run: Callable, argv: list[str] | None) -> int:
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
        sys.stderr.write(" ".join(str(exc).split()) + "\n")
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
