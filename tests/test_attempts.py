"""Attempts at targets that send what is no answer, without end."""

import asyncio
from collections.abc import AsyncIterator
import time
from typing import Final
import unittest

from tests.test_deployment import announce
from wigeonford.http import ResponseBroken
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.steer._attempt import (
    Attempt,
    AttemptResult,
    Outcome,
    TargetConnections,
)
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._target_records import TargetRecord, TargetRecords

REFUSAL: Final = (
    b"HTTP/1.1 503 Busy\r\nx-attempt-id: a\r\nx-not-executed: 1\r\n"
    b"content-length: 99999999\r\n\r\n"
)
UNFRAMED: Final = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n"
    b"x-response-signature: s\r\nconnection: close\r\n\r\n"
)
WAIT_S: Final = 20.0


async def no_body() -> AsyncIterator[bytes]:
    """Return a body without bytes."""
    return
    yield b""


def make_request() -> SteerRequest:
    """Return a request with an id."""
    headers = ((b"host", b"h"), (b"x-attempt-id", b"a"))
    return SteerRequest(
        "a", "GET", "h", "/", "/", headers, None, "", 1.0, no_body(), False, 0
    )


class EndlessAttemptTest(unittest.IsolatedAsyncioTestCase):
    """The target writes on until the VM closes."""

    async def attempt(
        self, start: bytes, more: bytes, left_s: float
    ) -> tuple[AttemptResult, asyncio.Event]:
        """Return an attempt's result, and whether its way was closed."""
        closed = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                writer.write(start)
                while True:
                    writer.write(more)
                    await writer.drain()
                    await asyncio.sleep(0.001)
            except OSError:
                closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        said = announce(address=f"127.0.0.1:{port}")
        record = TargetRecord(said, "south", 0.0)
        connections = TargetConnections(PlatformTargetWire())
        self.addCleanup(connections.close)
        until_s = time.monotonic() + left_s
        attempt = Attempt(make_request(), record, None, b"", until_s)
        return await connections.send(attempt), closed

    async def test_refusal_with_a_body_without_end(self) -> None:
        """It is a refusal at once, not when the caller's time is over."""
        async with asyncio.timeout(WAIT_S):
            for more in (b"x" * 65536, b"x"):
                result, closed = await self.attempt(REFUSAL, more, 60.0)
                self.assertIs(Outcome.NOT_RUN, result.outcome)
                await closed.wait()

    async def test_answer_without_end_stays_broken(self) -> None:
        """What was read goes to the caller, and breaks off as broken."""
        async with asyncio.timeout(WAIT_S):
            result, closed = await self.attempt(UNFRAMED, b"x" * 65536, 0.5)
            assert result.response is not None, "it has begun"
            body = result.response.body
            assert not isinstance(body, bytes), "it streams"
            with self.assertRaises(ResponseBroken):
                async for _ in body:
                    continue
            await closed.wait()


class LeavingAttemptTest(unittest.IsolatedAsyncioTestCase):
    """A target leaves while its attempt waits for a connection."""

    async def test_target_that_leaves_before_the_send_gets_nothing(
        self,
    ) -> None:
        got = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if await reader.read(1):
                got.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        target_records = TargetRecords()
        said = announce(address=f"127.0.0.1:{port}")
        target_records.apply_changes((said,), (), {}, 1.0)
        record = target_records.get(said.target_id)
        assert record is not None, "followed"
        connections = TargetConnections(PlatformTargetWire())
        self.addCleanup(connections.close)
        until_s = time.monotonic() + WAIT_S
        attempt = Attempt(make_request(), record, None, b"", until_s)
        sending = asyncio.create_task(connections.send(attempt))
        await asyncio.sleep(0)
        target_records.apply_changes((), (said.target_id,), {}, 1.1)
        result = await sending
        self.assertIs(Outcome.WITHDRAWN, result.outcome)
        self.assertFalse(got.is_set())
