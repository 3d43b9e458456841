"""The log of replicas while changes are large, in memory and on disk."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
import tempfile
import tracemalloc
import unittest
from unittest import mock

from tests.test_full_disk import GroupTestCase, NAMES
from tests.virtual_time import run_virtual
from wigeonford.control import (
    _state,
    LogEntry,
    LogFileStore,
    SoloReplica,
)
from wigeonford.control._commands import (
    ApplyChange,
    COMMANDS,
    Edit,
    ExpireMember,
)
from wigeonford.control._raft_disk import load
from wigeonford.control._raft_leader import MAX_BATCH_BYTES
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_progress import MAX_IN_FLIGHT_BYTES, Progress
from wigeonford.control._state import State
from wigeonford.control._steering import MAX_RECENT_DEPLOYMENTS, SteeringState
from wigeonford.control._steering_commands import ReplaceDeployment
from wigeonford.deployment import (
    Deployment,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)
from wigeonford.events import EventLog

ENTRY_BYTES = 1 << 18
LOG_LIMIT_BYTES = 16 << 20
"""A log of this size is applied within about two seconds."""


def large_command(number: int) -> ExpireMember:
    return ExpireMember("x" * ENTRY_BYTES, number)


def large_entry(position: int) -> LogEntry:
    return LogEntry(position, 1, COMMANDS.encode(large_command(position)))


def peak_bytes(steps: Iterator[object]) -> int:
    """Return the most memory that was in use while the steps were taken."""
    tracemalloc.start()
    try:
        kept = list(steps)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        del kept


def deployment(version: int, route_count: int) -> Deployment:
    routes = tuple(
        Route(
            f"r-{number}",
            "a.example",
            f"/p{number}/",
            RouteKind.SAFE,
            2.0 + version * (number == version),
            0.8,
            2,
            1,
            True,
            True,
            service="s",
        )
        for number in range(route_count)
    )
    service = Service("s", "/health", 100, "h1", False, 3.0, 3.7)
    limits = RequestLimits(16384, 1 << 20, 3.0, 15.0)
    return Deployment(version, (service,), limits, (), ("a.example",), routes)


class LargeChangesTest(GroupTestCase):
    """Make many large changes at five replicas."""

    def log_sizes(self) -> list[int]:
        """Return the size of each replica's log on disk and in memory."""
        sizes = [
            (self.folder / name / "control.log").stat().st_size
            for name in NAMES
        ]
        for replica in self.group.replicas.values():
            log = replica._driver.core.log
            sizes.append(
                log.bytes_between(log.base_position, log.last_position)
            )
        return sizes

    # Snapshots were taken by the number of entries alone (review/1).
    def test_log_of_large_changes_stays_small(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            largest = 0
            for number in range(160):
                await self.group.replicas[leader].propose(
                    large_command(number)
                )
                largest = max(largest, *self.log_sizes())
            await self.stop_all()
            self.assertLess(largest, LOG_LIMIT_BYTES)
            for name in NAMES:
                await self.group.start(name)
            await self.group.until_led()
            await self.assert_all_follow()
            await self.stop_all()

        run_virtual(run())

    async def assert_all_follow(self) -> None:
        async with asyncio.timeout(20.0):
            for replica in self.group.replicas.values():
                await replica.read_barrier()

    def test_follower_that_lags_by_large_changes_catches_up(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            absent = next(name for name in NAMES if name != leader)
            await self.group.stop(absent)
            for number in range(100):
                await self.group.replicas[leader].propose(
                    large_command(number)
                )
            await self.group.start(absent)
            await self.assert_all_follow()
            await self.stop_all()

        run_virtual(run())


class LargeLogTest(unittest.TestCase):
    """Start with a large log, and change a large configuration often."""

    # Replicas needed three times their log's size to start (review/1).
    def test_start_needs_little_more_memory_than_the_log(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = LogFileStore(Path(folder.name))
        count = 96
        for position in range(1, count + 1):
            store.append([large_entry(position)])
        store.close()

        def start() -> Iterator[object]:
            again = LogFileStore(Path(folder.name))
            self.addCleanup(again.close)
            stored = load(again)
            self.assertEqual(stored.log.last_position, count)
            yield stored

        self.assertLess(peak_bytes(start()), 1.25 * count * ENTRY_BYTES)

    # Up to 4096 entries of any size were sent to a follower at once.
    def test_bytes_in_flight_to_a_follower_are_bounded(self) -> None:
        log = RaftLog()
        log.append(map(large_entry, range(1, 101)))
        progress = Progress("i", 1, 0.0)
        while progress.may_send(log):
            sent = log.entries_between(
                progress.next_position - 1, log.last_position, MAX_BATCH_BYTES
            )
            progress.next_position += len(sent)
        sent_bytes = log.bytes_between(0, progress.next_position - 1)
        self.assertLess(sent_bytes, MAX_IN_FLIGHT_BYTES + 2 * ENTRY_BYTES)
        progress.accept(progress.next_position - 1)
        self.assertTrue(progress.may_send(log))

    # The last 32 configurations were each held as a whole copy.
    def test_recent_deployments_share_what_is_unchanged(self) -> None:
        def publish() -> Iterator[object]:
            state = SteeringState()
            for version in range(1, MAX_RECENT_DEPLOYMENTS + 1):
                state.apply(
                    ReplaceDeployment(
                        b"%d" % version, version - 1, deployment(version, 500)
                    )
                )
            yield state

        def publish_once() -> Iterator[object]:
            state = SteeringState()
            state.apply(ReplaceDeployment(b"1", 0, deployment(1, 500)))
            yield state

        self.assertLess(peak_bytes(publish()), 5 * peak_bytes(publish_once()))


class SoloLogTest(unittest.IsolatedAsyncioTestCase):
    """Change a replica without peers by large commands."""

    async def test_log_of_large_changes_stays_small(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            replica = SoloReplica(
                "one", LogFileStore(Path(folder)), EventLog()
            )
            await replica.start()
            for number in range(60):
                await replica.propose(large_command(number))
            size = (Path(folder) / "control.log").stat().st_size
            await replica.stop()
            self.assertLess(size, LOG_LIMIT_BYTES / 2)
            again = SoloReplica("one", LogFileStore(Path(folder)), EventLog())
            await again.start()
            self.assertEqual(again.describe().last_position, 60)
            await again.stop()


class HistoryTest(unittest.TestCase):
    """Change many objects at once, again and again."""

    # 20,000 changes were remembered with a line for each object they changed.
    def test_history_of_large_changes_is_bounded(self) -> None:
        state = State()
        edits = tuple(
            Edit("region", f"r-{number}", 1, None) for number in range(1000)
        )
        with mock.patch.object(_state, "MAX_HISTORY_LINES", 5000):
            for number in range(20):
                record = ApplyChange(f"c-{number}", "a", 0.0, edits)
                state._add_history_entry(record, tuple(map(str, edits)))
                rejected = state.apply(record)
            self.assertEqual(1000, len(rejected.faults))
            self.assertEqual(5, len(state.history))
            self.assertEqual("c-19", state.history[-1].change_id)
            again = State.restore(state.snapshot())
        self.assertEqual(state.history, again.history)
        self.assertLess(len(state.snapshot()), 1 << 20)
        self.assertFalse(state.apply(record).accepted)
