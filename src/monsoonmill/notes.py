"""Release notes: their file format and their application to a configuration."""

from enum import Enum, unique
from functools import lru_cache
from hashlib import sha256

from attrs import evolve, fields, frozen

from monsoonmill.config_checks import DIGEST_PREFIX, check_config
from monsoonmill.errors import NoteError, SettingsError, StaleNoteError
from monsoonmill.model import (
    Config,
    Key,
    Organisation,
    Route,
    Service,
    WithdrawnKey,
)
from monsoonmill.reasons import Importance
from monsoonmill.settings_files import read_toml

MAX_NOTES_KEPT = 1000
"""Accepted notes that are remembered; an older one is refused as stale."""
MAX_WITHDRAWN_KEYS_KEPT = 2000
"""Withdrawn keys told from unknown ones; an older one is refused as unknown."""
REMOVED_ENTRY_REVISIONS = 1000
"""The revision at which an entry was withdrawn is kept for this many more."""
NOTE_DIGEST_DIGITS = 16
DIGESTS_KEPT = 1024
"""Digests kept at hand; a deployment has a few keys an organisation."""


@unique
class Kind(Enum):
    """Kinds of entries; the value is the table's name in a note."""

    ORGANISATION = "organisations"
    KEY = "keys"
    SERVICE = "services"
    ROUTE = "routes"


ENTRY_TYPES = {
    Kind.ORGANISATION: Organisation,
    Kind.KEY: Key,
    Kind.SERVICE: Service,
    Kind.ROUTE: Route,
}
FILE_NAMES = {"importance": "class"}
"""Fields that are called otherwise in the file."""


@unique
class Action(Enum):
    """What a note does with an entry; the value is the table's name."""

    ADD = "added"
    CHANGE = "changed"
    WITHDRAW = "withdrawn"


@frozen
class Edit:
    """One line of a note.

    Attributes
    ----------
    values : dict
        Fields of the entry that are set; empty for a withdrawal.
    """

    action: Action
    kind: Kind
    name: str
    values: dict[str, object]

    @property
    def entry(self) -> str:
        """Name of the entry over all kinds, such as ``keys/branch-1``."""
        return f"{self.kind.value}/{self.name}"


@frozen
class ReleaseNote:
    """A parsed release note.

    Attributes
    ----------
    base : int
        Revision that the note was written against.
    """

    identifier: str
    base: int
    edits: tuple[Edit, ...]


@lru_cache(maxsize=DIGESTS_KEPT)
def digest_key(secret: str) -> str:
    """Return the digest under which a key's secret is stored."""
    return DIGEST_PREFIX + sha256(secret.encode()).hexdigest()


def read_note(path: str) -> ReleaseNote:
    """Read a release note from a TOML file.

    Raises
    ------
    NoteError
        The file is unreadable or malformed.
    """
    try:
        return parse_note(read_toml(path))
    except SettingsError as exc:
        raise NoteError(exc.source, exc.problem) from exc


def parse_note(doc: dict) -> ReleaseNote:
    """Build a release note from the tables of its file.

    Raises
    ------
    NoteError
        A table or field is unknown, missing or of the wrong type.
    """
    if not isinstance(doc, dict):
        raise NoteError("note", "must be a table")
    unknown = set(doc) - {"note"} - {action.value for action in Action}
    if unknown:
        raise NoteError(min(unknown), "unknown table")
    header = doc.get("note")
    if not isinstance(header, dict) or set(header) != {"id", "base"}:
        raise NoteError("note", "must hold id and base, and nothing else")
    identifier, base = header["id"], header["base"]
    if not isinstance(identifier, str) or not identifier:
        raise NoteError("note.id", "must be a text")
    if not isinstance(base, int) or isinstance(base, bool) or base < 0:
        raise NoteError("note.base", "must be a revision number")
    edits = tuple(_parse_edits(doc))
    if not edits:
        raise NoteError("note", "changes nothing")
    return ReleaseNote(identifier, base, edits)


def _parse_edits(doc):
    for action in Action:
        tables = doc.get(action.value, {})
        if not isinstance(tables, dict):
            raise NoteError(action.value, "must be a table")
        for kind_name, entries in tables.items():
            kind = _parse_kind(action, kind_name)
            yield from _parse_entries(action, kind, entries)


def _parse_kind(action, name):
    try:
        return Kind(name)
    except ValueError as exc:
        raise NoteError(f"{action.value}.{name}", "unknown table") from exc


def _parse_entries(action, kind, entries):
    place = f"{action.value}.{kind.value}"
    if action is Action.WITHDRAW:
        if not isinstance(entries, list):
            raise NoteError(place, "must be a list of names")
        entries = {name: {} for name in entries if isinstance(name, str)}
    if not isinstance(entries, dict):
        raise NoteError(place, "must be a table of entries")
    for name, values in entries.items():
        if not isinstance(values, dict):
            raise NoteError(f"{place}.{name}", "must be a table")
        yield Edit(action, kind, name, dict(_parse_values(kind, name, values)))


def _parse_values(kind, name, values):
    known = {
        FILE_NAMES.get(item.name, item.name): item
        for item in fields(ENTRY_TYPES[kind])
        if item.name != "name"
    }
    for key, value in values.items():
        place = f"{kind.value}.{name}.{key}"
        if key not in known:
            raise NoteError(place, "unknown field")
        item = known[key]
        yield item.name, _parse_value(item.type, value, place)


def _parse_value(expected, value, place):
    if expected is Importance:
        try:
            return Importance[str(value).upper()]
        except KeyError as exc:
            names = ", ".join(item.name.lower() for item in Importance)
            raise NoteError(place, f"must be one of {names}") from exc
    if expected is float and type(value) is int:
        return float(value)
    if expected == tuple[str, ...]:
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        raise NoteError(place, "must be a list of texts")
    if type(value) is not expected:
        raise NoteError(place, f"must be of type {expected.__name__}")
    return value


def digest_note(note: ReleaseNote) -> str:
    """Return a digest of what a note does, whatever its base."""
    edits = sorted(
        (one.action.value, one.entry, sorted(one.values.items())) for one in note.edits
    )
    return sha256(repr(edits).encode()).hexdigest()[:NOTE_DIGEST_DIGITS]


def note_revision(item: str) -> int:
    """Return the revision of one item of ``Config.notes``."""
    return int(item.partition(":")[0])


def find_accepted_revision(config: Config, note: ReleaseNote) -> int | None:
    """Return the revision at which a note was accepted, if it was.

    Raises
    ------
    NoteError
        Another note was accepted under the same identifier.
    """
    for item in config.notes:
        revision, digest, name = item.split(":", 2)
        if name != note.identifier:
            continue
        if digest != digest_note(note):
            problem = f"another note was accepted as {name!r} at revision {revision}"
            raise NoteError("note.id", problem)
        return int(revision)
    return None


def apply_note(config: Config, note: ReleaseNote) -> Config:
    """Return the configuration that follows from accepting a note.

    Raises
    ------
    StaleNoteError
        The configuration has moved on since the note's base.
    NoteError
        An edit does not apply, or the result contradicts itself.
    """
    if note.base != config.revision:
        conflicts = [
            edit.entry
            for edit in note.edits
            if config.entry_revisions.get(edit.entry, 0) > note.base
        ]
        raise StaleNoteError(note.base, config.revision, conflicts)
    revision = config.revision + 1
    tables = {kind: dict(getattr(config, kind.value)) for kind in Kind}
    withdrawn = dict(config.withdrawn_keys)
    for edit in note.edits:
        _apply_edit(edit, tables[edit.kind], withdrawn, revision)
    touched = {edit.entry: revision for edit in note.edits}
    accepted = f"{revision}:{digest_note(note)}:{note.identifier}"
    changed = evolve(
        config,
        revision=revision,
        notes=(*config.notes, accepted)[-MAX_NOTES_KEPT:],
        entry_revisions=prune_revisions(
            {**config.entry_revisions, **touched}, tables, revision
        ),
        withdrawn_keys=newest_keys(withdrawn, MAX_WITHDRAWN_KEYS_KEPT),
        **{kind.value: table for kind, table in tables.items()},
    )
    check_config(changed)
    return changed


def _apply_edit(edit, table, withdrawn, revision):
    present = table.get(edit.name)
    if edit.action is Action.ADD:
        if present is not None:
            raise NoteError(edit.entry, "exists already")
        table[edit.name] = _build_entry(edit)
    elif present is None:
        raise NoteError(edit.entry, "does not exist")
    elif edit.action is Action.CHANGE:
        table[edit.name] = evolve(present, **edit.values)
    else:
        del table[edit.name]
    if edit.kind is Kind.KEY:
        _note_key_change(edit, present, table, withdrawn, revision)


def _note_key_change(edit, present, table, withdrawn, revision):
    current = table.get(edit.name)
    if present is not None and (current is None or current.digest != present.digest):
        withdrawn[present.digest] = WithdrawnKey(edit.name, revision)
    if current is not None:
        withdrawn.pop(current.digest, None)


def _build_entry(edit):
    try:
        return ENTRY_TYPES[edit.kind](name=edit.name, **edit.values)
    except TypeError as exc:
        raise NoteError(edit.entry, "a required field is missing") from exc


def newest_keys(
    withdrawn: dict[str, WithdrawnKey], count: int
) -> dict[str, WithdrawnKey]:
    """Return the ``count`` keys that were withdrawn last, by their digest."""
    order = sorted(withdrawn.items(), key=lambda item: (item[1].revision, item[0]))
    return dict(order[max(len(order) - count, 0) :])


def prune_revisions(
    entry_revisions: dict[str, int], tables: dict[Kind, dict], revision: int
) -> dict[str, int]:
    """Return the entries' revisions without long withdrawn entries."""
    oldest = revision - REMOVED_ENTRY_REVISIONS
    present = {f"{kind.value}/{name}" for kind in Kind for name in tables[kind]}
    return {
        entry: changed_at
        for entry, changed_at in entry_revisions.items()
        if changed_at > oldest or entry in present
    }
