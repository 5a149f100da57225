"""Settings of the stand-in backend server."""

from attrs import field, frozen
from attrs.validators import in_, instance_of

from monsoonmill.model import Address
from monsoonmill.settings import (
    LOG_LEVELS,
    _count,
    _number,
    _port,
    _positive,
    _text,
    parse_address,
)
from monsoonmill.standin.options import load_settings
from monsoonmill.standin.tables import tables

SHIPPED_DEFAULTS = "backend.toml"


@frozen
class RouteWork:
    """Work that a request below a path takes."""

    path: str = _text()
    mean_ms: float = _number()
    jitter_ms: float = field(default=0.0, converter=float)
    answer_bytes: int = field(default=0, validator=instance_of(int))


@frozen
class NestedCall:
    """Calls that a request below a path makes before its own work.

    Attributes
    ----------
    target : str
        Path of the nested call below its service.
    parallel : bool
        Whether the ``count`` calls are sent at once.
    """

    path: str = _text()
    service: str = _text()
    target: str = field(default="/", validator=instance_of(str))
    method: str = field(default="GET", validator=instance_of(str))
    count: int = field(default=1, validator=instance_of(int))
    parallel: bool = field(default=False, validator=instance_of(bool))


def _optional_address():
    return field(converter=lambda text: parse_address(text) if text else None)


@frozen
class ServerSettings:
    """Identity and addresses of the backend server."""

    service: str = _text()
    name: str = _text()
    host: str = _text()
    port: int = _port()
    node: Address | None = _optional_address()
    announce_ms: int = _count()
    announce_timeout_ms: int = _count()
    log_level: str = field(validator=in_(LOG_LEVELS))
    random_seed: int = _count(0)


@frozen
class WorkSettings:
    """Capacity and service times."""

    slots: int = _count()
    queue_length: int = _count(0)
    queue_ms: int = _count(0)
    cold_start_ms: int = _count(0)
    cold_factor: float = _positive()
    error_rate: float = _number()
    routes: tuple[RouteWork, ...] = tables(RouteWork)


@frozen
class NestedSettings:
    """Nested calls to other services."""

    callers: int = _count()
    timeout_ms: int = _count()
    calls: tuple[NestedCall, ...] = tables(NestedCall)


@frozen
class FaultSettings:
    """Ways in which the backend server misleads or fails."""

    poison_marker: str = _text()
    health_lag_ms: int = _count(0)
    record_file: str = _text()


@frozen
class DrainSettings:
    """Graceful shutdown of the backend server."""

    settle_ms: int = _count(0)
    limit_s: int = _count()


@frozen
class BackendSettings:
    """All settings of the backend server."""

    backend: ServerSettings
    work: WorkSettings
    nested: NestedSettings
    faults: FaultSettings
    drain: DrainSettings

    @classmethod
    def from_file(cls, path: str | None, **flags) -> "BackendSettings":
        """Overlay the shipped defaults with a file and flags.

        Flags are named ``section_key``, as in ``work_slots``.

        Raises
        ------
        SettingsError
            The file is unreadable or a value is invalid.
        """
        named = {tuple(name.split("_", 1)): value for name, value in flags.items()}
        return load_settings(cls, SHIPPED_DEFAULTS, path, named)


def longest_prefix(path: str, entries):
    """Return the entries whose path is the longest prefix of ``path``."""
    matching = [entry for entry in entries if _is_below(path, entry.path)]
    longest = max((len(entry.path) for entry in matching), default=0)
    return [entry for entry in matching if len(entry.path) == longest]


def _is_below(path, prefix):
    whole = prefix.rstrip("/")
    return path == whole or path.startswith(whole + "/")
