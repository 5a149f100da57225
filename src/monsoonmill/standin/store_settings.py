"""Settings of the key-value stand-in."""

from enum import Enum, unique
from importlib.resources import files
from tomllib import loads

from attrs import field, frozen
from attrs.validators import ge, in_, instance_of, le

from monsoonmill.settings_fields import LOG_LEVELS, MAX_PORT
from monsoonmill.settings_files import build_sections, read_toml

MAX_DELAY_MS = 3_600_000
"""Longest delay of a call that ``faults.delay_ms`` may set."""


def _int_field(minimum=0, maximum=None):
    checks = [instance_of(int), ge(minimum)]
    return field(validator=checks if maximum is None else [*checks, le(maximum)])


@frozen
class ServerSettings:
    """Address and threads of the HTTP server."""

    host: str = field(validator=instance_of(str))
    port: int = _int_field(maximum=MAX_PORT)
    threads: int = _int_field(1)
    max_watches: int = _int_field(1)
    max_wait_ms: int = _int_field(1)
    log_level: str = field(validator=in_(LOG_LEVELS))


@frozen
class LimitSettings:
    """Limits on the rate of calls; a rate of 0 is no limit."""

    writes_per_s: int = _int_field()
    reads_per_s: int = _int_field()
    burst_ms: int = _int_field(1)


@unique
class Mode(Enum):
    """Fault modes; each value is also an event of the chart ``platform_mode``."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOST_ANSWERS = "lost-answers"


@frozen
class FaultSettings:
    """A fault mode and its parameters.

    Attributes
    ----------
    delay_ms : int
        Delay of each call in mode ``slow``.
    lost_percent : int
        Percentage of writes whose answer is lost in mode ``lost-answers``.
    seed : int
        Seed of the random choice of lost answers.
    """

    mode: Mode = field(converter=Mode)
    delay_ms: int = _int_field(maximum=MAX_DELAY_MS)
    lost_percent: int = _int_field(maximum=100)
    seed: int = _int_field()


@frozen
class StoreServerSettings:
    """All settings of the key-value stand-in."""

    server: ServerSettings
    limits: LimitSettings
    faults: FaultSettings

    @classmethod
    def from_file(cls, path: str | None) -> "StoreServerSettings":
        """Load the defaults, overlaid with a file if one is given.

        Raises
        ------
        SettingsError
            The file is unreadable or holds an invalid value.
        """
        overlay = {} if path is None else read_toml(path)
        return cls.from_dict(overlay, str(path))

    @classmethod
    def from_dict(
        cls, overlay: dict, source: str = "settings"
    ) -> "StoreServerSettings":
        """Load the defaults, overlaid with tables of settings.

        Raises
        ------
        SettingsError
            As for ``from_file``.
        """
        defaults = files("monsoonmill") / "standin_store.toml"
        tables = loads(defaults.read_text(encoding="utf-8"))
        return build_sections(cls, tables, overlay, source)
