"""A target answers before it has read a body, and reads on later."""

import asyncio
import socket
from typing import Final
import unittest

from tests.virtual_time import run_virtual
from wigeonford.http import ConnectionPool, read_body
from wigeonford.settings import Address

BODY_BYTES: Final = 900_000
"""Less than a VM gathers before it sends a body."""
READ_BYTES: Final = 60_000
RECEIVE_BUFFER_BYTES: Final = 4096
READS_ON_AFTER_S: Final = 4.0
MAX_WAIT_S: Final = 1.0
OK: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer requests; one with a body before it is read."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2]
            size = int(length.split()[0])
            if size:
                await reader.readexactly(READ_BYTES)
            writer.write(OK)
            if size:
                await asyncio.sleep(READS_ON_AFTER_S)
                await reader.readexactly(size - READ_BYTES)
    except (OSError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


class UnsentBodyTest(unittest.TestCase):
    """Send a request after one that was answered before it was read."""

    async def exchange(
        self, pool: ConnectionPool, address: Address, body: bytes
    ) -> float:
        """Make an exchange; return how long it took."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        conn, _ = await pool.acquire(address)
        head = ((b"host", b"h"), (b"content-length", b"%d" % len(body)))
        response = await conn.exchange("POST", "/", head, body)
        await read_body(response)
        pool.release(conn)
        return loop.time() - began_s

    def test_next_request_does_not_wait_for_the_rest_of_a_body(self) -> None:
        async def run() -> list[float]:
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.bind(("127.0.0.1", 0))
            server = await asyncio.start_server(_serve, sock=sock, limit=4096)
            pool = ConnectionPool()
            address = Address(*sock.getsockname())
            try:
                return [
                    await self.exchange(pool, address, body)
                    for body in (b"", b"b" * BODY_BYTES, b"", b"")
                ]
            finally:
                pool.close()
                server.close()
                await asyncio.sleep(1.0)

        took_s = run_virtual(run())
        self.assertLess(max(took_s), MAX_WAIT_S, took_s)
