"""Interfaces of message and configuration codecs.

Decisions depend on these interfaces only, not on an encoding.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import ClassVar

from monsoonmill.claim_records import ClaimMap
from monsoonmill.model import Config

MAX_FRAME_BYTES = 1 << 20
"""Largest frame that a stream accepts; larger messages are sent in parts."""


class FrameReader(ABC):
    """Decodes the messages of one stream from chunks of arbitrary size."""

    @abstractmethod
    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the messages completed by ``data``.

        Raises
        ------
        ProtocolError
            The data is invalid; the stream must be closed.
        """

    @property
    @abstractmethod
    def unread_bytes(self) -> int:
        """Size of the incomplete frame."""

    @abstractmethod
    def finish(self) -> None:
        """Handle the end of the stream.

        Raises
        ------
        TruncatedFrameError
            The stream ended within a frame.
        """


class Codec(ABC):
    """Encodes and decodes messages of a fixed set of ``attrs`` classes."""

    @abstractmethod
    def encode(self, message: object) -> bytes:
        """Return the frame that encodes a message."""

    @abstractmethod
    def reader(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> FrameReader:
        """Return a reader for a new stream."""


class ConfigCodec(ABC):
    """Encodes the values that nodes store in the platform's service.

    Attributes
    ----------
    is_read_only : bool
        Whether only operators write the configuration; ``encode`` then fails.
    """

    is_read_only: ClassVar[bool] = False

    @abstractmethod
    def encode(self, config: Config) -> bytes:
        """Encode a configuration for storage."""

    @abstractmethod
    def decode(self, data: bytes) -> Config:
        """Decode a stored configuration.

        Raises
        ------
        MalformedMessageError
            The data is not a valid configuration.
        """

    @abstractmethod
    def encode_claim_map(self, claim_map: ClaimMap) -> bytes:
        """Encode a claim map for storage."""

    @abstractmethod
    def decode_claim_map(self, data: bytes) -> ClaimMap:
        """Decode a stored claim map.

        Raises
        ------
        MalformedMessageError
            The data is not a valid claim map.
        """
