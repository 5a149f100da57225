"""Settings whose value is a list of TOML tables."""

from collections.abc import Iterator

from attrs import field, fields


def table_list_field(cls: type, validator=None):
    """Return a field for a list of tables; each becomes an instance of ``cls``."""
    return field(
        converter=lambda values: tuple(_build_entries(cls, values)), validator=validator
    )


def _build_entries(cls, values) -> Iterator[object]:
    if not isinstance(values, list | tuple):
        raise TypeError("must be a list of tables")
    known = {attribute.name for attribute in fields(cls)}
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
