"""Assembly of long messages that arrive in parts."""

from monsoonmill.codec import Codec
from monsoonmill.errors import FrameTooLargeError, MalformedMessageError
from monsoonmill.messages import Part

MAX_TRANSFERS = 256
"""Long messages that one stream may have under way."""


class Assembly:
    """Joins the parts of each long message of one stream.

    Parameters
    ----------
    max_bytes : int
        Largest long message that is accepted.
    """

    def __init__(self, codec: Codec, max_bytes: int):
        self._codec = codec
        self._max_bytes = max_bytes
        self._transfers: dict[int, bytearray] = {}

    def add(self, part: Part) -> object | None:
        """Take a part; return the message that it completes, if any.

        Raises
        ------
        ProtocolError
            A message is too large, or there are too many of them.
        """
        data = self._transfers.setdefault(part.transfer, bytearray())
        if len(self._transfers) > MAX_TRANSFERS:
            raise FrameTooLargeError(f"more than {MAX_TRANSFERS} transfers")
        if len(data) + len(part.data) > self._max_bytes:
            raise FrameTooLargeError(f"a message exceeds {self._max_bytes} bytes")
        data += part.data
        if not part.last:
            return None
        return self._decode(bytes(self._transfers.pop(part.transfer)))

    def _decode(self, data):
        messages = list(self._codec.reader(self._max_bytes).feed(data))
        if len(messages) != 1 or isinstance(messages[0], Part):
            raise MalformedMessageError("parts do not make up one message")
        return messages[0]
