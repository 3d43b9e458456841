"""The interface of a replica's durable storage."""

from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from wigeonford.errors import Code, WigeonfordError


class StorageError(WigeonfordError):
    """Report that the data folder can't be read or written.

    `may_be_stored` tells that a restart may find what was to be stored.
    """

    def __init__(self, detail: str, *, may_be_stored: bool = False) -> None:
        super().__init__(Code.STORAGE_FAILED, detail)
        self.may_be_stored = may_be_stored


class StorageDamagedError(StorageError):
    """Report that data that were stored can't be read any more."""


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one entry of the replicated log."""

    position: int
    term: int
    content: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state after the entry at a log position."""

    position: int
    term: int
    content: bytes


class StoredContent(msgspec.Struct):
    """Hold all that a store holds: `entries` are those of the log."""

    snapshot: Snapshot | None = None
    entries: list[LogEntry] = msgspec.field(default_factory=list)
    meta: dict[str, bytes] = msgspec.field(default_factory=dict)


class Store(Protocol):
    """Store a log, a snapshot and named values durably.

    Writes are synced before a method returns. Every method may raise
    `StorageError`; after that, reads return what was stored before the call,
    or after it in the case of a snapshot, and the call may be made again.
    """

    @property
    def is_durable(self) -> bool:
        """Return whether all that can be read survives a power failure."""

    def check_room(self, size: int) -> None:
        """Raise `StorageError` unless `size` bytes can be written."""

    def append(
        self,
        entries: Iterable[LogEntry],
        truncate_after: int | None = None,
        meta: Mapping[str, bytes] | None = None,
    ) -> None:
        """Append entries and set named values.

        Entries after `truncate_after` are dropped first.
        """

    def read(self) -> StoredContent:
        """Return all that is stored, read once."""

    def read_log(self) -> list[LogEntry]:
        """Return the log entries after the snapshot."""

    def save_snapshot(
        self, snapshot: Snapshot, truncate_after: int | None = None
    ) -> None:
        """Store a snapshot and drop the log entries up to its position.

        Entries after `truncate_after` are dropped as well.
        """

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, or None."""

    def save_meta(self, name: str, content: bytes) -> None:
        """Store a named value."""

    def read_meta(self, name: str) -> bytes | None:
        """Return a named value, or None."""

    def close(self) -> None:
        """Release the data folder."""
