"""Outgoing frames of a stream: short ones pass between the parts of long ones."""

from collections import deque
from itertools import count

from attrs import define, frozen

from monsoonmill.codec import Codec
from monsoonmill.messages import Part

SHORT_FRAMES_PER_PART = 16
"""Short frames that may go out before a long message's next part."""


@frozen
class ShortFrame:
    """An encoded message that travels in one piece."""

    message: object
    data: bytes


@define
class Transfer:
    """An encoded message that travels in parts."""

    number: int
    message: object
    data: bytes
    position: int = 0


class Lanes:
    """Frames that wait to be written to a stream.

    A short frame waits for one part of a long message at most; long messages
    take turns.
    """

    def __init__(self, codec: Codec, chunk_bytes: int):
        self._codec = codec
        self._chunk_bytes = chunk_bytes
        self._short: deque[ShortFrame] = deque()
        self._transfers: deque[Transfer] = deque()
        self._numbers = count(1)
        self._since_part = 0

    def __bool__(self):
        return bool(self._short or self._transfers)

    def has(self, may_send_part: bool) -> bool:
        """Return whether a frame may go out."""
        return bool(self._short or (may_send_part and self._transfers))

    def put(self, message: object) -> None:
        """Append a message."""
        data = self._codec.encode(message)
        if len(data) <= self._chunk_bytes:
            self._short.append(ShortFrame(message, data))
        else:
            self._transfers.append(Transfer(next(self._numbers), message, data))

    def next_frame(self, may_send_part: bool) -> bytes | None:
        """Return the next bytes to write, or None if nothing may go out."""
        part_is_due = self._transfers and may_send_part
        if self._short and not (
            part_is_due and self._since_part >= SHORT_FRAMES_PER_PART
        ):
            self._since_part += 1
            return self._short.popleft().data
        if part_is_due:
            self._since_part = 0
            return self._next_part()
        return None

    def _next_part(self):
        transfer = self._transfers.popleft()
        end = transfer.position + self._chunk_bytes
        piece = transfer.data[transfer.position : end]
        transfer.position = end
        is_last = end >= len(transfer.data)
        if not is_last:
            self._transfers.append(transfer)
        return self._codec.encode(Part(transfer.number, is_last, piece))

    def unsent(self):
        """Yield the messages of which no byte has been taken."""
        for frame in self._short:
            yield frame.message
        for transfer in self._transfers:
            if transfer.position == 0:
                yield transfer.message
