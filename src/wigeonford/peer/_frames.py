"""Frames on links between processes: CBOR, compressed if large."""

from typing import Any, Final
import zlib

import cbor2

from wigeonford.codec import CodecError, decode_cbor

MAX_MESSAGE_BYTES: Final = 1 << 26
MIN_COMPRESSED_BYTES: Final = 512
"""Size from which a frame is compressed; smaller ones hardly shrink."""
COMPRESSION_LEVEL: Final = 1
"""Fastest level of zlib; it compresses a deployment to a quarter of its size
in a millisecond."""
_ARRAY_OF_TWO: Final = 0x82
"""First byte of an uncompressed frame: a CBOR array of two elements. No zlib
stream begins with it."""


def encode_frame(request_id: int, plain: Any) -> bytes:
    """Return the bytes of a frame with a request id and a message."""
    content = cbor2.dumps([request_id, plain])
    if len(content) < MIN_COMPRESSED_BYTES:
        return content
    return zlib.compress(content, COMPRESSION_LEVEL)


def decode_frame(data: bytes | str) -> tuple[Any, Any]:
    """Return a frame's request id and message; raise `CodecError`."""
    if not isinstance(data, bytes) or not data:
        raise CodecError("a frame must be non-empty binary data")
    frame = decode_cbor(
        data if data[0] == _ARRAY_OF_TWO else _decompress(data)
    )
    if not isinstance(frame, list) or len(frame) != 2:
        raise CodecError("a frame must hold a request id and a message")
    if type(frame[0]) is not int:
        raise CodecError("the request id of a frame must be a whole number")
    return frame[0], frame[1]


def _decompress(data: bytes) -> bytes:
    """Return the content, of at most `MAX_MESSAGE_BYTES`."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise CodecError(f"a frame can't be decompressed: {exc}") from exc
    if not decompressor.eof:
        raise CodecError("a frame is truncated or too large")
    return content
