"""Frames on links between processes: compression and size limits."""

import json
import unittest
from unittest import mock
import zlib

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_platform_codec import CONFIGURATION
from wigeonford.codec import CodecError
from wigeonford.peer import _frames
from wigeonford.peer._frames import (
    decode_frame,
    encode_frame,
    MIN_COMPRESSED_BYTES,
)


class FrameTest(unittest.TestCase):
    """Encode and decode frames."""

    def test_small_and_large_frames_come_back(self) -> None:
        for content in ("x", "x" * MIN_COMPRESSED_BYTES, list(range(10_000))):
            self.assertEqual(
                (7, content), decode_frame(encode_frame(7, content))
            )

    def test_a_deployment_shrinks_to_a_quarter(self) -> None:
        text = json.dumps(CONFIGURATION)
        tenants = [text.replace("yefi830", f"t{n}") for n in range(50)]
        frame = encode_frame(1, tenants)
        self.assertLess(len(frame), len("".join(tenants)) / 4)

    def test_bad_frames_are_refused(self) -> None:
        large = encode_frame(1, "x" * 5000)
        for data in ("text", b"", b"\x81\x01", b"\x78\x01", large[:-9]):
            with self.subTest(data=data), self.assertRaises(CodecError):
                decode_frame(data)

    def test_a_frame_that_grows_too_large_is_refused(self) -> None:
        compressed = zlib.compress(bytes(100_000))
        with (
            mock.patch.object(_frames, "MAX_MESSAGE_BYTES", 50_000),
            self.assertRaises(CodecError),
        ):
            decode_frame(compressed)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(data=st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_refused(self, data: bytes) -> None:
        try:
            decode_frame(data)
        except CodecError:
            return
