"""Settings of the stand-in backend server."""

from attrs import field, frozen
from attrs.validators import in_, instance_of

from monsoonmill.model import Address
from monsoonmill.settings_fields import (
    LOG_LEVELS,
    float_field,
    int_field,
    parse_address,
    port_field,
    positive_float_field,
    string_field,
)
from monsoonmill.settings_files import load_settings
from monsoonmill.standin.table_list_field import table_list_field

DEFAULTS_FILE = "backend.toml"


@frozen
class RouteWork:
    """Service time and answer size of the requests below a path."""

    path: str = string_field()
    mean_ms: float = float_field()
    jitter_ms: float = field(default=0.0, converter=float)
    answer_bytes: int = field(default=0, validator=instance_of(int))


@frozen
class NestedCall:
    """Nested calls that a request below a path makes before its service time.

    Attributes
    ----------
    target : str
        Path of the nested call below its service.
    parallel : bool
        Whether the ``count`` calls are made at the same time.
    """

    path: str = string_field()
    service: str = string_field()
    target: str = field(default="/", validator=instance_of(str))
    method: str = field(default="GET", validator=instance_of(str))
    count: int = field(default=1, validator=instance_of(int))
    parallel: bool = field(default=False, validator=instance_of(bool))


def _optional_address():
    return field(converter=lambda text: parse_address(text) if text else None)


@frozen
class ServerSettings:
    """Identity, addresses and announcements of the backend server."""

    service: str = string_field()
    name: str = string_field()
    host: str = string_field()
    port: int = port_field()
    node: Address | None = _optional_address()
    announce_ms: int = int_field()
    announce_timeout_ms: int = int_field()
    log_level: str = field(validator=in_(LOG_LEVELS))
    random_seed: int = int_field(0)


@frozen
class WorkSettings:
    """Capacity, service times and answers."""

    slots: int = int_field()
    queue_length: int = int_field(0)
    queue_ms: int = int_field(0)
    cold_start_ms: int = int_field(0)
    cold_factor: float = positive_float_field()
    error_rate: float = float_field()
    routes: tuple[RouteWork, ...] = table_list_field(RouteWork)


@frozen
class NestedSettings:
    """Nested calls to other services."""

    callers: int = int_field()
    timeout_ms: int = int_field()
    calls: tuple[NestedCall, ...] = table_list_field(NestedCall)


@frozen
class FaultSettings:
    """Injected faults, and the record of executions that shows their effect."""

    poison_marker: str = string_field()
    health_lag_ms: int = int_field(0)
    record_file: str = string_field()


@frozen
class DrainSettings:
    """Graceful shutdown of the backend server."""

    settle_ms: int = int_field(0)
    limit_s: int = int_field()


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
        """Load the shipped defaults, overlaid with a file and then with flags.

        Flags are named ``section_key``, as in ``work_slots``.

        Raises
        ------
        SettingsError
            The file is unreadable or a value is invalid.
        """
        named = {tuple(name.split("_", 1)): value for name, value in flags.items()}
        return load_settings(cls, DEFAULTS_FILE, path, named)


def longest_prefix(path: str, entries):
    """Return the entries whose path is the longest prefix of ``path``."""
    matching = [entry for entry in entries if _has_prefix(path, entry.path)]
    longest = max((len(entry.path) for entry in matching), default=0)
    return [entry for entry in matching if len(entry.path) == longest]


def _has_prefix(path, prefix):
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")
