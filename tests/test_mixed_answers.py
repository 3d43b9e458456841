"""Targets that answer amid an upload and reset, or with an odd status."""

import asyncio
from collections.abc import AsyncIterator
from itertools import product
import socket
import struct
from typing import Final
import unittest

from wigeonford.http import ClientConnection, ExchangeFailed, read_body
from wigeonford.settings import Address

UPLOAD_BYTES: Final = 4 << 20
"""More than the buffers of both systems take."""
PIECE_BYTES: Final = 1 << 16
PAUSES_S: Final = (0.0, 0.01, 0.05)
UNFRAMED_HEAD: Final = b"HTTP/1.1 200 OK\r\nx-id: 2\r\n\r\n"
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
ODD_STATUSES: Final = (b"000", b"001", b"099", b"-01", b"20", b"2000", b"0x1")


async def stream(size: int) -> AsyncIterator[bytes]:
    """Yield a body in pieces."""
    for _ in range(0, size, PIECE_BYTES):
        yield b"b" * PIECE_BYTES


class MixedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """What a target did not send to its end is no answer."""

    async def ask(
        self,
        parts: tuple[bytes, ...],
        body: bytes | AsyncIterator[bytes],
        pause_s: float = 0.0,
        *,
        with_linger: bool = True,
    ) -> bytes:
        """Return the body that a client gets; raise `ExchangeFailed`.

        The target sends its parts once it has read the head, then resets.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause_s)
            if with_linger:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            # Unread bytes of the upload reset the connection, too.
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        conn = await ClientConnection.open(address, 5.0, ack_timeout_s=1.5)
        length = len(body) if isinstance(body, bytes) else UPLOAD_BYTES
        headers = ((b"host", b"x"), (b"content-length", b"%d" % length))
        try:
            response = await conn.exchange("POST", "/", headers, body)
            return await read_body(response)
        finally:
            conn.close()
            server.close()

    # A part of an answer without a length counted as all of it (MIXED).
    async def test_unframed_answer_that_is_reset_amid_an_upload(self) -> None:
        for pause_s, with_linger, is_stream in product(
            PAUSES_S, (True, False), (True, False)
        ):
            body = stream(UPLOAD_BYTES) if is_stream else b"b" * UPLOAD_BYTES
            with (
                self.subTest(pause_s=pause_s, is_stream=is_stream),
                self.assertRaises(ExchangeFailed),
            ):
                await self.ask(
                    (UNFRAMED_HEAD, b"part", b"more"),
                    body,
                    pause_s,
                    with_linger=with_linger,
                )

    async def test_answer_with_a_known_status_is_whole(self) -> None:
        part = b"HTTP/1.1 200 X\r\nx-id: 2\r\ncontent-length: 2\r\n\r\nok"
        self.assertEqual(b"ok", await self.ask((part,), b"", 0.05))

    # An answer with the status 000 was passed on as one (MIXED).
    async def test_status_that_is_none(self) -> None:
        for status in ODD_STATUSES:
            part = b"HTTP/1.1 %s X\r\nx-id: 2\r\ncontent-length: 2\r\n\r\nno"
            with (
                self.subTest(status=status),
                self.assertRaises(ExchangeFailed),
            ):
                await self.ask((part % status,), b"", with_linger=False)
