"""Attempts at targets that send without end, or are removed meanwhile."""

import asyncio
from collections.abc import AsyncIterator, Callable
import time
from typing import Final
import unittest

from tests.test_deployment import make_announcement
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

REJECTION: Final = (
    b"HTTP/1.1 503 Busy\r\nx-attempt-id: a\r\nx-not-executed: 1\r\n"
    b"content-length: 99999999\r\n\r\n"
)
UNFRAMED: Final = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n"
    b"x-response-signature: s\r\nconnection: close\r\n\r\n"
)
WAIT_S: Final = 20.0


async def empty_body() -> AsyncIterator[bytes]:
    """Yield nothing, as an empty body."""
    return
    yield b""


def make_request() -> SteerRequest:
    """Return a request with an id."""
    headers = ((b"host", b"h"), (b"x-attempt-id", b"a"))
    return SteerRequest(
        "a",
        "GET",
        "h",
        "/",
        "/",
        headers,
        None,
        "",
        1.0,
        empty_body(),
        False,
        0,
    )


class EndlessAttemptTest(unittest.IsolatedAsyncioTestCase):
    """The target writes until the VM closes the connection."""

    async def run_attempt(
        self, head: bytes, body_part: bytes, left_s: float
    ) -> tuple[AttemptResult, asyncio.Event]:
        """Return the result, and an event set after the connection closed."""
        closed = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                writer.write(head)
                while True:
                    writer.write(body_part)
                    await writer.drain()
                    await asyncio.sleep(0.001)
            except OSError:
                closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        announcement = make_announcement(address=f"127.0.0.1:{port}")
        record = TargetRecord(announcement, "south", 0.0)
        connections = TargetConnections(PlatformTargetWire())
        self.addCleanup(connections.close)
        deadline_s = time.monotonic() + left_s
        began = asyncio.Event()
        attempt = Attempt(
            make_request(),
            record,
            None,
            b"",
            deadline_s,
            on_send=began.set,
        )
        result = await connections.send(attempt)
        self.assertTrue(began.is_set())
        return result, closed

    async def test_refusal_with_a_body_without_end(self) -> None:
        """The attempt ends at once, not at the caller's deadline."""
        async with asyncio.timeout(WAIT_S):
            for body_part in (b"x" * 65536, b"x"):
                result, closed = await self.run_attempt(
                    REJECTION, body_part, 60.0
                )
                self.assertIs(Outcome.NOT_RUN, result.outcome)
                await closed.wait()

    async def test_answer_without_end_stays_broken(self) -> None:
        """The caller gets the part that was read, then `ResponseBroken`."""
        async with asyncio.timeout(WAIT_S):
            result, closed = await self.run_attempt(
                UNFRAMED, b"x" * 65536, 0.5
            )
            assert result.response is not None, "the response has begun"
            body = result.response.body
            assert not isinstance(body, bytes), "the body is streamed"
            with self.assertRaises(ResponseBroken):
                async for _ in body:
                    continue
            await closed.wait()


class WithdrawnAttemptTest(unittest.IsolatedAsyncioTestCase):
    """What is known changes while an attempt waits for a connection."""

    async def check_nothing_is_sent(
        self, change: Callable[[TargetRecords, set[str]], object]
    ) -> None:
        """Check an attempt during which records or limited ids change."""
        request_received = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if await reader.read(1):
                request_received.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        target_records = TargetRecords()
        announcement = make_announcement(address=f"127.0.0.1:{port}")
        target_records.apply_changes((announcement,), (), {}, 1.0)
        record = target_records.get(announcement.target_id)
        assert record is not None, "the target was announced"
        connections = TargetConnections(PlatformTargetWire())
        self.addCleanup(connections.close)
        deadline_s = time.monotonic() + WAIT_S
        limited_ids: set[str] = set()
        attempt = Attempt(
            make_request(),
            record,
            None,
            b"",
            deadline_s,
            lambda: record.target_id not in limited_ids,
            request_received.set,
        )
        sending = asyncio.create_task(connections.send(attempt))
        await asyncio.sleep(0)
        change(target_records, limited_ids)
        result = await sending
        self.assertIs(Outcome.WITHDRAWN, result.outcome)
        self.assertFalse(request_received.is_set())

    async def test_target_that_leaves_before_the_send_gets_nothing(
        self,
    ) -> None:
        target_id = make_announcement().target_id
        await self.check_nothing_is_sent(
            lambda records, _: records.apply_changes((), (target_id,), {}, 1.1)
        )

    async def test_target_limited_before_the_send_gets_nothing(self) -> None:
        target_id = make_announcement().target_id
        await self.check_nothing_is_sent(
            lambda _, limited_ids: limited_ids.add(target_id)
        )
