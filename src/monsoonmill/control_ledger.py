"""Table of what a node's control traffic costs, from its counters."""

from collections.abc import Iterator, Mapping

from attrs import frozen

from monsoonmill.node.traffic_ledger import BYTES_PREFIX, MESSAGES_PREFIX

STORE_PREFIX = "store-calls"
WAKE_UPS = "wake-ups"
HEADINGS = ("kind", "to", "messages", "bytes")


@frozen
class LedgerRow:
    """Messages of one kind to nodes at one distance, or calls of the store."""

    kind: str
    distance: str
    messages: int
    size: int = 0


def read_rows(counters: Mapping[str, int]) -> Iterator[LedgerRow]:
    """Yield the rows that a node's counters describe."""
    for name, count in counters.items():
        prefix, _, rest = name.partition("/")
        if prefix == MESSAGES_PREFIX:
            kind, _, distance = rest.partition("/")
            size = counters.get(f"{BYTES_PREFIX}/{rest}", 0)
            yield LedgerRow(kind, distance, count, size)
        elif prefix == STORE_PREFIX:
            yield LedgerRow(rest, "store", count)


def format_ledger(counters: Mapping[str, int]) -> str:
    """Return the rows as a table, the largest number of bytes first."""
    rows = sorted(
        read_rows(counters), key=lambda row: (row.size, row.messages), reverse=True
    )
    lines = [HEADINGS]
    lines.extend(
        (row.kind, row.distance, str(row.messages), str(row.size)) for row in rows
    )
    lines.append(("wake-ups", "", str(counters.get(WAKE_UPS, 0)), ""))
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
