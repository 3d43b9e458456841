"""Odd answers of servers, read by a client on one connection."""

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
)
from wigeonford.settings import Address

HEAD = ((b"host", b"x"), (b"x-id", b"2"))
OWN = b"HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 3\r\n\r\nown"
STRAY = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\nstray"


def is_own(headers: Headers) -> bool:
    """Tell whether an answer bears the request's id."""
    return find_header(headers, b"x-id") == "2"


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """The server sends bytes as told, whatever it is asked."""

    async def connect(
        self, *parts: bytes, reset: bool = False
    ) -> ClientConnection:
        """Return a connection whose first request gets these bytes."""

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
        self.addAsyncCleanup(self.close, server)
        port = server.sockets[0].getsockname()[1]
        conn = await ClientConnection.open(Address("127.0.0.1", port), 5.0)
        self.addCleanup(conn.close)
        return conn

    async def close(self, server: asyncio.Server) -> None:
        """Close a server."""
        server.close()

    async def test_stray_answer_is_read_past(self) -> None:
        conn = await self.connect(STRAY + OWN[:20], OWN[20:])
        answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
        self.assertEqual(b"own", await read_body(answer))
        self.assertTrue(conn.is_reusable)

    async def test_bytes_after_an_answer_end_the_connection(self) -> None:
        conn = await self.connect(OWN + STRAY)
        answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
        self.assertEqual(b"own", await read_body(answer))
        self.assertFalse(conn.is_reusable)

    async def test_late_stray_answer_ends_an_idle_connection(self) -> None:
        conn = await self.connect(OWN, STRAY)
        answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
        await read_body(answer)
        async with asyncio.timeout(5.0):
            while conn.is_reusable:
                await asyncio.sleep(0.01)

    async def test_cut_answer_is_broken(self) -> None:
        conn = await self.connect(OWN[:-1] + b"", reset=True)
        with self.assertRaises(ExchangeFailed):
            answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
            await read_body(answer)

    async def test_answer_without_length_ends_with_its_connection(
        self,
    ) -> None:
        unframed = b"HTTP/1.1 200 OK\r\nx-id: 2\r\nconnection: close\r\n\r\n"
        conn = await self.connect(unframed, b"whole")
        answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
        self.assertEqual(b"whole", await read_body(answer))
        self.assertFalse(conn.is_reusable)

    async def test_no_answer_in_the_protocol_is_broken(self) -> None:
        conn = await self.connect(b"nonsense\r\n\r\n")
        with self.assertRaises(ExchangeFailed):
            await conn.exchange("GET", "/", HEAD, b"", is_own)

    async def test_answer_may_come_before_the_body_is_sent(self) -> None:
        conn = await self.connect(OWN)
        go_on = asyncio.Event()

        async def body() -> AsyncIterator[bytes]:
            yield b"begin"
            await go_on.wait()

        head = (*HEAD, (b"transfer-encoding", b"chunked"))
        answer = await conn.exchange("POST", "/", head, body(), is_own)
        self.assertEqual(b"own", await read_body(answer))
        self.assertFalse(conn.is_reusable)

    async def test_stated_idle_time_is_kept(self) -> None:
        framed = OWN.replace(
            b"content-length", b"keep-alive: timeout=4\r\ncontent-length"
        )
        conn = await self.connect(framed)
        answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
        await read_body(answer)
        self.assertLessEqual(conn.idle_limit_s, 4.0)


ENDLESS: Final = b"x" * 4096


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    """The server sends bytes that are no answer until the client closes."""

    async def connect(
        self, start: bytes, more: bytes
    ) -> tuple[ClientConnection, asyncio.Future[int]]:
        """Return a connection, and what the server could send in all."""
        sent: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            count = 0
            try:
                writer.write(start)
                while True:
                    writer.write(more)
                    count += len(more)
                    await writer.drain()
            except OSError:
                sent.set_result(count)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        conn = await ClientConnection.open(Address("127.0.0.1", port), 5.0)
        self.addCleanup(conn.close)
        return conn, sent

    async def check_broken(self, start: bytes, more: bytes) -> None:
        conn, sent = await self.connect(start, more)
        async with asyncio.timeout(10.0):
            with self.assertRaises(ExchangeFailed):
                await conn.exchange("GET", "/", HEAD, b"", is_own)
            self.assertFalse(conn.is_reusable)
            self.assertLess(await sent, 1 << 25)

    async def test_head_without_end(self) -> None:
        await self.check_broken(b"", ENDLESS)

    async def test_header_without_end(self) -> None:
        await self.check_broken(b"HTTP/1.1 200 OK\r\nx-a: ", ENDLESS)

    async def test_interim_answers_without_end(self) -> None:
        await self.check_broken(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")

    async def test_stray_answer_without_end(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9999999999"
        await self.check_broken(start + b"\r\n\r\n", ENDLESS)

    async def test_chunk_head_without_end(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nx-id: 2\r\ntransfer-encoding: chunked"
        conn, sent = await self.connect(start + b"\r\n\r\n", b"1" * 4096)
        async with asyncio.timeout(10.0):
            with self.assertRaises(ExchangeFailed):
                answer = await conn.exchange("GET", "/", HEAD, b"", is_own)
                await read_body(answer)
            self.assertLess(await sent, 1 << 25)
