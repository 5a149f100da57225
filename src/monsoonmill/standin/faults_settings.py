"""Settings of the fault-injecting proxy."""

from attrs import field, frozen
from attrs.validators import in_

from monsoonmill.model import Address
from monsoonmill.settings import LOG_LEVELS, _count, _port, _text, parse_address
from monsoonmill.standin.options import load_settings
from monsoonmill.standin.tables import tables

SHIPPED_DEFAULTS = "faults.toml"


@frozen
class PairSettings:
    """A port to listen on and the address that its connections go to."""

    name: str = _text()
    target: Address = field(converter=lambda value: _address(value))
    listen_port: int = field(default=0)


def _address(value):
    return value if isinstance(value, Address) else parse_address(value)


@frozen
class ProxySettings:
    """Addresses and limits of the proxy."""

    host: str = _text()
    control_port: int = _port()
    buffer_bytes: int = _count(1024)
    log_level: str = field(validator=in_(LOG_LEVELS))
    pairs: tuple[PairSettings, ...] = tables(PairSettings)


@frozen
class FaultsSettings:
    """All settings of the proxy."""

    proxy: ProxySettings

    @classmethod
    def from_file(cls, path: str | None, **flags) -> "FaultsSettings":
        """Overlay the shipped defaults with a file and flags.

        Raises
        ------
        SettingsError
            The file is unreadable or a value is invalid.
        """
        named = {("proxy", name): value for name, value in flags.items()}
        return load_settings(cls, SHIPPED_DEFAULTS, path, named)
