"""Interfaces of the encodings; decisions know nothing beyond these."""

from abc import ABC, abstractmethod
from collections.abc import Iterator

from monsoonmill.claim_records import ClaimMap
from monsoonmill.model import Config

MAX_FRAME_BYTES = 1 << 20
"""Largest frame that a stream accepts; larger messages travel in parts."""


class FrameReader(ABC):
    """Turns the bytes of one stream into messages, however they are cut."""

    @abstractmethod
    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the messages that ``data`` completes.

        Raises
        ------
        ProtocolError
            The stream is unusable from here on and must be closed.
        """

    @abstractmethod
    def finish(self) -> None:
        """Take the end of the stream.

        Raises
        ------
        TruncatedFrameError
            The stream ended within a frame.
        """


class Codec(ABC):
    """Encodes a closed set of ``attrs`` classes."""

    @abstractmethod
    def encode(self, message: object) -> bytes:
        """Return the frame of a message."""

    @abstractmethod
    def reader(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> FrameReader:
        """Return a reader for a new stream."""


class ConfigCodec(ABC):
    """Encodes what the nodes keep in the platform's service."""

    @abstractmethod
    def encode(self, config: Config) -> bytes:
        """Return the stored form of a configuration."""

    @abstractmethod
    def decode(self, data: bytes) -> Config:
        """Return the configuration of a stored form.

        Raises
        ------
        MalformedMessageError
            The bytes are no configuration.
        """

    @abstractmethod
    def encode_claim_map(self, claim_map: ClaimMap) -> bytes:
        """Return the stored form of a claim map."""

    @abstractmethod
    def decode_claim_map(self, data: bytes) -> ClaimMap:
        """Return the claim map of a stored form.

        Raises
        ------
        MalformedMessageError
            The bytes are no claim map.
        """
