"""Marks the tests that KNOWN-RED.txt lists as expected to fail; freezes values."""

from os import environ
from pathlib import Path

import pytest

# Before any import of the package: an assignment to a field of a value is an error
# in the tests and in the processes that they start, see monsoonmill.value_classes.
environ.setdefault("MONSOONMILL_CHECK_FROZEN", "1")

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def pytest_collection_modifyitems(items):
    lines = KNOWN_FAILURES.read_text(encoding="utf-8").splitlines()
    expected_failures = {
        line.removeprefix(TEST_PREFIX) for line in lines if line.startswith(TEST_PREFIX)
    }
    for item in items:
        if item.nodeid in expected_failures:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
