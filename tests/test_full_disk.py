"""Replicas whose disks take part of a write and then no more."""

import asyncio
from collections.abc import Callable
import errno
from pathlib import Path
import random
import signal
import tempfile
import threading
from typing import Any, cast
import unittest
from unittest import mock

from tests.test_raft import RaftMachine
from tests.virtual_time import run_virtual
from wigeonford.bench import find_free_address
from wigeonford.compose import build_control, build_steer_control
from wigeonford.control import (
    _raft_driver,
    _replica,
    ControlDaemon,
    LogEntry,
    LogFileStore,
    RaftReplica,
    Snapshot,
    SoloReplica,
    StorageError,
)
from wigeonford.control._commands import COMMANDS, ExpireMember
from wigeonford.control._group_service import JOIN_INTERVAL_S
from wigeonford.control._log_file import write_all
from wigeonford.control._raft_disk import RaftDisk
from wigeonford.control._raft_driver import SLOW_SYNC_S
from wigeonford.control._raft_inbox import Proposal, Received
from wigeonford.control._raft_members import START_TERM
from wigeonford.control._raft_node import DEFAULT_TIMING
from wigeonford.control._raft_progress import SNAPSHOT_TIMEOUT_S
from wigeonford.errors import Code, PeerError, WigeonfordError
from wigeonford.events import EventLog
from wigeonford.messages.raft import AppendEntries, AppendReply, EntryRecord
from wigeonford.peer import NotLeaderError, PeerClient, PeerServer
from wigeonford.platform._control_api import ControlApi
from wigeonford.settings import (
    Address,
    ControlMember,
    ControlSettings,
    Secrets,
    SteerControlSettings,
)

SECRETS = Secrets("p" * 16, "k" * 16, "o" * 16, "t" * 16)
NAMES = ("one", "two", "three", "four", "five")
LINK_DELAY_S = 0.003
FULL_S = 2.0
CHANGE_INTERVAL_S = 0.1


def entry(position: int, term: int = 1) -> LogEntry:
    return LogEntry(position, term, b"content-%d" % position)


class FullDiskStore(LogFileStore):
    """Take only `room_bytes` more bytes; None stands for enough."""

    room_bytes: int | None = None
    is_stalled = False
    call_takes_s = 0.0

    def __init__(self, folder: Path, room_bytes: int | None = None) -> None:
        self.room_bytes = room_bytes
        self.responds = threading.Event()
        self.responds.set()
        super().__init__(folder)

    def write_frame(self, file: int, frame: bytes) -> None:
        """Write what there is room for, then fail."""
        self.responds.wait()
        if self.room_bytes is None or self.room_bytes >= len(frame):
            super().write_frame(file, frame)
            return
        write_all(file, frame[: self.room_bytes])
        raise OSError(errno.ENOSPC, "no space left on device")


class PartialWriteTest(unittest.TestCase):
    """Fail a write of the log file at each byte."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def frame_size(self) -> int:
        store = LogFileStore(self.folder / "size")
        store.append([entry(2)], None, {"a": b"2"})
        store.close()
        return (self.folder / "size" / "control.log").stat().st_size

    def test_a_write_cut_at_any_byte_is_made_again(self) -> None:
        for room_bytes in range(self.frame_size()):
            with self.subTest(room_bytes=room_bytes):
                folder = self.folder / str(room_bytes)
                store = FullDiskStore(folder)
                store.append([entry(1)], None, {"a": b"1"})
                store.room_bytes = room_bytes
                with self.assertRaises(StorageError):
                    store.append([entry(2)], None, {"a": b"2"})
                self.assertEqual(store.read_log(), [entry(1)])
                self.assertEqual(store.read_meta("a"), b"1")
                store.room_bytes = None
                store.append([entry(2, 2)], None, {"a": b"3"})
                store.append([entry(3, 2)])
                store.close()
                again = LogFileStore(folder)
                self.assertEqual(
                    again.read_log(), [entry(1), entry(2, 2), entry(3, 2)]
                )
                self.assertEqual(again.read_meta("a"), b"3")
                self.assertEqual(again.dropped_bytes, 0)
                again.close()

    def test_a_snapshot_cut_at_any_byte_leaves_the_log(self) -> None:
        for room_bytes in range(60):
            with self.subTest(room_bytes=room_bytes):
                folder = self.folder / str(room_bytes)
                store = FullDiskStore(folder)
                store.append([entry(1), entry(2)])
                store.room_bytes = room_bytes
                with self.assertRaises(StorageError):
                    store.save_snapshot(Snapshot(1, 1, b"s" * 60))
                self.assertEqual(
                    sorted(path.name for path in folder.iterdir()),
                    ["control.log"],
                )
                store.room_bytes = None
                store.append([entry(3)])
                store.save_snapshot(Snapshot(2, 1, b"s" * 60))
                self.assertEqual(store.read_log(), [entry(3)])
                store.close()

    def test_a_rename_without_room_leaves_the_log(self) -> None:
        full = OSError(errno.ENOSPC, "no space left on device")
        folder = self.folder / "rename"
        store = LogFileStore(folder)
        store.append([entry(1), entry(2)])
        with mock.patch.object(Path, "rename", side_effect=full):
            with self.assertRaises(StorageError):
                store.save_snapshot(Snapshot(1, 1, b"s"))
            self.assertEqual(
                [path.name for path in folder.iterdir()], ["control.log"]
            )
            self.assertEqual(store.read_log(), [entry(1), entry(2)])
            store.append([entry(3)])
            again = LogFileStore(folder)
            self.assertFalse(again.is_durable)
            self.assertEqual(len(again.read_log()), 3)
            with self.assertRaises(StorageError):
                again.append([entry(4)])
        again.append([entry(4)])
        self.assertTrue(again.is_durable)
        again.save_snapshot(Snapshot(3, 1, b"s"))
        self.assertEqual(again.read_log(), [entry(4)])
        store.close()
        again.close()


class SafetyTest(unittest.TestCase):
    """Fill disks at random; the world checks Raft's safety properties."""

    def test_full_disks_among_random_faults(self) -> None:
        outage_count = 0
        for seed in range(8):
            with self.subTest(seed=seed):
                outage_count += self.run_random_steps(seed, 200)
        self.assertGreater(outage_count, 100)

    def run_random_steps(self, seed: int, steps: int) -> int:
        """Apply random steps; return in how many a replica stored nothing."""
        rng = random.Random(seed)
        machine = RaftMachine()
        machine.begin(5, seed)
        step_functions: list[Callable[[int], None]] = [
            lambda _: machine.advance(rng.choice([0.04, 0.2, 0.6, 1.5])),
            lambda _: machine.propose(rng.randint(1, 6)),
            machine.fill_disk,
            machine.make_room,
            machine.make_room,
            machine.take_snapshot,
            lambda index: machine.crash_soon(index, rng.randrange(6)),
            machine.restart,
            lambda _: machine.crash_leader(),
            lambda _: machine.heal(rng.choice([0.0, 0.1])),
            machine.isolate,
        ]
        weights = [12, 8, 3, 2, 2, 2, 1, 2, 1, 1, 1]
        outage_count = 0
        for step in rng.choices(step_functions, weights, k=steps):
            step(rng.randrange(5))
            outage_count += any(
                node.outage is not None
                for node in machine.world.nodes.values()
            )
        machine.world.settle()
        return outage_count


class Network:
    """Deliver messages between replicas of one process."""

    def __init__(self) -> None:
        self.servers: dict[Address, PeerServer] = {}
        self.entry_counts: dict[Address, int] = {}
        self.is_cut: Callable[[Address, Any], bool] = lambda _to, _record: (
            False
        )

    async def deliver(self, address: Address, record: Any) -> Any:
        """Return the reply of the replica at an address."""
        await asyncio.sleep(LINK_DELAY_S)
        server = self.servers.get(address)
        if server is None or self.is_cut(address, record):
            raise PeerError(Code.PEER_UNREACHABLE, "unreachable")
        if isinstance(record, AppendEntries):
            count = self.entry_counts.get(address, 0)
            self.entry_counts[address] = count + len(record.entries)
        try:
            return await server._handlers[type(record)](record)
        except NotLeaderError:
            raise
        except WigeonfordError as exc:
            raise PeerError(exc.code, exc.detail) from exc


class StandInClient:
    """Stand in for a client that is connected through the network."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address

    async def open(self, _timeout_s: float) -> None:
        """Return: there is nothing to open."""

    async def close(self) -> None:
        """Return: there is nothing to close."""

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Return the reply, or raise as `PeerClient` does."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._network.deliver(self._address, record)
        except TimeoutError as exc:
            raise PeerError(Code.PEER_TIMEOUT) from exc


class Group:
    """Run five replicas, each with a disk that can be full."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._network = Network()
        self._members = tuple(
            ControlMember(name, "region", Address("h", number))
            for number, name in enumerate(NAMES, 1)
        )
        self.stores: dict[str, FullDiskStore] = {}
        self.replicas: dict[str, RaftReplica] = {}
        self._start_counts = dict.fromkeys(NAMES, 0)
        self.change_count = 0
        self.acked: list[bytes] = []

    async def start(self, name: str, room_bytes: int | None = None) -> None:
        """Start a replica with its data folder."""
        number = NAMES.index(name)
        address = self._members[number].peer_address
        cfg = ControlSettings(
            name, "region", self._folder / name, SECRETS, members=self._members
        )
        store = FullDiskStore(cfg.data_folder, room_bytes)
        replica = RaftReplica(
            cfg,
            store,
            lambda to: cast(PeerClient, StandInClient(self._network, to)),
            EventLog(),
            asyncio.get_running_loop().time,
        )
        seed = number + len(NAMES) * self._start_counts[name]
        self._start_counts[name] += 1
        replica._rng = cast(random.SystemRandom, random.Random(seed))
        server = PeerServer(SECRETS.peer, EventLog())
        replica.attach(server)
        await replica.start()
        self._network.servers[address] = server
        self.stores[name] = store
        self.replicas[name] = replica

    async def stop(self, name: str) -> None:
        """Stop a replica."""
        address = self._members[NAMES.index(name)].peer_address
        del self._network.servers[address]
        await self.replicas.pop(name).stop()

    def entry_count(self, name: str) -> int:
        """Return how many log entries were sent to a replica."""
        address = self._members[NAMES.index(name)].peer_address
        return self._network.entry_counts.get(address, 0)

    def cut_off(self, name: str, reaching: str) -> None:
        """Let a replica hear nothing more, and reach only one other."""
        own, other = (
            self._members[NAMES.index(each)].peer_address
            for each in (name, reaching)
        )
        self._network.is_cut = lambda to, record: (
            to == own
            or (getattr(record, "sender", "") == name and to != other)
        )

    async def until_led(self, *without: str) -> str:
        """Return the leader's name once a replica leads."""
        async with asyncio.timeout(20.0):
            while True:
                for name, replica in self.replicas.items():
                    if replica.is_leader and name not in without:
                        return name
                await asyncio.sleep(0.01)

    async def change(self, name: str) -> bool:
        """Propose a change; return whether it was acknowledged."""
        self.change_count += 1
        record = ExpireMember("vm", self.change_count)
        try:
            await self.replicas[name].propose(record)
        except WigeonfordError:
            return False
        self.acked.append(COMMANDS.encode(record))
        return True

    async def change_for(self, seconds: float) -> int:
        """Make changes at all replicas; return how many were acknowledged."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        changes: list[asyncio.Task[bool]] = []
        while loop.time() < until_s:
            name = NAMES[len(changes) % len(NAMES)]
            changes.append(asyncio.create_task(self.change(name)))
            await asyncio.sleep(CHANGE_INTERVAL_S)
        return sum(await asyncio.gather(*changes))

    async def until_equal(self) -> list[bytes]:
        """Return the stored commands once all replicas store the same."""
        async with asyncio.timeout(20.0):
            while True:
                logs = [store.read_log() for store in self.stores.values()]
                positions = {
                    replica.describe().commit_position
                    for replica in self.replicas.values()
                }
                if all(log == logs[0] for log in logs) and positions == {
                    len(logs[0])
                }:
                    return [held.content for held in logs[0]]
                await asyncio.sleep(0.05)


async def run_inline(disk: RaftDisk, function: Any, *args: Any) -> Any:
    """Call a function of the disk without a thread."""
    store = cast(FullDiskStore, disk._store)
    await asyncio.sleep(store.call_takes_s)
    while store.is_stalled:
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return function(*args)


class GroupTestCase(unittest.TestCase):
    """Run five replicas in virtual time, on disks in a temporary folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.group = Group(self.folder)
        inline = mock.patch.object(RaftDisk, "_call", run_inline)
        inline.start()
        self.addCleanup(inline.stop)

    async def start_all(self) -> str:
        for name in NAMES:
            await self.group.start(name)
        await self.group.until_led()
        # The first leader alone stores the log until the others have it.
        self.assertTrue(await self.group.change(NAMES[0]))
        await self.group.until_equal()
        return await self.group.until_led()

    async def stop_all(self) -> None:
        for name in list(self.group.replicas):
            await self.group.stop(name)

    async def assert_all_take_part(self) -> None:
        for name in NAMES:
            self.assertIsNone(self.group.replicas[name].failure, name)
            self.assertTrue(await self.group.change(name), name)
        stored = await self.group.until_equal()
        for content in self.group.acked:
            self.assertEqual(stored.count(content), 1, content)


class FullDiskTest(GroupTestCase):
    """Make and refuse changes while disks are full."""

    def test_changes_go_on_while_disks_are_full_in_turn(self) -> None:
        async def run() -> None:
            await self.start_all()
            for name in NAMES:
                with self.subTest(name=name):
                    self.group.stores[name].room_bytes = 7
                    acked_count = await self.group.change_for(FULL_S)
                    self.group.stores[name].room_bytes = None
                    self.assertGreater(acked_count, 0)
            await asyncio.sleep(FULL_S)
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_a_snapshot_without_room_waits_and_ends_nothing(self) -> None:
        async def run() -> None:
            await self.start_all()
            for store in self.group.stores.values():
                store.room_bytes = 300
            for number in range(60):
                self.assertTrue(await self.group.change(NAMES[number % 5]))
            for store in self.group.stores.values():
                self.assertIsNone(store.read_snapshot())
                store.room_bytes = None
            for number in range(30):
                self.assertTrue(await self.group.change(NAMES[number % 5]))
            await asyncio.sleep(FULL_S)
            for store in self.group.stores.values():
                self.assertIsNotNone(store.read_snapshot())
            await self.stop_all()

        with (
            mock.patch.object(_raft_driver, "SNAPSHOT_INTERVAL_ENTRIES", 10),
            mock.patch.object(_raft_driver, "SNAPSHOT_RETRY_ENTRIES", 5),
        ):
            run_virtual(run())

    def test_a_full_leader_hands_over_and_passes_changes_on(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            self.group.stores[leader].room_bytes = 7
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            self.assertTrue(await self.group.change(leader))
            self.assertLess(loop.time() - started_s, DEFAULT_TIMING.min_s)
            other = await self.group.until_led(leader)
            self.assertNotEqual(other, leader)
            self.assertFalse(self.group.replicas[leader].is_leader)
            self.assertTrue(await self.group.change(leader))
            self.assertIsNotNone(self.group.replicas[leader].failure)
            self.group.stores[leader].room_bytes = None
            await asyncio.sleep(FULL_S)
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_entries_without_room_are_not_sent_again_and_again(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            name = next(name for name in NAMES if name != leader)
            self.group.stores[name].room_bytes = 7
            before_count = self.group.entry_count(name)
            acked_count = await self.group.change_for(5 * FULL_S)
            sent_count = self.group.entry_count(name) - before_count
            self.assertGreater(acked_count, 50)
            self.assertLess(sent_count, 2 * acked_count)
            self.group.stores[name].room_bytes = None
            await asyncio.sleep(FULL_S)
            await self.assert_all_take_part()

    def test_a_change_that_others_store_is_not_told_as_not_taken(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            holder, successor = [n for n in NAMES if n != leader][:2]
            self.group.cut_off(leader, reaching=holder)
            driver = self.group.replicas[leader]._driver
            core = driver.core
            position, term = core.log.last_position, core.term
            fut = asyncio.get_running_loop().create_future()
            record = ExpireMember("vm", 99)
            driver.enqueue(Proposal(COMMANDS.encode(record), fut))
            await asyncio.sleep(0.1)
            self.assertGreater(
                len(self.group.stores[holder].read_log()), position
            )
            self.group.stores[leader].room_bytes = 7
            driver.enqueue(
                Received(
                    AppendEntries(
                        successor,
                        core.hard_state.incarnation,
                        term + 1,
                        position,
                        core.log.last_term,
                        (EntryRecord(term + 1, START_TERM),),
                        position,
                        1.0,
                        None,
                        None,
                    )
                )
            )
            with self.assertRaises(PeerError) as caught:
                await fut
            self.assertIs(Code.NO_QUORUM, caught.exception.code)
            await self.stop_all()

        run_virtual(run())

    def test_a_leader_with_a_stalled_disk_passes_changes_on(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            self.group.stores[leader].is_stalled = True
            stuck = asyncio.create_task(self.group.change(leader))
            await asyncio.sleep(SLOW_SYNC_S + CHANGE_INTERVAL_S)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            self.assertTrue(await self.group.change(leader))
            self.assertLess(loop.time() - started_s, DEFAULT_TIMING.max_s)
            self.assertTrue(self.group.stores[leader].is_stalled)
            self.group.stores[leader].is_stalled = False
            await stuck
            await asyncio.sleep(FULL_S)
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_a_replica_starts_on_a_full_disk(self) -> None:
        async def run() -> None:
            await self.start_all()
            await self.group.change("one")
            stored = await self.group.until_equal()
            for name in NAMES:
                with self.subTest(name=name):
                    leader = await self.group.until_led()
                    await self.group.stop(name)
                    await self.group.start(name, room_bytes=0)
                    await asyncio.sleep(FULL_S)
                    replica = self.group.replicas[name]
                    if name != leader:
                        # A new leader's entry would find no room.
                        await replica.read_barrier()
                        self.assertEqual(
                            replica.describe().commit_position, len(stored)
                        )
                    self.assertTrue(await self.group.change(name))
                    self.assertGreaterEqual(
                        self.group.replicas[name].state.revision, 0
                    )
                    self.group.stores[name].room_bytes = None
                    await asyncio.sleep(FULL_S)
                    stored = await self.group.until_equal()
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())

    def test_what_is_not_copied_yet_is_not_acknowledged(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            name = next(name for name in NAMES if name != leader)
            await self.group.stop(name)
            senders: list[str] = []

            def note(_to: Address, record: Any) -> bool:
                if isinstance(record, AppendReply):
                    senders.append(record.sender)
                return False

            self.group._network.is_cut = note
            await self.group.start(name, room_bytes=0)
            await asyncio.sleep(FULL_S)
            self.assertEqual(len(set(senders)), 3)
            self.assertNotIn(name, senders)
            self.group.stores[name].room_bytes = None
            await asyncio.sleep(FULL_S)
            self.assertIn(name, senders)
            await self.stop_all()

        run_virtual(run())

    def test_a_snapshot_of_the_leader_waits_for_room(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            name = next(name for name in NAMES if name != leader)
            await self.group.stop(name)
            others = [other for other in NAMES if other != name]
            for number in range(60):
                self.assertTrue(await self.group.change(others[number % 4]))
            await self.group.start(name)
            replica, store = self.group.replicas[name], self.group.stores[name]
            store.room_bytes = 7
            await asyncio.sleep(FULL_S)
            self.assertIsNotNone(replica.failure)
            self.assertIsNone(store.read_snapshot())
            self.assertTrue(await self.group.change(name))
            store.room_bytes = None
            await asyncio.sleep(FULL_S + SNAPSHOT_TIMEOUT_S)
            self.assertIsNone(replica.failure)
            self.assertIsNotNone(store.read_snapshot())
            await replica.read_barrier()
            self.assertEqual(
                replica.describe().commit_position,
                self.group.replicas[leader].describe().commit_position,
            )
            await self.stop_all()

        with (
            mock.patch.object(_raft_driver, "SNAPSHOT_INTERVAL_ENTRIES", 10),
            mock.patch.object(_raft_driver, "RETAINED_LOG_ENTRIES", 5),
        ):
            run_virtual(run())

    def test_an_empty_group_starts_on_full_disks(self) -> None:
        async def run() -> None:
            for name in NAMES:
                await self.group.start(name, room_bytes=0)
            await asyncio.sleep(FULL_S)
            for store in self.group.stores.values():
                store.room_bytes = None
            await self.group.until_led()
            await self.assert_all_take_part()
            await self.stop_all()

        run_virtual(run())


class SoloTest(unittest.IsolatedAsyncioTestCase):
    """Run a replica without peers while its disk is full."""

    async def test_a_full_disk_refuses_and_snapshots_wait(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = FullDiskStore(Path(folder.name))
        replica = SoloReplica("one", store, EventLog())
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        with mock.patch.object(_replica, "SNAPSHOT_INTERVAL_ENTRIES", 3):
            for number in range(9):
                # A snapshot holds more than one entry and has no room.
                store.room_bytes = 130
                await replica.propose(ExpireMember("vm", number))
                store.room_bytes = 0
                with self.assertRaises(StorageError):
                    await replica.propose(ExpireMember("other", number))
        self.assertIsNone(store.read_snapshot())
        self.assertEqual(
            [COMMANDS.decode(held.content) for held in store.read_log()],
            [ExpireMember("vm", number) for number in range(9)],
        )


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """Run three control daemons on loopback while their disks are full."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.stores: dict[str, FullDiskStore] = {}
        self.addresses = [
            find_free_address(f"127.9.6.{number}") for number in (1, 2, 3)
        ]
        self.daemons: list[ControlDaemon] = []
        patch = mock.patch.object(signal, "raise_signal")
        self.raise_signal = patch.start()
        self.addCleanup(patch.stop)

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(daemon.crash() for daemon in self.daemons))

    def open_store(self, folder: Path) -> LogFileStore:
        """Open a store whose disk is full from the first write on."""
        store = FullDiskStore(folder, 0)
        self.stores[folder.name] = store
        return store

    def build_own(self, number: int) -> ControlDaemon:
        cfg = ControlSettings(
            f"control-{number}",
            "region",
            self.folder / str(number),
            SECRETS,
            members=tuple(
                ControlMember(f"control-{other}", "region", address)
                for other, address in enumerate(self.addresses)
            ),
            peer_address=self.addresses[number],
        )
        return build_control(cfg, EventLog(), self.open_store)

    def build_platform(self, number: int) -> ControlDaemon:
        seeds = tuple(map(str, self.addresses))
        cfg = SteerControlSettings(
            name=f"core-{number}",
            peer_address=self.addresses[number],
            api_address=Address(),
            data_folder=self.folder / str(number),
            seeds=seeds,
            may_bootstrap=True,
            zones={},
        )
        return build_steer_control(
            cfg,
            lambda: seeds,
            lambda replica, targets, log: (
                ControlApi(replica, targets, {}, log).handle
            ),
            EventLog(),
            self.open_store,
        )

    async def until_changed(self, daemon: ControlDaemon, number: int) -> None:
        async with asyncio.timeout(30.0):
            while True:
                try:
                    await daemon.replica.propose(ExpireMember("vm", number))
                except WigeonfordError:
                    await asyncio.sleep(0.05)
                    continue
                return

    async def run_daemons(self, build: Callable[[int], ControlDaemon]) -> None:
        self.daemons = [build(number) for number in range(3)]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await asyncio.sleep(2 * JOIN_INTERVAL_S)
        for store in self.stores.values():
            store.room_bytes = None
        await self.until_changed(self.daemons[0], 1)
        for number, store in enumerate(self.stores.values(), 2):
            store.room_bytes = 0
            await self.until_changed(self.daemons[number % 3], number)
            await asyncio.sleep(2 * JOIN_INTERVAL_S)
            store.room_bytes = None
            await self.until_failure_ends()
        for number, daemon in enumerate(self.daemons, 5):
            await self.until_changed(daemon, number)
        for number in range(3):
            await self.daemons[number].crash()
            self.daemons[number] = build(number)
            await self.daemons[number].start()
            await self.until_changed(self.daemons[number - 1], 8 + number)
            await asyncio.sleep(2 * JOIN_INTERVAL_S)
            for store in self.stores.values():
                store.room_bytes = None
            await self.until_failure_ends()
            await self.until_changed(self.daemons[number], 11 + number)
        self.raise_signal.assert_not_called()

    async def run_stalled(self, build: Callable[[int], ControlDaemon]) -> None:
        self.daemons = [build(number) for number in range(3)]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        for store in self.stores.values():
            self.addCleanup(store.responds.set)
            store.room_bytes = None
        for daemon in self.daemons:
            await self.until_changed(daemon, 1)
        leader = next(d for d in self.daemons if d.replica.is_leader)
        store = self.stores[str(self.daemons.index(leader))]
        store.responds.clear()
        try:
            await leader.replica.propose(ExpireMember("vm", 2))
            self.assertIsNotNone(leader.replica.describe().failure)
        finally:
            store.responds.set()
        await self.until_failure_ends()
        for daemon in self.daemons:
            await self.until_changed(daemon, 3)
        self.raise_signal.assert_not_called()

    async def until_failure_ends(self) -> None:
        async with asyncio.timeout(30.0):
            while any(
                daemon.replica.describe().failure for daemon in self.daemons
            ):
                await asyncio.sleep(0.05)

    async def test_own_daemons_go_on(self) -> None:
        await self.run_daemons(self.build_own)

    async def test_platform_daemons_go_on(self) -> None:
        await self.run_daemons(self.build_platform)

    async def test_own_daemons_go_on_beside_a_stalled_leader(self) -> None:
        await self.run_stalled(self.build_own)

    async def test_platform_daemons_go_on_beside_a_stalled_leader(
        self,
    ) -> None:
        await self.run_stalled(self.build_platform)
