"""Settings of the key-value stand-in."""

from enum import Enum, unique
from importlib.resources import files
from tomllib import loads

from attrs import field, frozen
from attrs.validators import ge, in_, instance_of, le

from monsoonmill.settings_fields import LOG_LEVELS, MAX_PORT
from monsoonmill.settings_files import build_sections, read_toml

MAX_DELAY_MS = 3_600_000
"""Longest delay of a call in mode slow."""


def _int(least=0, most=None):
    checks = [instance_of(int), ge(least)]
    return field(validator=checks if most is None else [*checks, le(most)])


@frozen
class ServerSettings:
    """Address and threads of the HTTP server."""

    host: str = field(validator=instance_of(str))
    port: int = _int(most=MAX_PORT)
    threads: int = _int(1)
    max_watches: int = _int(1)
    max_wait_ms: int = _int(1)
    log_level: str = field(validator=in_(LOG_LEVELS))


@frozen
class LimitSettings:
    """Limits on the rate of calls; 0 calls a second is no limit."""

    writes_per_s: int = _int()
    reads_per_s: int = _int()
    burst_ms: int = _int(1)


@unique
class Mode(Enum):
    """Modes of the service; each is also an event of the mode's chart."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOST_ANSWERS = "lost-answers"


@frozen
class FaultSettings:
    """A mode and its numbers.

    Attributes
    ----------
    delay_ms : int
        Delay of each call in mode slow.
    lost_percent : int
        Changes of a hundred whose answer is lost in mode lost-answers.
    seed : int
        Seed of the choice of lost answers.
    """

    mode: Mode = field(converter=Mode)
    delay_ms: int = _int(most=MAX_DELAY_MS)
    lost_percent: int = _int(most=100)
    seed: int = _int()


@frozen
class StoreServerSettings:
    """All settings of the stand-in."""

    server: ServerSettings
    limits: LimitSettings
    faults: FaultSettings

    @classmethod
    def from_file(cls, path: str | None) -> "StoreServerSettings":
        """Load the defaults and overlay the file, if one is given.

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
        """Overlay the defaults with tables of settings.

        Raises
        ------
        SettingsError
            As for ``from_file``.
        """
        defaults = files("monsoonmill") / "standin_store.toml"
        tables = loads(defaults.read_text(encoding="utf-8"))
        return build_sections(cls, tables, overlay, source)
