"""A replica looks after its place in the group, and ends with its disk."""

import asyncio
import random
from typing import Any
import unittest

from wigeonford.control._group_service import GroupService
from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.steering import JoinGroup
from wigeonford.peer import PeerClient
from wigeonford.settings import Address


class Replica:
    """Stand in for a replica: what it hears, and whether its disk works."""

    def __init__(self) -> None:
        self.failure: str | None = None
        self.leader: str | None = None
        self.is_leader = False
        self.incarnation = "i"

    def members(self) -> tuple[str, ...]:
        """Return the group's addresses."""
        return ("127.0.0.1:2",)


class Client:
    """Stand in for a link to a replica that can't be reached."""

    asked: int = 0

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Count and fail."""
        assert isinstance(record, JoinGroup), "what a lost replica asks"
        Client.asked += 1
        raise PeerError(Code.PEER_UNREACHABLE, "nobody")

    async def close(self) -> None:
        """Return: there is nothing to close."""


class GroupServiceTest(unittest.IsolatedAsyncioTestCase):
    """Play one replica."""

    async def asyncSetUp(self) -> None:
        self.replica = Replica()
        self.ended = asyncio.Event()
        self.service = GroupService(
            "127.0.0.1:1",
            self.replica,  # type: ignore[arg-type]
            lambda: ("127.0.0.1:3",),
            self.connect,
            EventLog(),
            random.Random(1),
            self.ended.set,
        )
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    def connect(self, _address: Address) -> PeerClient:
        return Client()  # type: ignore[return-value]

    async def test_a_failed_disk_ends_the_process(self) -> None:
        self.replica.leader = "127.0.0.1:2"
        self.replica.failure = "no space left on device"
        async with asyncio.timeout(20.0):
            await self.ended.wait()

    async def test_a_replica_without_a_leader_asks_all_it_knows(self) -> None:
        Client.asked = 0
        async with asyncio.timeout(20.0):
            while Client.asked < 2:
                await asyncio.sleep(0.01)
        self.assertFalse(self.ended.is_set())
