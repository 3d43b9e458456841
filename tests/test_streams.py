"""Streams of replies on a link between processes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final
import unittest

from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.steering import FetchView, FollowView
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import Address

WAIT_S: Final = 20.0
SECRET: Final = "fleet"


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Stream numbers, with `FetchView` as an example of a message."""

    async def asyncSetUp(self) -> None:
        self.stream_ended = asyncio.Event()
        self.server = PeerServer(SECRET, EventLog())
        self.server.handle_stream(FollowView, self.stream_numbers)
        address = await self.server.start(Address("127.0.0.1", 0))
        self.client = PeerClient("a", address, SECRET, EventLog())
        self.addAsyncCleanup(self.server.stop)
        self.addAsyncCleanup(self.client.close)

    async def stream_numbers(
        self, message: FollowView
    ) -> AsyncIterator[FetchView]:
        """Yield three numbers, then end, fail or wait, by the revision."""
        try:
            for number in range(3):
                yield FetchView(number)
            if message.revision == 1:
                raise PeerError(Code.NO_QUORUM, "no quorum")
            if message.revision == 2:
                await asyncio.Event().wait()
        finally:
            self.stream_ended.set()

    async def collect_numbers(self, revision: int) -> list[int]:
        """Return the numbers of a stream that the server ends."""
        replies = self.client.stream_replies(FollowView(revision), WAIT_S)
        return [reply.revision async for reply in replies]

    async def test_each_reply_comes_and_the_end_ends_it(self) -> None:
        async with asyncio.timeout(WAIT_S):
            self.assertEqual([0, 1, 2], await self.collect_numbers(0))
            self.assertEqual([0, 1, 2], await self.collect_numbers(0))

    async def test_a_failure_is_raised(self) -> None:
        async with asyncio.timeout(WAIT_S):
            with self.assertRaises(PeerError) as raised:
                await self.collect_numbers(1)
        self.assertIs(Code.NO_QUORUM, raised.exception.code)

    async def test_a_lost_link_ends_both_sides(self) -> None:
        replies = self.client.stream_replies(FollowView(2), WAIT_S)
        async with asyncio.timeout(WAIT_S):
            for number in range(3):
                self.assertEqual(number, (await anext(replies)).revision)
            await self.client.close()
            with self.assertRaises(PeerError):
                await anext(replies)
            await self.stream_ended.wait()
