"""Send queue of a peer stream; interleaves short messages with parts of long ones."""

from collections import deque
from itertools import count

from attrs import define

from monsoonmill.codec import Codec
from monsoonmill.messages import Part
from monsoonmill.value_classes import frozen

FRAME_BYTES = 200
"""Memory of a waiting frame besides its encoding: its message and two objects."""
SHORT_FRAMES_PER_PART = 16
"""Maximum number of short frames sent between two parts of long messages."""


@frozen
class ShortFrame:
    """An encoded message that is sent as a single frame."""

    message: object
    data: bytes


@define
class Transfer:
    """An encoded message that is sent in parts."""

    number: int
    message: object
    data: bytes
    position: int = 0


class SendQueue:
    """Messages waiting to be written to a stream.

    A short frame waits for at most one part of a long message. Short frames cannot
    starve long messages: a part is sent after ``SHORT_FRAMES_PER_PART`` of them.
    Long messages are sent round-robin, one part at a time.

    Parameters
    ----------
    chunk_bytes : int
        Messages whose encoding is longer are sent in parts of this size.

    Attributes
    ----------
    held_bytes : int
        Memory of the waiting messages.
    """

    def __init__(self, codec: Codec, chunk_bytes: int):
        self._codec = codec
        self._chunk_bytes = chunk_bytes
        self.held_bytes = 0
        self._short_frames: deque[ShortFrame] = deque()
        self._transfers: deque[Transfer] = deque()
        self._transfer_numbers = count(1)
        self._short_frames_since_part = 0
        self._last_frame: ShortFrame | None = None

    def __bool__(self):
        return bool(self._short_frames or self._transfers or self._last_frame)

    def has_frame(self, may_send_part: bool) -> bool:
        """Return whether a frame may be sent now."""
        has_part = may_send_part and self._transfers
        return bool(self._short_frames or has_part or self._may_send_last_frame())

    def _may_send_last_frame(self):
        return self._last_frame is not None and not self._transfers

    def put(self, message: object) -> int:
        """Encode and append a message; return the size of its encoding in bytes."""
        data = self._codec.encode(message)
        self.held_bytes += len(data) + FRAME_BYTES
        if len(data) <= self._chunk_bytes:
            self._short_frames.append(ShortFrame(message, data))
        else:
            self._transfers.append(
                Transfer(next(self._transfer_numbers), message, data)
            )
        return len(data)

    def put_last(self, message: object) -> int:
        """Encode a message that is sent when no other one is left."""
        data = self._codec.encode(message)
        self._last_frame = ShortFrame(message, data)
        return len(data)

    def next_frame(self, may_send_part: bool) -> bytes | None:
        """Remove and return the next frame; None if none may be sent.

        Parameters
        ----------
        may_send_part : bool
            Whether parts of long messages may be sent now.
        """
        can_send_part = self._transfers and may_send_part
        if self._short_frames and not (
            can_send_part and self._short_frames_since_part >= SHORT_FRAMES_PER_PART
        ):
            self._short_frames_since_part += 1
            data = self._short_frames.popleft().data
            self.held_bytes -= len(data) + FRAME_BYTES
            return data
        if can_send_part:
            self._short_frames_since_part = 0
            return self._next_part()
        if self._may_send_last_frame():
            frame, self._last_frame = self._last_frame, None
            return frame.data
        return None

    def _next_part(self):
        transfer = self._transfers.popleft()
        end = transfer.position + self._chunk_bytes
        chunk = transfer.data[transfer.position : end]
        transfer.position = end
        is_last = end >= len(transfer.data)
        if is_last:
            self.held_bytes -= len(transfer.data) + FRAME_BYTES
        else:
            self._transfers.append(transfer)
        return self._codec.encode(Part(transfer.number, is_last, chunk))

    @property
    def transfer_count(self) -> int:
        """Number of long messages that are not sent completely."""
        return len(self._transfers)

    def unsent_messages(self):
        """Yield the messages of which no byte has been sent."""
        for frame in self._short_frames:
            yield frame.message
        for transfer in self._transfers:
            if transfer.position == 0:
                yield transfer.message
