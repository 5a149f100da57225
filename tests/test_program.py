"""What all programs share."""

import sys

from monsoonmill.program import print_ready_line


class Pieces:
    """Standard output that remembers how it was written to."""

    def __init__(self):
        self.written = []

    def write(self, text):
        self.written.append(text)

    def flush(self):
        pass


def test_ready_line_goes_out_in_one_piece(monkeypatch):
    pieces = Pieces()
    monkeypatch.setattr(sys, "stdout", pieces)
    print_ready_line(7000)
    assert pieces.written == ["ready 7000\n"]
