"""Differences between revisions of a configuration."""

from attrs import evolve

from monsoonmill.messages import ConfigDelta
from monsoonmill.model import Config
from monsoonmill.notes import (
    MAX_NOTES_KEPT,
    Kind,
    newest_keys,
    note_revision,
    prune_revisions,
)

MAX_DELTA_REVISIONS = 200
"""A node that is further behind is sent the whole configuration."""


def make_delta(config: Config, base: int) -> ConfigDelta | None:
    """Return what changed since a revision, or None if that is not known.

    It is known only while the accepted note of each revision since is kept.
    """
    notes = tuple(one for one in config.notes if note_revision(one) > base)
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
    """Return the configuration that a delta leads to.

    The revision of ``config`` must lie between the delta's base and revision.
    """
    tables = {kind: dict(getattr(config, kind.value)) for kind in Kind}
    for entry in delta.removed:
        kind, name = _split_entry(entry)
        tables[kind].pop(name, None)
    for kind, table in tables.items():
        table.update((one.name, one) for one in getattr(delta, kind.value))
    news = (one for one in delta.notes if note_revision(one) > config.revision)
    revisions = {**config.entry_revisions, **delta.entry_revisions}
    return evolve(
        config,
        revision=delta.revision,
        notes=(*config.notes, *news)[-MAX_NOTES_KEPT:],
        entry_revisions=prune_revisions(revisions, tables, delta.revision),
        withdrawn_keys=_merge_withdrawn(config, delta),
        **{kind.value: table for kind, table in tables.items()},
    )


def _merge_withdrawn(config, delta):
    merged = {**config.withdrawn_keys, **delta.withdrawn_keys}
    for key in delta.keys:
        merged.pop(key.digest, None)
    return newest_keys(merged, delta.withdrawn_count)


def _split_entry(entry):
    kind_name, _, name = entry.partition("/")
    return Kind(kind_name), name
