"""A replica without a leader rejoins its group; only one that stopped ends."""

import asyncio
import random
from typing import Any
import unittest

from wigeonford.control._group_service import GroupService, LEADER_LOST_AFTER_S
from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.steering import JoinGroup
from wigeonford.peer import PeerClient
from wigeonford.settings import Address


class StandInReplica:
    """Stand in for `RaftReplica`, with a settable leader and failure."""

    def __init__(self) -> None:
        self.failure: str | None = None
        self.has_stopped = False
        self.leader: str | None = None
        self.is_leader = False
        self.incarnation = "i"

    def members(self) -> tuple[str, ...]:
        """Return the group's addresses."""
        return ("127.0.0.1:2",)


class UnreachableClient:
    """Stand in for a client of an unreachable replica."""

    join_count: int = 0

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Count a join request and fail."""
        assert isinstance(record, JoinGroup), "only join requests are expected"
        UnreachableClient.join_count += 1
        raise PeerError(Code.PEER_UNREACHABLE, "unreachable")

    async def close(self) -> None:
        """Return: there is nothing to close."""


class GroupServiceTest(unittest.IsolatedAsyncioTestCase):
    """Run the group service of one replica."""

    async def asyncSetUp(self) -> None:
        self.replica = StandInReplica()
        self.process_ended = asyncio.Event()
        self.service = GroupService(
            "127.0.0.1:1",
            self.replica,  # type: ignore[arg-type]
            lambda: ("127.0.0.1:3",),
            self.connect,
            EventLog(),
            random.Random(1),
            self.process_ended.set,
        )
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    def connect(self, _address: Address) -> PeerClient:
        return UnreachableClient()  # type: ignore[return-value]

    async def test_a_replica_that_stopped_ends_the_process(self) -> None:
        self.replica.leader = "127.0.0.1:2"
        self.replica.failure = "corrupt frame"
        self.replica.has_stopped = True
        async with asyncio.timeout(20.0):
            await self.process_ended.wait()

    async def test_a_full_disk_ends_no_process(self) -> None:
        UnreachableClient.join_count = 0
        self.replica.failure = "no space left on device"
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(LEADER_LOST_AFTER_S + 1.0):
                await self.process_ended.wait()
        self.assertEqual(UnreachableClient.join_count, 0)

    async def test_a_replica_without_a_leader_asks_all_it_knows(self) -> None:
        UnreachableClient.join_count = 0
        async with asyncio.timeout(20.0):
            while UnreachableClient.join_count < 2:
                await asyncio.sleep(0.01)
        self.assertFalse(self.process_ended.is_set())
