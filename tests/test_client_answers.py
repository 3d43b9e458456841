"""Stray, early and malformed responses on one client connection."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final
import unittest

from wigeonford.http import (
    ClientConnection,
    ExchangeFailed,
    find_header,
    Headers,
    read_body,
    ResponseOwner,
)
from wigeonford.settings import Address

REQUEST_HEADERS = ((b"host", b"x"), (b"x-id", b"2"))
OWN_RESPONSE = b"HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 3\r\n\r\nown"
STRAY_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\nstray"
)


def is_ours(headers: Headers) -> ResponseOwner:
    """Return whether a response carries the request's ID."""
    is_own = find_header(headers, b"x-id") == "2"
    return ResponseOwner.OWN if is_own else ResponseOwner.OTHER


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Run a server that sends fixed bytes for any request."""

    async def connect(
        self, *parts: bytes, reset: bool = False
    ) -> ClientConnection:
        """Return a connection whose first request gets `parts`."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            if reset:
                writer.transport.abort()
            elif b"close" in parts[0]:
                writer.close()
            else:
                await reader.read()
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(self.close_server, server)
        port = server.sockets[0].getsockname()[1]
        conn = await ClientConnection.open(Address("127.0.0.1", port), 5.0)
        self.addCleanup(conn.close)
        return conn

    async def close_server(self, server: asyncio.Server) -> None:
        """Close the listener of a server."""
        server.close()

    async def test_stray_answer_is_read_past(self) -> None:
        conn = await self.connect(
            STRAY_RESPONSE + OWN_RESPONSE[:20], OWN_RESPONSE[20:]
        )
        response = await conn.exchange(
            "GET", "/", REQUEST_HEADERS, b"", is_ours
        )
        self.assertEqual(b"own", await read_body(response))
        self.assertTrue(conn.is_reusable)

    async def test_bytes_after_an_answer_end_the_connection(self) -> None:
        conn = await self.connect(OWN_RESPONSE + STRAY_RESPONSE)
        response = await conn.exchange(
            "GET", "/", REQUEST_HEADERS, b"", is_ours
        )
        self.assertEqual(b"own", await read_body(response))
        self.assertFalse(conn.is_reusable)

    async def test_late_stray_answer_ends_an_idle_connection(self) -> None:
        conn = await self.connect(OWN_RESPONSE, STRAY_RESPONSE)
        response = await conn.exchange(
            "GET", "/", REQUEST_HEADERS, b"", is_ours
        )
        await read_body(response)
        async with asyncio.timeout(5.0):
            while conn.is_reusable:
                await asyncio.sleep(0.01)

    async def test_cut_answer_is_broken(self) -> None:
        conn = await self.connect(OWN_RESPONSE[:-1] + b"", reset=True)
        with self.assertRaises(ExchangeFailed):
            response = await conn.exchange(
                "GET", "/", REQUEST_HEADERS, b"", is_ours
            )
            await read_body(response)

    async def test_answer_without_length_ends_with_its_connection(
        self,
    ) -> None:
        head_without_length = (
            b"HTTP/1.1 200 OK\r\nx-id: 2\r\nconnection: close\r\n\r\n"
        )
        conn = await self.connect(head_without_length, b"whole")
        response = await conn.exchange(
            "GET", "/", REQUEST_HEADERS, b"", is_ours
        )
        self.assertEqual(b"whole", await read_body(response))
        self.assertFalse(conn.is_reusable)

    async def test_no_answer_in_the_protocol_is_broken(self) -> None:
        conn = await self.connect(b"nonsense\r\n\r\n")
        with self.assertRaises(ExchangeFailed):
            await conn.exchange("GET", "/", REQUEST_HEADERS, b"", is_ours)

    async def test_answer_may_come_before_the_body_is_sent(self) -> None:
        conn = await self.connect(OWN_RESPONSE)
        never_set = asyncio.Event()

        async def body() -> AsyncIterator[bytes]:
            yield b"begin"
            await never_set.wait()

        headers = (*REQUEST_HEADERS, (b"transfer-encoding", b"chunked"))
        response = await conn.exchange("POST", "/", headers, body(), is_ours)
        self.assertEqual(b"own", await read_body(response))
        self.assertFalse(conn.is_reusable)

    async def test_stated_idle_time_is_kept(self) -> None:
        keep_alive_response = OWN_RESPONSE.replace(
            b"content-length", b"keep-alive: timeout=4\r\ncontent-length"
        )
        conn = await self.connect(keep_alive_response)
        response = await conn.exchange(
            "GET", "/", REQUEST_HEADERS, b"", is_ours
        )
        await read_body(response)
        self.assertLessEqual(conn.idle_limit_s, 4.0)


FILLER: Final = b"x" * 4096


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    """Run a server that sends endless bytes until the client closes."""

    async def connect(
        self, start: bytes, repeated: bytes
    ) -> tuple[ClientConnection, asyncio.Future[int]]:
        """Return a connection and the number of bytes the server sent."""
        sent_bytes: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            count = 0
            try:
                writer.write(start)
                while True:
                    writer.write(repeated)
                    count += len(repeated)
                    await writer.drain()
            except OSError:
                sent_bytes.set_result(count)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        conn = await ClientConnection.open(Address("127.0.0.1", port), 5.0)
        self.addCleanup(conn.close)
        return conn, sent_bytes

    async def check_exchange_fails(
        self, start: bytes, repeated: bytes
    ) -> None:
        conn, sent_bytes = await self.connect(start, repeated)
        async with asyncio.timeout(10.0):
            with self.assertRaises(ExchangeFailed):
                await conn.exchange("GET", "/", REQUEST_HEADERS, b"", is_ours)
            self.assertFalse(conn.is_reusable)
            self.assertLess(await sent_bytes, 1 << 25)

    async def test_head_without_end(self) -> None:
        await self.check_exchange_fails(b"", FILLER)

    async def test_header_without_end(self) -> None:
        await self.check_exchange_fails(b"HTTP/1.1 200 OK\r\nx-a: ", FILLER)

    async def test_interim_answers_without_end(self) -> None:
        await self.check_exchange_fails(
            b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"
        )

    async def test_stray_answer_without_end(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9999999999"
        await self.check_exchange_fails(start + b"\r\n\r\n", FILLER)

    async def test_chunk_head_without_end(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nx-id: 2\r\ntransfer-encoding: chunked"
        conn, sent_bytes = await self.connect(start + b"\r\n\r\n", b"1" * 4096)
        async with asyncio.timeout(10.0):
            with self.assertRaises(ExchangeFailed):
                response = await conn.exchange(
                    "GET", "/", REQUEST_HEADERS, b"", is_ours
                )
                await read_body(response)
            self.assertLess(await sent_bytes, 1 << 25)
