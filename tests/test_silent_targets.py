"""Targets that were silent for a while and go on."""

import asyncio
import unittest

from tests.test_deployment import make_announcement
from tests.test_full_disk import GroupTestCase, NAMES
from tests.virtual_time import run_virtual
from wigeonford.control import ColdClock, TargetService
from wigeonford.control._steering import SteeringState
from wigeonford.control._steering_commands import (
    AnnounceTargets,
    RemoveTargets,
)
from wigeonford.control._target_service import TARGET_EXPIRY_S
from wigeonford.deployment import AnnouncementEffect, TargetTable
from wigeonford.events import EventLog

BORN_MS = 1000


class ReturnTest(unittest.TestCase):
    """Remove a target for its silence, and let it announce itself again."""

    def setUp(self) -> None:
        self.table = TargetTable()
        self.table.put(1, make_announcement(sequence=5))

    def test_silent_target_returns_with_its_next_announcement(self) -> None:
        self.table.remove(2, "t-1", may_return=True)
        for late in (
            make_announcement(sequence=5),
            make_announcement(sequence=9, born_ms=BORN_MS - 1),
        ):
            self.assertIs(
                AnnouncementEffect.STALE, self.table.classify(late, 0.0)
            )
        self.assertTrue(self.table.put(3, make_announcement(sequence=6)))
        self.assertEqual([], list(self.table.removed_since(0)))
        self.table.remove(4, "t-1")
        self.assertFalse(self.table.put(5, make_announcement(sequence=7)))

    def test_target_that_was_leaving_stays_out(self) -> None:
        self.table.put(2, make_announcement(sequence=6, is_draining=True))
        self.table.remove(3, "t-1", may_return=True)
        self.assertFalse(self.table.put(4, make_announcement(sequence=7)))

    def test_address_of_a_successor_is_not_taken_back(self) -> None:
        self.table.remove(2, "t-1", may_return=True)
        successor = make_announcement(target_id="t-2", born_ms=BORN_MS + 1)
        self.assertTrue(self.table.put(3, successor))
        self.assertFalse(self.table.put(4, make_announcement(sequence=6)))

    def test_return_is_kept_across_a_snapshot(self) -> None:
        state = SteeringState()
        state.apply(AnnounceTargets((make_announcement(sequence=5),)))
        removed = (("t-1", BORN_MS),)
        state.apply(RemoveTargets(removed, may_return=True))
        state = SteeringState.restore(state.snapshot())
        state.apply(AnnounceTargets((make_announcement(sequence=5),)))
        self.assertIsNone(state.targets.get("t-1"))
        state.apply(AnnounceTargets((make_announcement(sequence=6),)))
        self.assertIsNotNone(state.targets.get("t-1"))


class SilentRegionTest(GroupTestCase):
    """Lose the announcements of all targets of a region for a while."""

    def make_services(self) -> dict[str, TargetService]:
        return {
            name: TargetService(
                replica,
                ColdClock(),
                EventLog(),
                asyncio.get_running_loop().time,
            )
            for name, replica in self.group.replicas.items()
        }

    async def announce(
        self, service: TargetService, sequence: int
    ) -> set[AnnouncementEffect]:
        """Announce three targets; return the outcomes."""
        return {
            await service.announce(
                make_announcement(
                    target_id=f"t-{number}",
                    address=f"10.0.0.{number}:80",
                    sequence=sequence,
                )
            )
            for number in range(1, 4)
        }

    # Announcements got 409 for good once a target had been silent (review/3).
    def test_targets_return_across_leaders_and_restarts(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            services = self.make_services()
            await self.announce(services[leader], 5)
            now_s = asyncio.get_running_loop().time()
            await services[leader]._expire_silent(now_s)
            later_s = now_s + TARGET_EXPIRY_S + 1.0
            await services[leader]._expire_silent(later_s)
            targets = self.group.replicas[leader].state.steering.targets
            self.assertEqual(0, len(targets))
            await self.group.stop(leader)
            successor = await self.group.until_led()
            for name in list(self.group.replicas):
                await self.group.stop(name)
            for name in NAMES:
                await self.group.start(name)
            await self.group.until_led()
            services = self.make_services()
            async with asyncio.timeout(20.0):
                await self.group.replicas[successor].read_barrier()
            outcomes = await self.announce(services[successor], 6)
            self.assertEqual({AnnouncementEffect.CHANGED}, outcomes)
            await self.stop_all()

        run_virtual(run())
