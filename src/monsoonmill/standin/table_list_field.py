"""Settings that are lists of tables."""

from collections.abc import Iterator

from attrs import field, fields


def table_list_field(cls: type, validator=None):
    """Return a field that holds a list of tables, each read as ``cls``."""
    return field(
        converter=lambda values: tuple(_read(cls, values)), validator=validator
    )


def _read(cls, values) -> Iterator[object]:
    if not isinstance(values, list | tuple):
        raise TypeError("must be a list of tables")
    known = {item.name for item in fields(cls)}
    for position, table in enumerate(values):
        if isinstance(table, cls):
            yield table
            continue
        if not isinstance(table, dict):
            raise TypeError(f"entry {position} must be a table")
        unknown = set(table) - known
        if unknown:
            raise ValueError(f"entry {position}: unknown key {min(unknown)!r}")
        yield cls(**table)
