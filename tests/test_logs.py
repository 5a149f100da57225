"""Tests of the destinations of log lines."""

from subprocess import run
from sys import executable

import pytest

SCRIPT = """
from monsoonmill.eventlog import get_logger
from monsoonmill.logs import configure_logging

configure_logging("info", json_lines={json_lines})
get_logger("test").info("hello")
get_logger("test").warning("hello")
"""


@pytest.mark.parametrize(
    ("json_lines", "out", "err"),
    [(True, 2, 0), (False, 0, 2)],
    ids=["json_lines", "prefixed"],
)
def test_each_line_is_written_once(json_lines, out, err):
    command = [executable, "-c", SCRIPT.format(json_lines=json_lines)]
    completed = run(command, capture_output=True, text=True, check=True)
    assert completed.stdout.count("hello") == out
    assert completed.stderr.count("hello") == err
