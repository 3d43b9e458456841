"""Uploads to targets that don't read for a while, and to silent ones."""

import asyncio
from collections.abc import AsyncIterator
import socket
from typing import Final
import unittest
from unittest import mock

from tests.virtual_time import run_virtual
from wigeonford.http import ClientConnection
from wigeonford.http._ack_watch import (
    AckState,
    AckWatch,
    CHECK_INTERVAL_S,
    read_ack_state,
)
from wigeonford.settings import Address

ACK_TIMEOUT_S: Final = 0.5
PAUSE_S: Final = 1.5
"""On the kernel's clock, which no test can move."""
WAIT_S: Final = 20.0
SIZES: Final = (20_000, 300_000, 3_000_000)
OK: Final = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def _stream(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), 65536):
        yield body[start : start + 65536]


class LateReaderTest(unittest.IsolatedAsyncioTestCase):
    """The server begins to read a body after a pause."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer two requests."""
        try:
            for _ in range(2):
                await asyncio.sleep(PAUSE_S)
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int(length.split()[0]))
                writer.write(OK)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def upload_twice(
        self, address: Address, size: int, *, streams: bool
    ) -> list[int]:
        """Send two uploads on a connection; return their statuses."""
        conn = await ClientConnection.open(
            address, 1.0, ack_timeout_s=ACK_TIMEOUT_S
        )
        body = b"b" * size
        length = ((b"host", b"h"), (b"content-length", b"%d" % size))
        statuses = []
        for _ in range(2):
            response = await conn.exchange(
                "POST", "/", length, _stream(body) if streams else body
            )
            assert not isinstance(response.body, bytes), "it is streamed"
            async for _chunk in response.body:
                continue
            statuses.append(response.status)
        conn.close()
        return statuses

    async def test_target_that_reads_an_upload_late_is_waited_for(
        self,
    ) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        async with asyncio.timeout(WAIT_S):
            results = await asyncio.gather(
                *(
                    self.upload_twice(address, size, streams=streams)
                    for size in SIZES
                    for streams in (False, True)
                ),
                return_exceptions=True,
            )
        self.assertEqual([[200, 200]] * len(results), results)


class AckWatchTest(unittest.TestCase):
    """Watch a connection by what the kernel tells of it."""

    def setUp(self) -> None:
        self.on_told = mock.Mock()

    def silent_after_s(self, states: list[AckState]) -> float | None:
        """Return when a connection with these states is silent."""

        async def run() -> float | None:
            loop = asyncio.get_running_loop()
            ends: list[float] = []
            steps = iter(states)
            watch = AckWatch(
                lambda: next(steps),
                1.5,
                self.on_told,
                lambda: ends.append(loop.time()),
            )
            watch.start()
            await asyncio.sleep(CHECK_INTERVAL_S * (len(states) + 0.5))
            watch.stop()
            return ends[0] if ends else None

        return run_virtual(run())

    def test_path_that_acknowledges_nothing_is_broken(self) -> None:
        states = [AckState(True, CHECK_INTERVAL_S * n) for n in range(1, 20)]
        self.assertEqual(1.75, self.silent_after_s(states))

    def test_target_that_does_not_read_is_not_broken(self) -> None:
        states = [AckState(n % 5 == 0, 10.0) for n in range(40)]
        self.assertIsNone(self.silent_after_s(states))

    def test_path_that_acknowledges_now_and_then_is_not_broken(self) -> None:
        states = [
            AckState(True, 0.01 if n % 6 == 0 else 9.0) for n in range(40)
        ]
        self.assertIsNone(self.silent_after_s(states))

    def test_first_bytes_after_a_long_idle_time_are_waited_for(self) -> None:
        states = [AckState(True, 50.0)] * 6 + [AckState(False, 0.1)] * 6
        self.assertIsNone(self.silent_after_s(states))

    def test_kernels_limit_stays_until_the_system_tells(self) -> None:
        untold = [AckState(False, 0.0)] * 8
        self.assertIsNone(self.silent_after_s(untold))
        self.on_told.assert_not_called()
        self.assertIsNone(self.silent_after_s([*untold, AckState(True, 0.0)]))
        self.on_told.assert_called_once_with()


class AckStateTest(unittest.IsolatedAsyncioTestCase):
    """Read the state of a connection from the kernel."""

    async def test_window_that_is_closed_is_told_from_silence(self) -> None:
        closed = asyncio.Event()

        async def serve(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await closed.wait()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(host, port)
        sock = writer.get_extra_info("socket")
        self.assertFalse(read_ack_state(sock).is_due)
        writer.write(b"b" * 30_000_000)
        states = []
        for _ in range(10):
            await asyncio.sleep(0.1)
            states.append(read_ack_state(sock))
        self.assertFalse(all(state.is_due for state in states[-8:]), states)
        closed.set()
        writer.transport.abort()
        await asyncio.sleep(0.1)


class SilenceLimitsTest(unittest.IsolatedAsyncioTestCase):
    """TCP_USER_TIMEOUT also decides when keep-alive probes give up."""

    async def read_options(
        self, ack_timeout_s: float | None
    ) -> tuple[int, int, int]:
        """Return whether a connection probes, from when on, and its limit."""
        server = await asyncio.start_server(
            lambda _reader, writer: writer.close(), "127.0.0.1", 0
        )
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        conn = await ClientConnection.open(
            address, 1.0, ack_timeout_s=ack_timeout_s
        )
        sock = conn._writer.get_extra_info("socket")
        tcp = socket.IPPROTO_TCP
        options = (
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            sock.getsockopt(tcp, socket.TCP_KEEPIDLE),
            sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT),
        )
        conn.close()
        server.close()
        return options

    async def test_connections_to_targets_end_soon_after_they_go_silent(
        self,
    ) -> None:
        self.assertEqual((1, 1, 1500), await self.read_options(1.5))

    async def test_other_connections_have_no_limit_of_their_own(self) -> None:
        keep_alive, _, limit_ms = await self.read_options(None)
        self.assertEqual((0, 0), (keep_alive, limit_ms))
