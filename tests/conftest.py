"""Passes over the failures that KNOWN-RED.txt lists, and over no others."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MARK = "test: "


def pytest_collection_modifyitems(items):
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    known = {line.removeprefix(MARK) for line in lines if line.startswith(MARK)}
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
