"""Tests of the helpers that all programs share."""

import sys

from monsoonmill.program import print_ready_line


class RecordingStream:
    """Output stream that records the text of each write."""

    def __init__(self):
        self.writes = []

    def write(self, text):
        self.writes.append(text)

    def flush(self):
        pass


def test_ready_line_is_written_in_one_call(monkeypatch):
    stream = RecordingStream()
    monkeypatch.setattr(sys, "stdout", stream)
    print_ready_line(7000)
    assert stream.writes == ["ready 7000\n"]
