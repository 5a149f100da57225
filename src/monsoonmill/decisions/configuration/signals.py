"""Signals of the configuration and of release notes."""

from attrs import frozen

from monsoonmill.decisions.configuration.evacuations import Evacuations
from monsoonmill.model import Config


@frozen
class ConfigAdopted:
    """A configuration was adopted; for the log.

    Attributes
    ----------
    source : str
        Node that sent it, or ``"platform"`` for the store.
    stored_version : int
        Version of its key in the store; 0 if another node sent it.
    """

    revision: int
    source: str
    stored_version: int = 0


@frozen
class NoteSubmitted:
    """An operator submits a parsed release note."""

    request: str
    note: object


@frozen
class NoteAccepted:
    """A release note was accepted with this revision."""

    request: str
    revision: int


@frozen
class NoteRefused:
    """A release note was not accepted."""

    request: str
    error: Exception


@frozen
class ConfigChanged:
    """The configuration in force was replaced."""

    old: Config
    new: Config


@frozen
class EvacuationsAdopted:
    """Changed evacuation orders were adopted; for the log."""

    version: int
    data_centres: tuple[str, ...]
    source: str


@frozen
class EvacuationsChanged:
    """Data centres were evacuated, or their evacuation was withdrawn."""

    old: Evacuations
    new: Evacuations


@frozen
class StoreReachChanged:
    """The platform's store stopped serving the local node, or serves it again."""

    is_reached: bool
