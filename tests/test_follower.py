"""Watches of control replicas go on whatever ends one of them."""

import asyncio
import random
from typing import Any
import unittest

from wigeonford.events import EventLog
from wigeonford.messages.steering import EntryStatus, ViewNotice
from wigeonford.peer import PeerClient
from wigeonford.settings import Address
from wigeonford.steer import SuspectBook, ViewFollower


class Client:
    """Stand in for a link: the first watch raises what nobody expects."""

    asked = 0

    async def request(self, _record: Any, _timeout_s: float) -> Any:
        """Fail once, then tell that nothing is new."""
        Client.asked += 1
        if Client.asked == 1:
            raise ValueError("odd bytes")
        await asyncio.sleep(0.01)
        return ViewNotice(0, None, ())

    async def close(self) -> None:
        """Return: there is nothing to close."""


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """One error costs one watch."""

    async def test_watch_begins_anew_after_an_error(self) -> None:
        def connect(_address: Address) -> PeerClient:
            return Client()  # type: ignore[return-value]

        follower = ViewFollower(
            lambda: ("127.0.0.1:1",),
            lambda: EntryStatus("a", "i", "a:1", "z", "r", True),
            SuspectBook(),
            connect,
            EventLog(),
            random.Random(1),
        )
        await follower.start()
        async with asyncio.timeout(20.0):
            while not follower.in_touch:
                await asyncio.sleep(0.05)
        await follower.stop()
        self.assertGreater(Client.asked, 1)
