"""Reassembly of long messages that are received in parts."""

from monsoonmill.codec import Codec
from monsoonmill.errors import FrameTooLargeError, MalformedMessageError
from monsoonmill.messages import Part

MAX_TRANSFERS = 256
"""Maximum number of incomplete long messages on one stream."""


class MessageReassembler:
    """Joins the parts of the long messages of one stream.

    Parameters
    ----------
    max_bytes : int
        Maximum size of a long message.

    Attributes
    ----------
    held_bytes : int
        Size of the incomplete messages.
    """

    def __init__(self, codec: Codec, max_bytes: int):
        self._codec = codec
        self._max_bytes = max_bytes
        self._transfers: dict[int, bytearray] = {}
        self.held_bytes = 0

    def add(self, part: Part) -> object | None:
        """Add a part and return the message that it completes, if any.

        Raises
        ------
        ProtocolError
            A message or the number of incomplete messages exceeds its limit, or
            the completed message cannot be decoded.
        """
        data = self._transfers.setdefault(part.transfer, bytearray())
        if len(self._transfers) > MAX_TRANSFERS:
            raise FrameTooLargeError(f"more than {MAX_TRANSFERS} incomplete messages")
        if len(data) + len(part.data) > self._max_bytes:
            raise FrameTooLargeError(f"long message exceeds {self._max_bytes} bytes")
        data += part.data
        self.held_bytes += len(part.data)
        if not part.last:
            return None
        self.held_bytes -= len(data)
        return self._decode(bytes(self._transfers.pop(part.transfer)))

    @property
    def transfer_count(self) -> int:
        """Number of incomplete messages."""
        return len(self._transfers)

    def _decode(self, data):
        messages = list(self._codec.reader(self._max_bytes).feed(data))
        if len(messages) != 1 or isinstance(messages[0], Part):
            raise MalformedMessageError("parts do not form exactly one message")
        return messages[0]
