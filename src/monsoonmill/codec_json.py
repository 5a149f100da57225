"""JSON encoding of the values stored in the platform's service."""

from msgspec import MsgspecError
from msgspec.json import decode, encode
from msgspec.json import format as format_json

from monsoonmill.claim_records import ClaimMap
from monsoonmill.codec import ConfigCodec
from monsoonmill.errors import MalformedMessageError
from monsoonmill.model import Config


class JsonConfigCodec(ConfigCodec):
    """Codec for JSON, so that operators can read the stored values."""

    def encode(self, config: Config) -> bytes:
        """Encode a configuration for storage."""
        return encode(config)

    def encode_indented(self, config: Config) -> str:
        """Return a configuration as indented JSON."""
        return format_json(encode(config), indent=2).decode()

    def decode(self, data: bytes) -> Config:
        """Decode a stored configuration."""
        return self._decode(data, Config)

    def encode_claim_map(self, claim_map: ClaimMap) -> bytes:
        """Encode a claim map for storage."""
        return encode(claim_map)

    def decode_claim_map(self, data: bytes) -> ClaimMap:
        """Decode a stored claim map."""
        return self._decode(data, ClaimMap)

    def _decode(self, data, cls):
        try:
            return decode(data, type=cls)
        except (MsgspecError, TypeError, ValueError) as exc:
            problem = f"stored value is not a valid {cls.__name__}"
            raise MalformedMessageError(problem) from exc
