"""Logs on a disk that forgets what a failed sync did not write."""

from collections import defaultdict
import errno
import os
from pathlib import Path
import random
import tempfile
import unittest

from wigeonford.control import LogEntry, LogFileStore, Snapshot, StorageError

MAX_STEPS = 60


def entry(position: int, term: int = 1) -> LogEntry:
    return LogEntry(position, term, b"content-%d-%d" % (position, term))


class Machine:
    """Hold what a power failure leaves of a folder.

    As on Linux, a failed sync drops the changes that it should have written:
    they can still be read, and a later sync succeeds without them. `failures`
    tells for each of the next syncs whether it fails.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.failures: list[bool] = []
        self.room_bytes: int | None = None
        self._durable: dict[int, bytearray] = defaultdict(bytearray)
        self._durable_names: dict[str, int] = {}
        self._dirty: dict[int, list[tuple[int, int]]] = defaultdict(list)
        self._seen_names: dict[str, int] = {}
        self._held: list[int] = []

    def note_write(self, file: int, start: int, data: bytes) -> None:
        """Note a change of a file."""
        inode = os.fstat(file).st_ino
        if start == 0:
            # Inode numbers are used again; a held file keeps its own.
            self._held.append(os.dup(file))
        self._dirty[inode].append((start, len(data)))

    def sync(self, file: int) -> None:
        """Make a file or the folder durable, or forget its changes."""
        is_failing = self.failures.pop(0) if self.failures else False
        if os.path.isdir(f"/proc/self/fd/{file}"):
            self._sync_names(is_failing)
        else:
            inode = os.fstat(file).st_ino
            for start, size in self._dirty.pop(inode, ()):
                if not is_failing:
                    self._write(inode, start, os.pread(file, size, start))
            if not is_failing:
                del self._durable[inode][os.fstat(file).st_size :]
        if is_failing:
            raise OSError(errno.EIO, "injected")

    def _sync_names(self, is_failing: bool) -> None:
        names = {path.name: path.stat().st_ino for path in self._paths()}
        if names != self._seen_names and not is_failing:
            self._durable_names = names
        self._seen_names = names

    def _paths(self) -> list[Path]:
        return sorted(self.folder.iterdir())

    def _write(self, inode: int, start: int, data: bytes) -> None:
        content = self._durable[inode]
        content.extend(bytes(max(0, start - len(content))))
        content[start : start + len(data)] = data

    def fail_power(self) -> None:
        """Leave only what is durable."""
        for path in self._paths():
            path.unlink()
        names, durable = self._durable_names, self._durable
        self.release()
        self._durable = defaultdict(bytearray)
        self._durable_names = {}
        self._dirty.clear()
        for name, inode in names.items():
            path = self.folder / name
            path.write_bytes(durable[inode])
            self._durable[path.stat().st_ino] = bytearray(durable[inode])
            self._durable_names[name] = path.stat().st_ino
        self._seen_names = dict(self._durable_names)

    def release(self) -> None:
        """Close the held files."""
        for file in self._held:
            os.close(file)
        self._held.clear()


class MachineStore(LogFileStore):
    """Store a log on a machine; to be dropped unclosed if it is killed."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        super().__init__(machine.folder)

    def write_frame(self, file: int, frame: bytes) -> None:
        """Write a frame unless there is no room."""
        start = os.fstat(file).st_size
        room_bytes = self._machine.room_bytes
        if room_bytes is not None and len(frame) > room_bytes:
            raise OSError(errno.ENOSPC, "no space left on device")
        super().write_frame(file, frame)
        self._machine.note_write(file, start, frame)

    def sync_file(self, file: int, *, data_only: bool) -> None:
        """Sync a file or a folder."""
        self._machine.sync(file)


class LostPagesTest(unittest.TestCase):
    """Kill a replica after a failed sync, and let the power fail then."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.machine = Machine(self.folder)
        self.addCleanup(lambda: self.machine.release())

    def test_a_failed_sync_a_kill_and_a_power_failure_in_a_row(self) -> None:
        store = MachineStore(self.machine)
        store.append([entry(1)], None, {"term": b"1"})
        self.machine.failures = [True]
        with self.assertRaises(StorageError):
            store.append([entry(2)], None, {"term": b"2"})
        again = MachineStore(self.machine)
        self.assertTrue(again.is_durable)
        stored, term = again.read_log(), again.read_meta("term")
        self.machine.fail_power()
        last = MachineStore(self.machine)
        self.assertEqual(last.read_log(), stored)
        self.assertEqual(last.read_meta("term"), term)

    def test_a_name_whose_sync_failed_before_a_kill(self) -> None:
        store = MachineStore(self.machine)
        store.append([entry(1), entry(2)])
        # The new file is synced, the folder with its name is not.
        self.machine.failures = [False, True]
        with self.assertRaises(StorageError):
            store.save_snapshot(Snapshot(2, 1, b"state"))
        again = MachineStore(self.machine)
        again.append([entry(3)])
        self.machine.fail_power()
        last = MachineStore(self.machine)
        self.assertEqual(last.read_log()[-1:], [entry(3)])

    def test_a_start_without_room_relies_on_nothing_until_copied(self) -> None:
        store = MachineStore(self.machine)
        store.append([entry(1)])
        self.machine.room_bytes = 0
        again = MachineStore(self.machine)
        self.assertEqual(again.read_log(), [entry(1)])
        self.assertFalse(again.is_durable)
        self.machine.room_bytes = None
        again.check_room(1)
        self.assertTrue(again.is_durable)
        self.assertEqual(again.read_log(), [entry(1)])

    def test_what_counts_as_stored_survives_any_series_of_faults(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                folder = self.folder / str(seed)
                folder.mkdir()
                self.machine = Machine(folder)
                self.run_steps(random.Random(seed))
                self.machine.release()

    def run_steps(self, rng: random.Random) -> None:
        store = MachineStore(self.machine)
        stored: list[LogEntry] = []
        # What a start may find: the promised log, or a change that failed.
        possible = [stored]
        for _ in range(rng.randrange(MAX_STEPS)):
            self.machine.failures = [rng.random() < 0.25 for _ in range(3)]
            kept = rng.randint(max(0, len(stored) - 2), len(stored))
            changed = [*stored[:kept], entry(kept + 1, rng.randrange(10**6))]
            try:
                if rng.random() < 0.15:
                    store.save_snapshot(Snapshot(0, 1, b"state"))
                else:
                    possible.append(changed)
                    store.append(changed[-1:], kept)
                    stored = changed
                    possible = [stored]
            except StorageError:
                self.assertEqual(store.read_log(), stored)
            draw = rng.random()
            if draw < 0.15:
                self.machine.fail_power()
            if draw < 0.4:
                store = MachineStore(self.machine)
                stored = store.read_log()
                self.assertIn(stored, possible)
                if store.is_durable:
                    possible = [stored]
