"""The log file with torn tails, damaged frames and failing writes."""

import asyncio
import errno
import os
from pathlib import Path
import tempfile
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.bench import find_free_address
from wigeonford.control import (
    LogEntry,
    LogFileStore,
    RaftReplica,
    Snapshot,
    StorageError,
)
from wigeonford.control._commands import COMMANDS, ExpireMember
from wigeonford.control._raft_members import is_state_command
from wigeonford.control._store import StorageDamagedError
from wigeonford.errors import Code, WigeonfordError
from wigeonford.events import EventLog
from wigeonford.peer import PeerClient
from wigeonford.settings import (
    Address,
    ControlMember,
    ControlSettings,
    Secrets,
)

SECRETS = Secrets("p" * 16, "k" * 16, "o" * 16, "t" * 16)


def entry(position: int, term: int = 1) -> LogEntry:
    return LogEntry(position, term, b"content-%d" % position)


class FailingStore(LogFileStore):
    """Fail each write while `failure` is set."""

    failure: OSError | None = None

    def write_frame(self, file: int, frame: bytes) -> None:
        if self.failure is not None:
            raise self.failure
        super().write_frame(file, frame)


class LogFileTest(unittest.TestCase):
    """Damage a log file and open it again."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "control.log"

    def open_store(self) -> FailingStore:
        store = FailingStore(self.folder)
        self.addCleanup(store.close)
        return store

    def test_keeps_entries_meta_and_snapshot(self) -> None:
        store = self.open_store()
        store.append([entry(1), entry(2), entry(3)], None, {"a": b"1"})
        store.append([entry(3, 2), entry(4, 2)], 2)
        store.save_snapshot(Snapshot(2, 1, b"state"))
        store.append([entry(5, 2)], None, {"b": b"2"})
        reopened = self.open_store()
        self.assertEqual(
            reopened.read_log(), [entry(3, 2), entry(4, 2), entry(5, 2)]
        )
        self.assertEqual(reopened.read_snapshot(), Snapshot(2, 1, b"state"))
        self.assertEqual(reopened.read_meta("a"), b"1")
        self.assertEqual(reopened.read_meta("b"), b"2")

    def test_installed_snapshot_drops_the_conflicting_tail(self) -> None:
        store = self.open_store()
        store.append([entry(1), entry(2), entry(3)])
        store.save_snapshot(Snapshot(2, 5, b"state"), 2)
        self.assertEqual(self.open_store().read_log(), [])

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.data())
    def test_torn_tail_is_dropped(self, data: st.DataObject) -> None:
        self.path.unlink(missing_ok=True)
        store = LogFileStore(self.folder)
        store.append([entry(1)])
        whole = self.path.stat().st_size
        store.append([entry(2), entry(3)])
        store.close()
        content = bytearray(self.path.read_bytes())
        kept = data.draw(st.integers(whole, len(content)))
        if data.draw(st.booleans()):
            del content[kept:]
        else:
            content[kept:] = bytes(len(content) - kept)
        self.path.write_bytes(content)
        again = LogFileStore(self.folder)
        positions = [held.position for held in again.read_log()]
        self.assertIn(positions, ([1], [1, 2, 3]))
        again.append([entry(positions[-1] + 1)])
        again.close()
        last = LogFileStore(self.folder)
        self.assertEqual(len(last.read_log()), len(positions) + 1)
        last.close()

    def test_damage_before_a_good_frame_is_refused(self) -> None:
        store = self.open_store()
        store.append([entry(1)])
        damage_offset = self.path.stat().st_size - 3
        store.append([entry(2)])
        content = bytearray(self.path.read_bytes())
        content[damage_offset] ^= 0xFF
        self.path.write_bytes(content)
        with self.assertRaises(StorageError):
            LogFileStore(self.folder)

    def test_a_failed_write_leaves_what_was_stored(self) -> None:
        for error_number in (errno.ENOSPC, errno.EIO):
            with self.subTest(errno=error_number):
                self.path.unlink(missing_ok=True)
                store = self.open_store()
                store.append([entry(1)])
                store.failure = OSError(error_number, "injected")
                for _ in range(2):
                    with self.assertRaises(StorageError) as caught:
                        store.append([entry(2)], 0, {"a": b"1"})
                    self.assertFalse(caught.exception.may_be_stored)
                    self.assertEqual(store.read_log(), [entry(1)])
                    self.assertIsNone(store.read_meta("a"))
                store.failure = None
                store.append([entry(2)])
                self.assertEqual(
                    self.open_store().read_log(), [entry(1), entry(2)]
                )

    def test_after_a_failed_sync_the_log_is_copied_to_a_new_file(
        self,
    ) -> None:
        store = self.open_store()
        store.append([entry(1)], None, {"a": b"1"})
        first_file = self.path.stat().st_ino
        with mock.patch.object(os, "fdatasync", side_effect=OSError):
            with self.assertRaises(StorageError) as caught:
                store.append([entry(2)], None, {"a": b"2"})
            self.assertTrue(caught.exception.may_be_stored)
            self.assertEqual(store.read_log(), [entry(1)])
            with self.assertRaises(StorageError):
                store.append([entry(2)])
            self.assertEqual(self.path.stat().st_ino, first_file)
        store.append([entry(2, 2)])
        self.assertNotEqual(self.path.stat().st_ino, first_file)
        reopened = self.open_store()
        self.assertEqual(reopened.read_log(), [entry(1), entry(2, 2)])
        self.assertEqual(reopened.read_meta("a"), b"1")

    def test_a_new_name_counts_only_once_the_folder_is_synced(self) -> None:
        store = self.open_store()
        store.append([entry(1), entry(2)])
        with mock.patch.object(os, "fsync", side_effect=OSError):
            with self.assertRaises(StorageError):
                store.save_snapshot(Snapshot(1, 1, b"state"))
            self.assertFalse(store.is_durable)
            with self.assertRaises(StorageError):
                store.append([entry(3)])
            self.assertFalse(store.is_durable)
        store.append([entry(3)])
        self.assertTrue(store.is_durable)
        self.assertEqual(store.read_log(), [entry(2), entry(3)])

    def test_frames_of_a_killed_process_are_synced_before_use(self) -> None:
        self.open_store().append([entry(1)])
        with mock.patch.object(os, "fsync", side_effect=OSError):
            store = self.open_store()
        self.assertFalse(store.is_durable)
        self.assertEqual(store.read_log(), [entry(1)])
        store.append([entry(2)])
        self.assertTrue(store.is_durable)
        with (
            mock.patch.object(os, "fsync", wraps=os.fsync) as fsync,
            mock.patch.object(os, "fdatasync", wraps=os.fdatasync) as datasync,
        ):
            self.assertTrue(self.open_store().is_durable)
        # The copy of the file, and the folder with its name.
        self.assertGreaterEqual(datasync.call_count, 1)
        self.assertGreaterEqual(fsync.call_count, 1)

    def test_what_goes_to_a_file_that_was_replaced_is_not_stored(self) -> None:
        store = self.open_store()
        store.append([entry(1)])
        # Another process copies the log, such as a second start by mistake.
        LogFileStore(self.folder).close()
        with self.assertRaises(StorageDamagedError) as caught:
            store.append([entry(2)])
        self.assertTrue(caught.exception.may_be_stored)
        self.assertEqual(self.open_store().read_log(), [entry(1)])


class FailedStorageTest(unittest.IsolatedAsyncioTestCase):
    """Run a replica whose disk becomes full."""

    async def test_replica_stores_nothing_while_its_disk_is_full(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        address = find_free_address("127.0.0.1")
        cfg = ControlSettings(
            "one",
            "region",
            Path(folder.name),
            SECRETS,
            members=(ControlMember("one", "region", address),),
        )
        store = FailingStore(cfg.data_folder)

        def connect(address: Address) -> PeerClient:
            return PeerClient("one", address, SECRETS.peer, EventLog())

        replica = RaftReplica(cfg, store, connect, EventLog())
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        await replica.propose(ExpireMember("vm", 1))
        store.failure = OSError(errno.ENOSPC, "no space")
        with self.assertRaises(WigeonfordError) as caught:
            await replica.propose(ExpireMember("vm", 2))
        self.assertEqual(caught.exception.code, Code.STORAGE_FAILED)
        confirmed_age_s = replica.confirmed_age_s()
        assert confirmed_age_s is not None, "the replica led before"
        for request in (
            replica.propose(ExpireMember("v", 1)),
            replica.read_barrier(),
        ):
            with self.assertRaises(StorageError):
                await asyncio.wait_for(request, 1)
        self.assertFalse(replica.is_leader)
        self.assertGreater(replica.confirmed_age_s() or 0.0, confirmed_age_s)
        self.assertEqual(replica.describe().role, "failed")
        store.failure = None
        async with asyncio.timeout(20):
            while not replica.is_leader:
                await asyncio.sleep(0.05)
        await replica.propose(ExpireMember("vm", 3))
        await replica.read_barrier()
        self.assertEqual(replica.describe().role, "leader")
        self.assertIsNone(replica.describe().failure)
        commands = [
            COMMANDS.decode(held.content)
            for held in store.read_log()
            if is_state_command(held.content)
        ]
        self.assertEqual(
            commands, [ExpireMember("vm", 1), ExpireMember("vm", 3)]
        )
