"""Durable storage of one replica under its data folder."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
import sqlite3
from typing import Final, Protocol

from wigeonford.errors import Code, WigeonfordError

DATABASE_NAME: Final = "control.sqlite"

_SCHEMA: Final = """
CREATE TABLE IF NOT EXISTS log (
    position INTEGER PRIMARY KEY, term INTEGER NOT NULL, content BLOB NOT NULL
);
CREATE TABLE IF NOT EXISTS snapshot (
    id INTEGER PRIMARY KEY CHECK (id = 1),
    position INTEGER NOT NULL, term INTEGER NOT NULL, content BLOB NOT NULL
);
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, content BLOB NOT NULL);
"""


class StorageError(WigeonfordError):
    """Report that the data folder can't be read or written."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.STORAGE_FAILED, detail)


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one record of the replicated log."""

    position: int
    term: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the state up to and including a log position."""

    position: int
    term: int
    content: bytes


class Store(Protocol):
    """Keep a log, a snapshot and named values; every call is durable."""

    def append(
        self, entries: Iterable[LogEntry], truncate_after: int | None = None
    ) -> None:
        """Add entries, first dropping those after a position."""

    def read_log(self) -> list[LogEntry]:
        """Return the log that follows the snapshot."""

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep a snapshot and drop the log up to its position."""

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, if any."""

    def save_meta(self, name: str, content: bytes) -> None:
        """Keep a named value."""

    def read_meta(self, name: str) -> bytes | None:
        """Return a named value, or None."""

    def close(self) -> None:
        """Release the data folder."""


class SqliteStore:
    """Keep the log in SQLite, synced at each commit.

    The exclusive lock is set before the journal mode, since the write-ahead
    log would otherwise map a shared-memory file.
    """

    def __init__(self, folder: Path) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._db = sqlite3.connect(
                folder / DATABASE_NAME,
                isolation_level=None,
                check_same_thread=False,
            )
            self._db.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            self._db.executescript(_SCHEMA)
        except (OSError, sqlite3.Error) as exc:
            raise StorageError(f"{folder}: {exc}") from exc

    def _commit(
        self, statements: Iterable[tuple[str, Iterable[tuple[object, ...]]]]
    ) -> None:
        try:
            self._db.execute("BEGIN IMMEDIATE")
            try:
                for sql, rows in statements:
                    self._db.executemany(sql, rows)
                self._db.execute("COMMIT")
            except BaseException:
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
                raise
        except sqlite3.Error as exc:
            raise StorageError(str(exc)) from exc

    def append(
        self, entries: Iterable[LogEntry], truncate_after: int | None = None
    ) -> None:
        """Add entries, first dropping those after a position."""
        dropped = [] if truncate_after is None else [(truncate_after,)]
        self._commit(
            [
                ("DELETE FROM log WHERE position > ?", dropped),
                (
                    "INSERT INTO log VALUES (?, ?, ?)",
                    [(e.position, e.term, e.content) for e in entries],
                ),
            ]
        )

    def read_log(self) -> list[LogEntry]:
        """Return the log that follows the snapshot."""
        rows = self._db.execute(
            "SELECT position, term, content FROM log ORDER BY position"
        )
        return [LogEntry(*row) for row in rows]

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep a snapshot and drop the log up to its position."""
        row = (snapshot.position, snapshot.term, snapshot.content)
        self._commit(
            [
                ("REPLACE INTO snapshot VALUES (1, ?, ?, ?)", [row]),
                (
                    "DELETE FROM log WHERE position <= ?",
                    [(snapshot.position,)],
                ),
            ]
        )

    def read_snapshot(self) -> Snapshot | None:
        """Return the snapshot, if any."""
        row = self._db.execute(
            "SELECT position, term, content FROM snapshot"
        ).fetchone()
        return Snapshot(*row) if row else None

    def save_meta(self, name: str, content: bytes) -> None:
        """Keep a named value."""
        self._commit([("REPLACE INTO meta VALUES (?, ?)", [(name, content)])])

    def read_meta(self, name: str) -> bytes | None:
        """Return a named value, or None."""
        row = self._db.execute(
            "SELECT content FROM meta WHERE name = ?", (name,)
        ).fetchone()
        return bytes(row[0]) if row else None

    def close(self) -> None:
        """Release the data folder."""
        self._db.close()
