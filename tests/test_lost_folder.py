"""A replica that lost its data folder comes back under its name."""

import asyncio
from collections.abc import Callable
import random
import shutil
from typing import Any
from unittest import mock

from tests.test_full_disk import GroupTestCase, NAMES
from tests.virtual_time import run_virtual
from wigeonford.control._group_service import GroupService
from wigeonford.control._raft_node import DEFAULT_TIMING
from wigeonford.control._replica import ReplicaView
from wigeonford.events import EventLog
from wigeonford.messages.steering import JoinGroup

ELECTION_S = 3 * DEFAULT_TIMING.max_s


class LostFolderTest(GroupTestCase):
    """Take data folders away from replicas."""

    async def lose_folder(self, name: str) -> None:
        """Restart a replica with an empty data folder."""
        await self.group.stop(name)
        shutil.rmtree(self.folder / name)
        await self.group.start(name)

    def view(self, leader: str, name: str) -> ReplicaView:
        """Return a replica's entry in the leader's table."""
        status = self.group.replicas[leader].describe()
        return next(view for view in status.replicas if view.name == name)

    def isolate(self, *names: str) -> Callable[[Any, Any], bool]:
        """Return a test for messages that no isolated replica may get."""
        addresses = {
            member.peer_address
            for member in self.group._members
            if member.name in names
        }
        return lambda to, record: (
            to in addresses or getattr(record, "sender", "") in names
        )

    def test_it_joins_again_as_a_learner_with_its_new_incarnation(
        self,
    ) -> None:
        async def run() -> None:
            leader = await self.start_all()
            name = next(name for name in NAMES if name != leader)
            before = self.view(leader, name)
            await self.lose_folder(name)
            replica = self.group.replicas[name]
            self.assertNotEqual(replica.incarnation, before.incarnation)
            service = GroupService(
                "h:9",
                self.group.replicas[leader],
                lambda: (),
                mock.Mock(),
                EventLog(),
                random.Random(1),
            )
            join = JoinGroup(name, replica.incarnation, "h", 9)
            reply = await service._on_join(join)
            self.assertIn(name, reply.addresses)
            seen: list[tuple[bool, bool]] = []
            async with asyncio.timeout(20.0):
                while (False, True) not in seen or seen[-1] != (True, True):
                    view = self.view(leader, name)
                    is_new = view.incarnation == replica.incarnation
                    seen.append((view.voter, is_new))
                    await asyncio.sleep(0.01)
            # No other incarnation votes once it is known to be lost.
            self.assertEqual(
                list(dict.fromkeys(seen)),
                [(True, False), (False, True), (True, True)],
            )
            stored = await self.group.until_equal()
            for content in self.group.acked:
                self.assertEqual(stored.count(content), 1, content)
            await self.stop_all()

        run_virtual(run())

    def test_it_elects_no_leader_that_lacks_what_it_acknowledged(
        self,
    ) -> None:
        async def run() -> None:
            leader = await self.start_all()
            holder, lost, *behind = [n for n in NAMES if n != leader]
            self.group._network.is_cut = self.isolate(*behind)
            self.assertTrue(await self.group.change(leader))
            await self.group.stop(leader)
            # The change is held by the holder alone now.
            self.group._network.is_cut = self.isolate(holder)
            await self.lose_folder(lost)
            await asyncio.sleep(ELECTION_S)
            for name in (lost, *behind):
                self.assertFalse(self.group.replicas[name].is_leader, name)
            self.group._network.is_cut = lambda _to, _record: False
            self.assertEqual(await self.group.until_led(), holder)
            self.assertTrue(await self.group.change(lost))
            await self.group.start(leader)
            await asyncio.sleep(ELECTION_S)
            stored = await self.group.until_equal()
            for content in self.group.acked:
                self.assertEqual(stored.count(content), 1, content)
            await self.stop_all()

        run_virtual(run())
