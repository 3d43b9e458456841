"""Replicas whose disks stand still, or take long for each write."""

import asyncio
from collections.abc import Callable
import random
from typing import Any, cast
import unittest
from unittest import mock

from tests.test_full_disk import (
    CHANGE_INTERVAL_S,
    GroupTestCase,
    NAMES,
    run_inline,
)
from tests.test_raft import RaftMachine
from tests.virtual_time import run_virtual, VirtualLoop
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_disk import RaftDisk
from wigeonford.control._raft_driver import SLOW_SYNC_S
from wigeonford.control._raft_members import START_TERM
from wigeonford.control._raft_node import DEFAULT_TIMING
from wigeonford.control._raft_outage import StorageOutage
from wigeonford.control._store import StorageError
from wigeonford.messages.raft import AppendEntries, EntryRecord

STALL_S = 4.0
HANDED_OVER_S = SLOW_SYNC_S + DEFAULT_TIMING.min_s
"""Sooner than followers notice the silence of a leader that hands nothing
over, and that a lead which ends only then is taken over."""


class OvertakenTest(unittest.TestCase):
    """Tell from a later leader's messages what can't be committed."""

    def test_only_a_commit_of_a_later_term_overtakes(self) -> None:
        core = cast(RaftCore, mock.Mock(term=2, commit_position=4))
        new, old = EntryRecord(3, START_TERM), EntryRecord(2, START_TERM)
        for term, previous_term, entries, commit, overtakes in (
            (3, 2, (old, new), 6, False),
            (3, 2, (old, new), 7, True),
            (3, 2, (), 7, False),
            (3, 3, (), 5, True),
            (3, 3, (new,), 4, False),
            (2, 2, (old,), 6, False),
        ):
            with self.subTest(term=term, entries=entries, commit=commit):
                outage = StorageOutage(lambda: 1.0)
                record = AppendEntries(
                    "two",
                    "i",
                    term,
                    5,
                    previous_term,
                    entries,
                    commit,
                    1.0,
                    None,
                    None,
                )
                outage.reduce(record, core)
                self.assertIs(outage.is_overtaken, overtakes)


class SafetyTest(unittest.TestCase):
    """Stall disks at random; the world checks Raft's safety properties."""

    def test_stalled_disks_among_random_faults(self) -> None:
        given_up_count = 0
        for seed in range(12):
            with self.subTest(seed=seed):
                given_up_count += self.run_random_steps(seed, 200)
        self.assertGreater(given_up_count, 20)

    def run_random_steps(self, seed: int, steps: int) -> int:
        """Apply random steps; return how many entries were given up."""
        rng = random.Random(seed)
        machine = RaftMachine()
        machine.begin(5, seed)

        def stall(index: int) -> None:
            machine.world.set_stalled(machine.name(index), True)

        def end_stalls(_: int) -> None:
            for name in machine.world.names:
                machine.world.set_stalled(name, False)

        def stall_the_leader(index: int) -> None:
            end_stalls(index)
            stall(machine.world.names.index(machine.world.leader() or "c0"))
            machine.propose(rng.randint(1, 6))
            machine.advance(rng.choice([0.3, 1.0, 2.0]))

        step_functions: list[Callable[[int], None]] = [
            lambda _: machine.advance(rng.choice([0.04, 0.2, 0.6, 1.5])),
            lambda _: machine.propose(rng.randint(1, 6)),
            stall,
            stall_the_leader,
            end_stalls,
            machine.fill_disk,
            machine.make_room,
            machine.take_snapshot,
            lambda index: machine.crash_soon(index, rng.randrange(6)),
            machine.restart,
            lambda _: machine.heal(rng.choice([0.0, 0.1])),
            machine.isolate,
        ]
        weights = [14, 8, 2, 6, 3, 1, 2, 2, 1, 2, 2, 1]
        for step in rng.choices(step_functions, weights, k=steps):
            step(rng.randrange(5))
        machine.world.settle()
        return len(machine.world.given_up)


class StalledDiskTest(GroupTestCase):
    """Make changes while disks stand still."""

    async def assert_all_take_part(self) -> None:
        await asyncio.sleep(DEFAULT_TIMING.max_s)
        await super().assert_all_take_part()

    def test_a_change_at_a_stalled_leader_is_taken_by_the_next(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            loop = asyncio.get_running_loop()
            self.group.stores[leader].is_stalled = True
            started_s = loop.time()
            acked = await asyncio.gather(
                *(self.group.change(name) for name in NAMES)
            )
            self.assertEqual(acked, [True] * 5)
            self.assertLess(loop.time() - started_s, HANDED_OVER_S)
            self.assertNotEqual(await self.group.until_led(), leader)
            await asyncio.sleep(STALL_S)
            self.group.stores[leader].is_stalled = False
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_a_leader_that_handed_over_leaves_the_lead_to_the_next(
        self,
    ) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            await self.start_all()
            for step in range(20):
                leader = await self.group.until_led()
                with self.subTest(step=step):
                    self.group.stores[leader].is_stalled = True
                    started_s = loop.time()
                    changes = asyncio.gather(
                        *(self.group.change(name) for name in NAMES)
                    )
                    await asyncio.sleep(SLOW_SYNC_S + step * 0.02)
                    self.group.stores[leader].is_stalled = False
                    self.assertEqual(await changes, [True] * 5)
                    self.assertLess(loop.time() - started_s, HANDED_OVER_S)
                await asyncio.sleep(DEFAULT_TIMING.max_s)
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_a_leader_hands_over_while_its_snapshot_is_stalled(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            replica = self.group.replicas[leader]
            saved = RaftDisk.save_snapshot

            async def stall(disk: RaftDisk, *args: object) -> None:
                if disk is replica._driver._disk:
                    self.group.stores[leader].is_stalled = True
                await saved(disk, *args)  # type: ignore[arg-type]

            replica._driver._next_snapshot_position = 0
            loop = asyncio.get_running_loop()
            with mock.patch.object(RaftDisk, "save_snapshot", stall):
                await asyncio.sleep(CHANGE_INTERVAL_S)
            self.assertTrue(self.group.stores[leader].is_stalled)
            started_s = loop.time()
            self.assertTrue(await self.group.change(leader))
            self.assertLess(loop.time() - started_s, HANDED_OVER_S)
            self.group.stores[leader].is_stalled = False
            await asyncio.sleep(DEFAULT_TIMING.max_s)
            for name in NAMES:
                self.assertTrue(await self.group.change(name), name)
            await self.stop_all()

        run_virtual(run())

    def test_a_suspended_process_is_not_taken_for_a_stalled_disk(self) -> None:
        async def call(disk: RaftDisk, function: Any, *args: Any) -> Any:
            # The thread of the store was suspended as well.
            for _ in range(2):
                await asyncio.sleep(0.02)
            return await run_inline(disk, function, *args)

        async def run() -> None:
            leader = await self.start_all()
            works: list[bool] = []
            self.group.replicas[leader].on_storage_change(works.append)
            change = asyncio.create_task(self.group.change(leader))
            await asyncio.sleep(0.01)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop), "the time is virtual"
            loop.stall(SLOW_SYNC_S + CHANGE_INTERVAL_S)
            self.assertTrue(await change)
            self.assertTrue(self.group.replicas[leader].is_leader)
            self.assertEqual(works, [True])
            await self.stop_all()

        with mock.patch.object(RaftDisk, "_call", call):
            run_virtual(run())

    def test_changes_go_on_while_disks_stall_in_turn(self) -> None:
        async def run() -> None:
            await self.start_all()
            for _ in NAMES:
                name = await self.group.until_led()
                with self.subTest(name=name):
                    self.group.stores[name].is_stalled = True
                    asked_count = self.group.change_count
                    acked_count = await self.group.change_for(STALL_S)
                    asked_count = self.group.change_count - asked_count
                    self.group.stores[name].is_stalled = False
                    # What was sent to others before may be unknown.
                    self.assertGreaterEqual(acked_count, asked_count - 1)
                    await asyncio.sleep(CHANGE_INTERVAL_S)
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_a_group_of_slow_disks_takes_changes(self) -> None:
        async def run() -> None:
            await self.start_all()
            for store in self.group.stores.values():
                store.call_takes_s = 0.6 * SLOW_SYNC_S
            acked_count = await self.group.change_for(STALL_S)
            self.assertEqual(acked_count, int(STALL_S / CHANGE_INTERVAL_S) + 1)
            for store in self.group.stores.values():
                store.call_takes_s = 0.0
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_a_stalled_replica_refuses_reads_and_says_why(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            name = next(name for name in NAMES if name != leader)
            replica = self.group.replicas[name]
            works: list[bool] = []
            replica.on_storage_change(works.append)
            self.group.stores[name].is_stalled = True
            self.assertTrue(await self.group.change(leader))
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            with self.assertRaises(StorageError):
                await replica.read_barrier()
            self.assertLess(loop.time() - started_s, HANDED_OVER_S)
            self.assertTrue(await self.group.change(name))
            self.assertIsNotNone(replica.describe().failure)
            self.group.stores[name].is_stalled = False
            await asyncio.sleep(2 * CHANGE_INTERVAL_S)
            await replica.read_barrier()
            self.assertEqual(works, [True, False, True])
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())
