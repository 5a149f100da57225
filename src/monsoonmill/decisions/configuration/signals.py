"""Signals of the configuration and of release notes."""

from attrs import frozen

from monsoonmill.model import Config


@frozen
class ConfigAdopted:
    """A configuration was put in force, for the log."""

    revision: int
    source: str


@frozen
class NoteSubmitted:
    """An operator hands in a release note, parsed."""

    request: str
    note: object


@frozen
class NoteAccepted:
    """A release note is in the configuration of this revision."""

    request: str
    revision: int


@frozen
class NoteRefused:
    """A release note was not accepted."""

    request: str
    error: Exception


@frozen
class ConfigChanged:
    """Another configuration is in force from here on."""

    old: Config
    new: Config
