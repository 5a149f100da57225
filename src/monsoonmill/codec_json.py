"""Encoding of what the platform's service keeps as JSON."""

from cattrs import BaseValidationError
from cattrs.preconf.json import make_converter

from monsoonmill.claim_records import ClaimMap
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
        return self._load(data, Config)

    def encode_claim_map(self, claim_map: ClaimMap) -> bytes:
        """Return the stored form of a claim map."""
        return self._converter.dumps(claim_map).encode()

    def decode_claim_map(self, data: bytes) -> ClaimMap:
        """Return the claim map of a stored form."""
        return self._load(data, ClaimMap)

    def _load(self, data, cls):
        try:
            return self._converter.loads(data, cls)
        except (BaseValidationError, TypeError, ValueError, KeyError) as exc:
            problem = f"stored value is no {cls.__name__}"
            raise MalformedMessageError(problem) from exc
