"""Settings of the fault-injecting proxy."""

from attrs import field, frozen
from attrs.validators import in_

from monsoonmill.model import Address
from monsoonmill.settings_fields import (
    LOG_LEVELS,
    int_field,
    parse_address,
    port_field,
    string_field,
)
from monsoonmill.settings_files import load_settings
from monsoonmill.standin.table_list_field import table_list_field

DEFAULTS_FILE = "faults.toml"


@frozen
class PairSettings:
    """A port to listen on and the address to forward its connections to."""

    name: str = string_field()
    target: Address = field(converter=lambda value: _to_address(value))
    listen_port: int = field(default=0)


def _to_address(value):
    return value if isinstance(value, Address) else parse_address(value)


@frozen
class ProxySettings:
    """Addresses and limits of the proxy."""

    host: str = string_field()
    control_port: int = port_field()
    buffer_bytes: int = int_field(1024)
    log_level: str = field(validator=in_(LOG_LEVELS))
    pairs: tuple[PairSettings, ...] = table_list_field(PairSettings)


@frozen
class FaultsSettings:
    """All settings of the proxy."""

    proxy: ProxySettings

    @classmethod
    def from_file(cls, path: str | None, **flags) -> "FaultsSettings":
        """Load the shipped defaults, overlaid with a file and then with flags.

        Raises
        ------
        SettingsError
            The file is unreadable or a value is invalid.
        """
        named = {("proxy", name): value for name, value in flags.items()}
        return load_settings(cls, DEFAULTS_FILE, path, named)
