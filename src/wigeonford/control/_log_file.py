"""Append-only log file of one replica, in checksummed frames."""

from collections.abc import Iterable, Iterator, Mapping
import contextlib
import os
from pathlib import Path
import struct
import sys
from typing import Final
import zlib

import cbor2

from wigeonford.control._store import (
    LogEntry,
    Snapshot,
    StorageDamagedError,
    StorageError,
    StoredContent,
)

LOG_NAME: Final = "control.log"
_NEW_NAME: Final = "control.log.new"
_MAGIC: Final = b"wgf1"
_HEADER: Final = struct.Struct(">4sII")
_COPY_BYTES: Final = 1 << 20
"""Size of the pieces in which a file is copied."""


def _apply_frame(
    stored: StoredContent, payload: bytes, entries_after: int
) -> None:
    """Apply one frame; leave out the entries up to `entries_after`."""
    snapshot, meta, truncate_after, entries = cbor2.loads(payload)
    if snapshot is not None:
        stored.snapshot = Snapshot(*snapshot)
    stored.meta.update(meta)
    if truncate_after is not None:
        _truncate(stored, truncate_after)
    stored.entries.extend(
        LogEntry(position, term, content)
        for position, term, content in entries
        if position > entries_after
    )


def _truncate(stored: StoredContent, after: int) -> None:
    """Drop the entries after a position."""
    while stored.entries and stored.entries[-1].position > after:
        stored.entries.pop()


class LogFileStore:
    """Store the log, the snapshot and named values in a single file.

    Each frame is synced before the next is written, so that only the last
    frame can be torn; a bad frame before a good one means corruption.

    After a failed write, the next write first cuts off what was written of
    the frame. After a failed sync the kernel may report a later sync as done
    without having written the data, so the stored frames are first copied to
    a new file. A file that is found on opening is copied as well, since a
    sync may have failed before the last process ended.

    `dropped_bytes` is the size of the torn frame that was found on opening.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file: int | None = None
        self._end_offset = 0
        self._is_closed = False
        self._has_tail = False
        self._must_copy = False
        self._must_sync = True
        self.dropped_bytes = 0
        try:
            self._open_existing()
        except OSError as exc:
            raise StorageError(f"{folder}: {exc}") from exc
        with contextlib.suppress(StorageError):
            # A full disk is no reason not to start; it is tried again.
            self.repair()

    def _open_existing(self) -> None:
        if not self._path.exists():
            return
        (self._folder / _NEW_NAME).unlink(missing_ok=True)
        self._file = os.open(self._path, os.O_RDWR | os.O_APPEND)
        size = os.fstat(self._file).st_size
        for end_offset, _ in _iterate_frames(self._file, size):
            self._end_offset = end_offset
        self.dropped_bytes = size - self._end_offset
        tail = _read_at(self._file, self.dropped_bytes, self._end_offset)
        if _has_frame_after_start(tail):
            raise StorageDamagedError(
                f"{self._path}: corrupt frame at byte {self._end_offset}"
            )
        self._must_copy = True

    @property
    def _path(self) -> Path:
        return self._folder / LOG_NAME

    @property
    def is_durable(self) -> bool:
        """Return whether all that can be read survives a power failure."""
        return not self._must_sync

    def repair(self) -> None:
        """Make the file end with its last whole frame, durably."""
        with self._storage_errors():
            if self._file is None:
                self._create()
            elif self._must_copy:
                self._replace(self._file_pieces(self._file))
            elif self._has_tail or self._must_sync:
                self._cut_tail(self._file)

    def _create(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._file = os.open(
            self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600
        )
        self._cut_tail(self._file)

    def _cut_tail(self, file: int) -> None:
        if self._has_tail:
            self.cut_file(file, self._end_offset)
        self._sync(file)
        if self._must_sync:
            self._sync_folder()
        self._has_tail = self._must_sync = False

    def cut_file(self, file: int, size: int) -> None:
        """Cut a file to a size; tests override this to inject faults."""
        os.ftruncate(file, size)

    def _sync(self, file: int, *, data_only: bool = False) -> None:
        try:
            self.sync_file(file, data_only=data_only)
        except OSError:
            self._must_copy = True
            raise

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._sync(folder)
        finally:
            os.close(folder)

    def check_room(self, size: int) -> None:
        """Repair the file; raise `StorageError` unless `size` bytes fit."""
        self.repair()
        with self._storage_errors():
            file = self._write_new_file([bytes(size)])
            os.close(file)
            (self._folder / _NEW_NAME).unlink()

    @contextlib.contextmanager
    def _storage_errors(self) -> Iterator[None]:
        if self._is_closed:
            raise StorageError(f"{self._folder}: closed")
        try:
            yield
        except OSError as exc:
            raise StorageError(f"{self._folder}: {exc}") from exc

    def _file_pieces(self, file: int) -> Iterator[bytes]:
        """Yield the whole frames of the file, in pieces of bounded size."""
        for start in range(0, self._end_offset, _COPY_BYTES):
            size = min(_COPY_BYTES, self._end_offset - start)
            piece = _read_at(file, size, start)
            if len(piece) != size:
                raise StorageDamagedError(
                    f"{self._path}: the file ends at byte {start + len(piece)}"
                )
            yield piece

    def read(self, entries_after: int = 0) -> StoredContent:
        """Return all that is stored; leave out entries up to a position."""
        stored = StoredContent()
        end_offset = 0
        with self._storage_errors():
            if self._file is None:
                return stored
            frames = _iterate_frames(self._file, self._end_offset)
            for frame_end, payload in frames:
                _apply_frame(stored, payload, entries_after)
                end_offset = frame_end
        if end_offset != self._end_offset:
            raise StorageDamagedError(
                f"{self._path}: corrupt frame at byte {end_offset}"
            )
        return stored

    def append(
        self,
        entries: Iterable[LogEntry],
        truncate_after: int | None = None,
        meta: Mapping[str, bytes] | None = None,
    ) -> None:
        """Append entries and set named values.

        Entries after `truncate_after` are dropped first.
        """
        self.repair()
        assert self._file is not None, "the file is created by the repair"
        frame = _encode_frame(None, meta or {}, truncate_after, entries)
        with self._storage_errors():
            self._has_tail = True
            self.write_frame(self._file, frame)
            try:
                self._sync(self._file, data_only=True)
            except OSError as exc:
                raise StorageError(
                    f"{self._folder}: {exc}", may_be_stored=True
                ) from exc
            self._check_in_place(self._file)
        self._has_tail = False
        self._end_offset += len(frame)

    def _check_in_place(self, file: int) -> None:
        if not os.fstat(file).st_nlink:
            # The copy may hold what has just been written, or not.
            raise StorageDamagedError(
                f"{self._path}: another process has replaced the file",
                may_be_stored=True,
            )

    def write_frame(self, file: int, frame: bytes) -> None:
        """Write to a file; tests override this to inject faults."""
        write_all(file, frame)

    def sync_file(self, file: int, *, data_only: bool) -> None:
        """Sync a file or a folder; tests override this to inject faults."""
        if data_only:
            os.fdatasync(file)
        else:
            os.fsync(file)

    def read_log(self) -> list[LogEntry]:
        """Return the log entries after the snapshot."""
        return self.read().entries

    def save_snapshot(
        self, snapshot: Snapshot, truncate_after: int | None = None
    ) -> None:
        """Store a snapshot and drop the log entries up to its position.

        Entries after `truncate_after` are dropped as well.
        """
        stored = self.read(entries_after=snapshot.position)
        if truncate_after is not None:
            _truncate(stored, truncate_after)
        frame = _encode_frame(snapshot, stored.meta, None, stored.entries)
        with self._storage_errors():
            self._replace([frame])

    def _replace(self, pieces: Iterable[bytes]) -> None:
        file = self._write_new_file(pieces)
        new = self._folder / _NEW_NAME
        try:
            new.rename(self._path)
        except OSError:
            os.close(file)
            new.unlink()
            raise
        if self._file is not None:
            os.close(self._file)
        self._file = file
        self._end_offset = os.fstat(file).st_size
        self._has_tail = self._must_copy = False
        # Until the folder is synced, a power failure restores the old file.
        self._must_sync = True
        self._sync_folder()
        self._must_sync = False

    def _write_new_file(self, pieces: Iterable[bytes]) -> int:
        """Write and sync the new file; remove it if that fails."""
        new = self._folder / _NEW_NAME
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        file = os.open(new, flags, 0o600)
        try:
            for piece in pieces:
                self.write_frame(file, piece)
            self.sync_file(file, data_only=True)
        except (OSError, StorageError):
            os.close(file)
            new.unlink()
            raise
        return file

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, or None."""
        return self.read(entries_after=sys.maxsize).snapshot

    def save_meta(self, name: str, content: bytes) -> None:
        """Store a named value."""
        self.append((), None, {name: content})

    def read_meta(self, name: str) -> bytes | None:
        """Return a named value, or None."""
        return self.read(entries_after=sys.maxsize).meta.get(name)

    def close(self) -> None:
        """Release the data folder."""
        self._is_closed = True
        if self._file is not None:
            os.close(self._file)
            self._file = None


def _encode_frame(
    snapshot: Snapshot | None,
    meta: Mapping[str, bytes],
    truncate_after: int | None,
    entries: Iterable[LogEntry],
) -> bytes:
    snapshot_fields = None
    if snapshot is not None:
        snapshot_fields = (snapshot.position, snapshot.term, snapshot.content)
    payload = cbor2.dumps(
        [
            snapshot_fields,
            dict(meta),
            truncate_after,
            [(e.position, e.term, e.content) for e in entries],
        ]
    )
    return _HEADER.pack(_MAGIC, len(payload), _checksum(payload)) + payload


def _checksum(payload: bytes) -> int:
    """Return a checksum of size and content.

    Including the size keeps a run of zeros from being a valid frame.
    """
    return zlib.crc32(payload, zlib.crc32(len(payload).to_bytes(4)))


def _decode_frame_at(data: bytes, start: int) -> bytes | None:
    """Return the payload of a complete frame at an offset, or None."""
    if start + _HEADER.size > len(data):
        return None
    magic, size, checksum = _HEADER.unpack_from(data, start)
    payload_start = start + _HEADER.size
    payload = data[payload_start : payload_start + size]
    if magic != _MAGIC or len(payload) != size:
        return None
    return payload if _checksum(payload) == checksum else None


def _iterate_frames(file: int, size: int) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the payload of each frame until a bad one.

    Only one frame is in memory at a time.
    """
    start = 0
    while (payload := _read_frame_at(file, start, size)) is not None:
        start += _HEADER.size + len(payload)
        yield start, payload


def _read_frame_at(file: int, start: int, end: int) -> bytes | None:
    """Return the payload of a complete frame in a file, or None."""
    payload_start = start + _HEADER.size
    header = _read_at(file, _HEADER.size, start)
    if payload_start > end or len(header) != _HEADER.size:
        return None
    magic, size, checksum = _HEADER.unpack(header)
    if magic != _MAGIC or payload_start + size > end:
        return None
    payload = _read_at(file, size, payload_start)
    if len(payload) != size or _checksum(payload) != checksum:
        return None
    return payload


def _read_at(file: int, size: int, start: int) -> bytes:
    """Return `size` bytes of a file, or fewer if it ends before."""
    pieces = []
    while size and (piece := os.pread(file, size, start)):
        pieces.append(piece)
        start += len(piece)
        size -= len(piece)
    return b"".join(pieces)


def _has_frame_after_start(data: bytes) -> bool:
    """Return whether a complete frame starts anywhere but at the start."""
    offset = data.find(_MAGIC, 1)
    while offset >= 0:
        if _decode_frame_at(data, offset) is not None:
            return True
        offset = data.find(_MAGIC, offset + 1)
    return False


def write_all(file: int, data: bytes) -> None:
    """Append all of the data to a file."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
