"""Encoding of configurations as JSON."""

from cattrs import BaseValidationError
from cattrs.preconf.json import make_converter

from monsoonmill.codec import ConfigCodec
from monsoonmill.errors import MalformedMessageError
from monsoonmill.model import Config


class JsonConfigCodec(ConfigCodec):
    """Stores a configuration as JSON, which operators can read."""

    def __init__(self):
        self._converter = make_converter()

    def encode(self, config: Config) -> bytes:
        """Return the stored form of a configuration."""
        return self._converter.dumps(config).encode()

    def encode_readable(self, config: Config) -> str:
        """Return a configuration as indented text."""
        return self._converter.dumps(config, indent=2)

    def decode(self, data: bytes) -> Config:
        """Return the configuration of a stored form."""
        try:
            return self._converter.loads(data, Config)
        except (BaseValidationError, TypeError, ValueError, KeyError) as exc:
            raise MalformedMessageError("stored value is no configuration") from exc
