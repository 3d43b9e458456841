"""Frames of links between processes: CBOR, compressed where large."""

from typing import Any, Final
import zlib

import cbor2

from wigeonford.codec import CodecError, decode_cbor

MAX_MESSAGE_BYTES: Final = 1 << 26
COMPRESS_BYTES: Final = 512
"""Least size that is compressed; smaller frames hardly shrink."""
LEVEL: Final = 1
"""Fastest; a deployment shrinks to a quarter in a millisecond."""
_ARRAY: Final = 0x82
"""First byte of a frame that is not compressed: an array of two."""


def encode_frame(number: int, plain: Any) -> bytes:
    """Return the bytes of a frame with an id and a message."""
    content = cbor2.dumps([number, plain])
    if len(content) < COMPRESS_BYTES:
        return content
    return zlib.compress(content, LEVEL)


def decode_frame(data: bytes | str) -> tuple[Any, Any]:
    """Return a frame's id and message; raise `CodecError`."""
    if not isinstance(data, bytes) or not data:
        raise CodecError("a frame is binary")
    frame = decode_cbor(data if data[0] == _ARRAY else _decompress(data))
    if not isinstance(frame, list) or len(frame) != 2:
        raise CodecError("a frame holds an id and a message")
    return frame[0], frame[1]


def _decompress(data: bytes) -> bytes:
    """Return the content, of bounded size whatever the data says."""
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise CodecError(f"a frame can't be decompressed: {exc}") from exc
    if not stream.eof:
        raise CodecError("a frame is cut off or too large")
    return content
