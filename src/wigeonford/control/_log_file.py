"""Append-only log file of one replica, in checksummed frames."""

from collections.abc import Iterable, Iterator, Mapping
import os
from pathlib import Path
import struct
from typing import Final
import zlib

import cbor2
import msgspec

from wigeonford.control._store import LogEntry, Snapshot, StorageError

LOG_NAME: Final = "control.log"
_NEW_NAME: Final = "control.log.new"
_MAGIC: Final = b"wgf1"
_HEADER: Final = struct.Struct(">4sII")


class _FileContent(msgspec.Struct):
    """Accumulate the content of a file from its frames."""

    snapshot: Snapshot | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    meta: dict[str, bytes] = msgspec.field(default_factory=dict)
    end_offset: int = 0

    def apply_frame(self, payload: bytes) -> None:
        """Apply one frame."""
        snapshot, meta, truncate_after, entries = cbor2.loads(payload)
        if snapshot is not None:
            self.snapshot = Snapshot(*snapshot)
        self.meta.update(meta)
        if truncate_after is not None:
            self.truncate(truncate_after)
        self.entries.extend(LogEntry(*entry) for entry in entries)

    def truncate(self, after: int) -> None:
        """Drop the entries after a position."""
        while self.entries and self.entries[-1].position > after:
            self.entries.pop()


class LogFileStore:
    """Store the log, the snapshot and named values in a single file.

    Each frame is synced before the next is written, so that only the last
    frame can be torn; a bad frame before a good one means corruption. After a
    failed write or sync the end of the file is unknown, so that all calls
    fail until the store is reopened.

    `dropped_bytes` is the size of the torn frame that was dropped on opening.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._failure: str | None = None
        self.dropped_bytes = 0
        try:
            folder.mkdir(parents=True, exist_ok=True)
            (folder / _NEW_NAME).unlink(missing_ok=True)
            self._file = self._open()
            self._drop_torn_tail()
        except OSError as exc:
            raise StorageError(f"{folder}: {exc}") from exc

    def _open(self) -> int:
        path = self._folder / LOG_NAME
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._sync_folder()
        return file

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _drop_torn_tail(self) -> None:
        data = self._path.read_bytes()
        end_offset = self._parse(data).end_offset
        if _has_frame_after(data, end_offset):
            raise StorageError(
                f"{self._path}: corrupt frame at byte {end_offset}"
            )
        self.dropped_bytes = len(data) - end_offset
        if self.dropped_bytes:
            os.ftruncate(self._file, end_offset)
            os.fsync(self._file)

    @property
    def _path(self) -> Path:
        return self._folder / LOG_NAME

    def _parse(self, data: bytes) -> _FileContent:
        content = _FileContent()
        for end_offset, payload in _iterate_frames(data):
            content.apply_frame(payload)
            content.end_offset = end_offset
        return content

    def _read(self) -> _FileContent:
        self._raise_if_failed()
        try:
            return self._parse(self._path.read_bytes())
        except OSError as exc:
            raise self._record_failure(exc) from exc

    def _raise_if_failed(self) -> None:
        if self._failure is not None:
            raise StorageError(self._failure)

    def _record_failure(self, exc: OSError) -> StorageError:
        self._failure = f"{self._folder}: {exc}"
        return StorageError(self._failure)

    def append(
        self,
        entries: Iterable[LogEntry],
        truncate_after: int | None = None,
        meta: Mapping[str, bytes] | None = None,
    ) -> None:
        """Append entries and set named values.

        Entries after `truncate_after` are dropped first.
        """
        self._raise_if_failed()
        frame = _encode_frame(None, meta or {}, truncate_after, entries)
        try:
            self.write_frame(self._file, frame)
        except OSError as exc:
            raise self._record_failure(exc) from exc

    def write_frame(self, file: int, frame: bytes) -> None:
        """Write and sync one frame; tests override this to inject faults."""
        write_all(file, frame)
        os.fdatasync(file)

    def read_log(self) -> list[LogEntry]:
        """Return the log entries after the snapshot."""
        return self._read().entries

    def save_snapshot(
        self, snapshot: Snapshot, truncate_after: int | None = None
    ) -> None:
        """Store a snapshot and drop the log entries up to its position.

        Entries after `truncate_after` are dropped as well.
        """
        content = self._read()
        if truncate_after is not None:
            content.truncate(truncate_after)
        later = [e for e in content.entries if e.position > snapshot.position]
        frame = _encode_frame(snapshot, content.meta, None, later)
        try:
            self._replace(frame)
        except OSError as exc:
            raise self._record_failure(exc) from exc

    def _replace(self, frame: bytes) -> None:
        new = self._folder / _NEW_NAME
        file = os.open(new, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write_frame(file, frame)
        finally:
            os.close(file)
        new.rename(self._path)
        os.close(self._file)
        self._file = self._open()

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, or None."""
        return self._read().snapshot

    def save_meta(self, name: str, content: bytes) -> None:
        """Store a named value."""
        self.append((), None, {name: content})

    def read_meta(self, name: str) -> bytes | None:
        """Return a named value, or None."""
        return self._read().meta.get(name)

    def close(self) -> None:
        """Release the data folder."""
        self._failure = f"{self._folder}: closed"
        os.close(self._file)


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


def _iterate_frames(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and the payload of each frame until a bad one."""
    start = 0
    while (payload := _decode_frame_at(data, start)) is not None:
        start += _HEADER.size + len(payload)
        yield start, payload


def _has_frame_after(data: bytes, start: int) -> bool:
    """Return whether a complete frame starts anywhere after an offset."""
    offset = data.find(_MAGIC, start + 1)
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
