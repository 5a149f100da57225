"""Deltas between revisions of a configuration."""

from attrs import evolve

from monsoonmill.messages import ConfigDelta
from monsoonmill.model import Config
from monsoonmill.notes import (
    MAX_NOTES_KEPT,
    Kind,
    latest_withdrawn_keys,
    note_revision,
    prune_revisions,
)

MAX_DELTA_REVISIONS = 200
"""A node that is further behind is sent the full configuration."""


def make_delta(config: Config, base: int) -> ConfigDelta | None:
    """Return the changes since a revision, or None if they are not known.

    They are known only if the accepted notes of all revisions since ``base`` are
    still in the configuration.
    """
    notes = tuple(note for note in config.notes if note_revision(note) > base)
    count = config.revision - base
    if base == 0 or count > MAX_DELTA_REVISIONS or len(notes) != count:
        return None
    changed = {
        entry: revision
        for entry, revision in config.entry_revisions.items()
        if revision > base
    }
    tables = {kind: getattr(config, kind.value) for kind in Kind}
    present, removed = {kind: [] for kind in Kind}, []
    for entry in changed:
        kind, name = _split_entry(entry)
        if name in tables[kind]:
            present[kind].append(tables[kind][name])
        else:
            removed.append(entry)
    return ConfigDelta(
        base=base,
        revision=config.revision,
        removed=tuple(removed),
        notes=notes,
        entry_revisions=changed,
        withdrawn_keys={
            digest: key
            for digest, key in config.withdrawn_keys.items()
            if key.revision > base
        },
        withdrawn_count=len(config.withdrawn_keys),
        **{kind.value: tuple(entries) for kind, entries in present.items()},
    )


def apply_delta(config: Config, delta: ConfigDelta) -> Config:
    """Apply a delta to a configuration.

    The revision of ``config`` must lie between the delta's base and revision.
    """
    tables = {kind: dict(getattr(config, kind.value)) for kind in Kind}
    for entry in delta.removed:
        kind, name = _split_entry(entry)
        tables[kind].pop(name, None)
    for kind, table in tables.items():
        table.update((entry.name, entry) for entry in getattr(delta, kind.value))
    new_notes = (note for note in delta.notes if note_revision(note) > config.revision)
    revisions = {**config.entry_revisions, **delta.entry_revisions}
    return evolve(
        config,
        revision=delta.revision,
        notes=(*config.notes, *new_notes)[-MAX_NOTES_KEPT:],
        entry_revisions=prune_revisions(revisions, tables, delta.revision),
        withdrawn_keys=_merge_withdrawn_keys(config, delta),
        **{kind.value: table for kind, table in tables.items()},
    )


def _merge_withdrawn_keys(config, delta):
    merged = {**config.withdrawn_keys, **delta.withdrawn_keys}
    for key in delta.keys:
        merged.pop(key.digest, None)
    return latest_withdrawn_keys(merged, delta.withdrawn_count)


def _split_entry(entry):
    kind_name, _, name = entry.partition("/")
    return Kind(kind_name), name
