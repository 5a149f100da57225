"""Release notes: parsing, validation and application to a configuration."""

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
"""Accepted notes kept in the configuration; an older note is rejected as stale."""
MAX_WITHDRAWN_KEYS_KEPT = 2000
"""Withdrawn keys kept in the configuration; an older key is rejected as unknown."""
REMOVED_ENTRY_RETENTION = 1000
"""Revisions for which the removal of an entry stays in ``entry_revisions``."""
NOTE_DIGEST_LENGTH = 16
"""Hexadecimal digits of a note's digest in ``Config.notes``."""
DIGEST_CACHE_SIZE = 1024
"""Cached key digests; a deployment has a few keys for each organisation."""


@unique
class Kind(Enum):
    """Kinds of configuration entries; the value is the TOML table's name."""

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
TOML_FIELD_NAMES = {"importance": "class"}
"""Fields whose name in a release note differs from the attribute's name."""


@unique
class Action(Enum):
    """Operations on an entry; the value is the TOML table's name."""

    ADD = "added"
    CHANGE = "changed"
    WITHDRAW = "withdrawn"


@frozen
class Edit:
    """One change of an entry in a release note.

    Attributes
    ----------
    values : dict
        Fields to set; empty for a withdrawal.
    """

    action: Action
    kind: Kind
    name: str
    values: dict[str, object]

    @property
    def entry(self) -> str:
        """Name of the entry, unique across kinds, such as ``keys/branch-1``."""
        return f"{self.kind.value}/{self.name}"


@frozen
class ReleaseNote:
    """A parsed release note.

    Attributes
    ----------
    base : int
        Configuration revision that the note was written for.
    """

    identifier: str
    base: int
    edits: tuple[Edit, ...]


@lru_cache(maxsize=DIGEST_CACHE_SIZE)
def digest_key(secret: str) -> str:
    """Return the digest of a key's secret, as stored in the configuration."""
    return DIGEST_PREFIX + sha256(secret.encode()).hexdigest()


def read_note(path: str) -> ReleaseNote:
    """Read a release note from a TOML file.

    Raises
    ------
    NoteError
        The file cannot be read or is not a valid release note.
    """
    try:
        return parse_note(read_toml(path))
    except SettingsError as exc:
        raise NoteError(exc.source, exc.problem) from exc


def parse_note(doc: dict) -> ReleaseNote:
    """Build a release note from parsed TOML.

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
        raise NoteError("note", "must contain exactly the fields id and base")
    identifier, base = header["id"], header["base"]
    if not isinstance(identifier, str) or not identifier:
        raise NoteError("note.id", "must be a non-empty string")
    if not isinstance(base, int) or isinstance(base, bool) or base < 0:
        raise NoteError("note.base", "must be a revision number")
    edits = tuple(_parse_edits(doc))
    if not edits:
        raise NoteError("note", "contains no changes")
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
    location = f"{action.value}.{kind.value}"
    if action is Action.WITHDRAW:
        if not isinstance(entries, list):
            raise NoteError(location, "must be a list of names")
        entries = {name: {} for name in entries if isinstance(name, str)}
    if not isinstance(entries, dict):
        raise NoteError(location, "must be a table of entries")
    for name, values in entries.items():
        if not isinstance(values, dict):
            raise NoteError(f"{location}.{name}", "must be a table")
        yield Edit(action, kind, name, dict(_parse_values(kind, name, values)))


def _parse_values(kind, name, values):
    attributes = {
        TOML_FIELD_NAMES.get(attribute.name, attribute.name): attribute
        for attribute in fields(ENTRY_TYPES[kind])
        if attribute.name != "name"
    }
    for key, value in values.items():
        location = f"{kind.value}.{name}.{key}"
        if key not in attributes:
            raise NoteError(location, "unknown field")
        attribute = attributes[key]
        yield attribute.name, _parse_value(attribute.type, value, location)


def _parse_value(expected_type, value, location):
    if expected_type is Importance:
        try:
            return Importance[str(value).upper()]
        except KeyError as exc:
            names = ", ".join(importance.name.lower() for importance in Importance)
            raise NoteError(location, f"must be one of {names}") from exc
    if expected_type is float and type(value) is int:
        return float(value)
    if expected_type == tuple[str, ...]:
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        raise NoteError(location, "must be a list of strings")
    if type(value) is not expected_type:
        raise NoteError(location, f"must be of type {expected_type.__name__}")
    return value


def digest_note(note: ReleaseNote) -> str:
    """Return a digest of a note's edits, independent of its base revision."""
    edits = sorted(
        (edit.action.value, edit.entry, sorted(edit.values.items()))
        for edit in note.edits
    )
    return sha256(repr(edits).encode()).hexdigest()[:NOTE_DIGEST_LENGTH]


def note_revision(record: str) -> int:
    """Return the revision of one record of ``Config.notes``."""
    return int(record.partition(":")[0])


def find_accepted_revision(config: Config, note: ReleaseNote) -> int | None:
    """Return the revision at which a note was accepted, or None if it was not.

    Raises
    ------
    NoteError
        A different note was accepted with the same identifier.
    """
    for record in config.notes:
        revision, digest, identifier = record.split(":", 2)
        if identifier != note.identifier:
            continue
        if digest != digest_note(note):
            problem = f"{identifier!r} was used by another note, revision {revision}"
            raise NoteError("note.id", problem)
        return int(revision)
    return None


def apply_note(config: Config, note: ReleaseNote) -> Config:
    """Apply a note to a configuration.

    Raises
    ------
    StaleNoteError
        The configuration has changed since the note's base revision.
    NoteError
        An edit cannot be applied, or the resulting configuration is invalid.
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
    changed_entries = {edit.entry: revision for edit in note.edits}
    record = f"{revision}:{digest_note(note)}:{note.identifier}"
    changed = evolve(
        config,
        revision=revision,
        notes=(*config.notes, record)[-MAX_NOTES_KEPT:],
        entry_revisions=prune_revisions(
            {**config.entry_revisions, **changed_entries}, tables, revision
        ),
        withdrawn_keys=latest_withdrawn_keys(withdrawn, MAX_WITHDRAWN_KEYS_KEPT),
        **{kind.value: table for kind, table in tables.items()},
    )
    check_config(changed)
    return changed


def _apply_edit(edit, table, withdrawn, revision):
    previous = table.get(edit.name)
    if edit.action is Action.ADD:
        if previous is not None:
            raise NoteError(edit.entry, "already exists")
        table[edit.name] = _build_entry(edit)
    elif previous is None:
        raise NoteError(edit.entry, "does not exist")
    elif edit.action is Action.CHANGE:
        table[edit.name] = evolve(previous, **edit.values)
    else:
        del table[edit.name]
    if edit.kind is Kind.KEY:
        _update_withdrawn_keys(edit, previous, table, withdrawn, revision)


def _update_withdrawn_keys(edit, previous, table, withdrawn, revision):
    current = table.get(edit.name)
    if previous is not None and (current is None or current.digest != previous.digest):
        withdrawn[previous.digest] = WithdrawnKey(edit.name, revision)
    if current is not None:
        withdrawn.pop(current.digest, None)


def _build_entry(edit):
    try:
        return ENTRY_TYPES[edit.kind](name=edit.name, **edit.values)
    except TypeError as exc:
        raise NoteError(edit.entry, "required field is missing") from exc


def latest_withdrawn_keys(
    withdrawn: dict[str, WithdrawnKey], count: int
) -> dict[str, WithdrawnKey]:
    """Return the ``count`` most recently withdrawn keys, by digest."""
    by_revision = sorted(
        withdrawn.items(), key=lambda item: (item[1].revision, item[0])
    )
    return dict(by_revision[max(len(by_revision) - count, 0) :])


def prune_revisions(
    entry_revisions: dict[str, int], tables: dict[Kind, dict], revision: int
) -> dict[str, int]:
    """Drop the revisions of entries that were removed long ago."""
    oldest = revision - REMOVED_ENTRY_RETENTION
    present = {f"{kind.value}/{name}" for kind in Kind for name in tables[kind]}
    return {
        entry: changed_at
        for entry, changed_at in entry_revisions.items()
        if changed_at > oldest or entry in present
    }
