"""What one replica must keep under its data folder."""

from collections.abc import Iterable, Mapping
from typing import Protocol

import msgspec

from wigeonford.errors import Code, WigeonfordError


class StorageError(WigeonfordError):
    """Report that the data folder can't be read or written."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.STORAGE_FAILED, detail)


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one record of the replicated log."""

    position: int
    term: int
    content: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """Hold the state up to and including a log position."""

    position: int
    term: int
    content: bytes


class Store(Protocol):
    """Keep a log, a snapshot and named values; every call is durable.

    Every method raises `StorageError`; after one has, what is kept is not
    known until the store is opened anew.
    """

    def append(
        self,
        entries: Iterable[LogEntry],
        truncate_after: int | None = None,
        meta: Mapping[str, bytes] | None = None,
    ) -> None:
        """Add entries and named values, first dropping later entries."""

    def read_log(self) -> list[LogEntry]:
        """Return the log that follows the snapshot."""

    def save_snapshot(
        self, snapshot: Snapshot, truncate_after: int | None = None
    ) -> None:
        """Keep a snapshot and drop the log up to its position.

        Entries after `truncate_after` are dropped as well.
        """

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, if any."""

    def save_meta(self, name: str, content: bytes) -> None:
        """Keep a named value."""

    def read_meta(self, name: str) -> bytes | None:
        """Return a named value, or None."""

    def close(self) -> None:
        """Release the data folder."""
