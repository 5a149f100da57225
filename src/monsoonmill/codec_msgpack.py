"""MessagePack codec for the streams between processes."""

from collections.abc import Iterator

from msgpack import Unpacker
from msgpack.exceptions import (
    BufferFull,
    ExtraData,
    FormatError,
    OutOfData,
    StackError,
)
from msgspec import MsgspecError, Raw
from msgspec.msgpack import Decoder, Encoder

from monsoonmill.codec import MAX_FRAME_BYTES, Codec, FrameReader
from monsoonmill.errors import (
    FrameTooLargeError,
    MalformedMessageError,
    TruncatedFrameError,
    UnknownMessageError,
)


class MsgpackCodec(Codec):
    """Codec whose frames are msgpack arrays of a type name and the fields.

    Parameters
    ----------
    types : iterable of type
        The ``attrs`` classes that can be sent; others are rejected on decoding.
    """

    def __init__(self, types):
        self.types = {cls.__name__: cls for cls in types}
        self._encoder = Encoder()
        self._envelope_decoder = Decoder(tuple[str, Raw])
        self._decoders = {name: Decoder(cls) for name, cls in self.types.items()}
        self._last_message: object = None
        self._last_frame = b""

    def encode(self, message: object) -> bytes:
        """Return the frame that encodes a message."""
        if message is self._last_message:
            # The same message object is often sent to many nodes.
            return self._last_frame
        self._last_frame = self._encoder.encode((type(message).__name__, message))
        self._last_message = message
        return self._last_frame

    def reader(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> FrameReader:
        """Return a reader for a new stream."""
        return MsgpackFrameReader(self, max_frame_bytes)

    def decode(self, frame: bytes) -> object:
        """Decode one frame.

        Raises
        ------
        MalformedMessageError
            The frame is not a pair of type name and fields, or the fields do not
            match the type.
        UnknownMessageError
            The type is not in ``types``.
        """
        try:
            name, fields = self._envelope_decoder.decode(frame)
        except (MsgspecError, RecursionError) as exc:
            raise MalformedMessageError(
                "frame is not a pair of type name and fields"
            ) from exc
        decoder = self._decoders.get(name)
        if decoder is None:
            raise UnknownMessageError(f"unknown message type {name!r}")
        try:
            return decoder.decode(fields)
        except (MsgspecError, RecursionError, ValueError, TypeError) as exc:
            raise MalformedMessageError(f"{name}: invalid fields") from exc


class MsgpackFrameReader(FrameReader):
    """Incremental reader of ``MsgpackCodec`` frames.

    ``msgpack`` finds the end of each frame, since it can parse incrementally;
    ``msgspec`` decodes complete frames into typed messages.
    """

    def __init__(self, codec: MsgpackCodec, max_frame_bytes: int):
        self._codec = codec
        self._max_frame_bytes = max_frame_bytes
        self._unpacker = Unpacker(max_buffer_size=max_frame_bytes)
        self._unread = bytearray()
        self._unread_offset = 0

    def feed(self, data: bytes) -> Iterator[object]:
        """Yield the messages completed by ``data``."""
        try:
            self._unpacker.feed(data)
        except BufferFull as exc:
            limit = self._max_frame_bytes
            raise FrameTooLargeError(f"frame exceeds {limit} bytes") from exc
        self._unread += data
        while self._skip_frame():
            yield self._codec.decode(self._take_frame())

    def _skip_frame(self):
        """Skip one frame; return whether it was complete."""
        try:
            self._unpacker.skip()
        except OutOfData:
            return False
        except (FormatError, StackError, ExtraData, ValueError, TypeError) as exc:
            raise MalformedMessageError("data is not valid msgpack") from exc
        return True

    def _take_frame(self):
        end = self._unpacker.tell()
        size = end - self._unread_offset
        frame = bytes(self._unread[:size])
        del self._unread[:size]
        self._unread_offset = end
        return frame

    @property
    def unread_bytes(self) -> int:
        """Size of the incomplete frame."""
        return len(self._unread)

    def finish(self) -> None:
        """Handle the end of the stream."""
        if self._unread:
            size = len(self._unread)
            raise TruncatedFrameError(f"stream ended {size} bytes into a frame")
