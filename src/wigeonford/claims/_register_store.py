"""Durable claim registers of one replica, written in batches."""

from collections.abc import Iterable, Iterator
import contextlib
from pathlib import Path
import sqlite3
import threading
from typing import Final

from wigeonford.claims._registers import (
    EMPTY_REGISTER,
    merge_copy,
    Register,
    RegisterRequest,
    to_copy,
    transition,
)
from wigeonford.control._store import StorageDamagedError, StorageError
from wigeonford.messages.claim import (
    RegisterCopy,
    RegisterPage,
    RegisterReply,
)
from wigeonford.peer import MESSAGES

DATABASE_NAME: Final = "claims.sqlite"
RETENTION_S: Final = 86400.0
MAX_REGISTERS: Final = 500_000

_SCHEMA: Final = """
CREATE TABLE IF NOT EXISTS registers (
    key BLOB PRIMARY KEY, opened_at REAL NOT NULL, content BLOB NOT NULL
) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_age ON registers (opened_at);
CREATE TABLE IF NOT EXISTS flags (name TEXT PRIMARY KEY) WITHOUT ROWID;
"""


class RegisterStore:
    """Store registers on disk only, so that memory use stays bounded.

    Worker threads may call it; a lock lets in one call at a time. Every
    call raises `StorageError` after `close` or when the database fails.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock = threading.Lock()
        self._closed = False
        self._db: sqlite3.Connection | None = None
        try:
            self.count()
        except StorageDamagedError:
            raise
        except StorageError:
            # A full disk is no reason not to start; later calls try again.
            return

    def _open(self) -> sqlite3.Connection:
        self._folder.mkdir(parents=True, exist_ok=True)
        db = sqlite3.connect(
            self._folder / DATABASE_NAME,
            isolation_level=None,
            check_same_thread=False,
        )
        try:
            db.execute("PRAGMA locking_mode=EXCLUSIVE")
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.executescript(_SCHEMA)
        except sqlite3.Error:
            db.close()
            raise
        return db

    def close(self) -> None:
        """Close the database once the running call has ended."""
        with self._lock:
            self._closed = True
            if self._db is not None:
                self._db.close()

    @contextlib.contextmanager
    def _locked_database(self) -> Iterator[sqlite3.Connection]:
        """Lock the database; roll back and raise `StorageError` on failure.

        Raise `StorageDamagedError` if the file is no database.
        """
        with self._lock:
            if self._closed:
                raise StorageError("the register store is closed")
            try:
                if self._db is None:
                    self._db = self._open()
                yield self._db
            except (OSError, sqlite3.OperationalError) as exc:
                self._roll_back()
                raise StorageError(f"{self._folder}: {exc}") from exc
            except sqlite3.Error as exc:
                self._roll_back()
                raise StorageDamagedError(f"{self._folder}: {exc}") from exc

    def count(self) -> int:
        """Return how many registers are stored."""
        with self._locked_database() as db:
            row = db.execute("SELECT count(*) FROM registers").fetchone()
        return int(row[0])

    def has_flag(self, name: str) -> bool:
        """Return whether a flag has been set."""
        with self._locked_database() as db:
            found = db.execute(
                "SELECT 1 FROM flags WHERE name = ?", (name,)
            ).fetchone()
        return found is not None

    def set_flag(self, name: str) -> None:
        """Set a flag, durably."""
        with self._locked_database() as db:
            db.execute("INSERT OR IGNORE INTO flags VALUES (?)", (name,))

    def apply_requests(
        self, requests: Iterable[RegisterRequest], now_s: float
    ) -> list[RegisterReply]:
        """Apply requests in one synced commit and return their replies."""
        replies: list[RegisterReply] = []
        with self._locked_database() as db:
            db.execute("BEGIN IMMEDIATE")
            for request in requests:
                before = _load(db, request.key)
                after, reply = transition(before, request)
                if after != before:
                    _save(db, request.key, after, now_s)
                replies.append(reply)
            db.execute("COMMIT")
        return replies

    def merge_copies(
        self, copies: Iterable[RegisterCopy], now_s: float
    ) -> None:
        """Merge copies from another replica into registers that were lost."""
        with self._locked_database() as db:
            db.execute("BEGIN IMMEDIATE")
            for copy in copies:
                after = merge_copy(_load(db, copy.key), copy)
                _save(db, copy.key, after, now_s)
            db.execute("COMMIT")

    def read_page(self, after: bytes, limit: int) -> RegisterPage:
        """Return at most `limit` registers that follow a key, in order."""
        with self._locked_database() as db:
            rows = db.execute(
                "SELECT key, content FROM registers WHERE key > ? "
                "ORDER BY key LIMIT ?",
                (after, limit),
            ).fetchall()
        return RegisterPage(
            tuple(to_copy(key, _decode(content)) for key, content in rows)
        )

    def delete_expired(self, now_s: float) -> int:
        """Delete registers past their retention; return how many."""
        with self._locked_database() as db:
            cursor = db.execute(
                "DELETE FROM registers WHERE opened_at < ?",
                (now_s - RETENTION_S,),
            )
        return cursor.rowcount

    def _roll_back(self) -> None:
        """End a transaction; open the database anew if that fails."""
        if self._db is None or not self._db.in_transaction:
            return
        try:
            self._db.execute("ROLLBACK")
        except sqlite3.Error:
            self._db.close()
            self._db = None


def _load(db: sqlite3.Connection, key: bytes) -> Register:
    row = db.execute(
        "SELECT content FROM registers WHERE key = ?", (key,)
    ).fetchone()
    return _decode(row[0]) if row else EMPTY_REGISTER


def _save(
    db: sqlite3.Connection, key: bytes, register: Register, now_s: float
) -> None:
    copy = to_copy(key, register)
    row = (key, now_s, MESSAGES.encode(RegisterPage((copy,))))
    # Retention counts from the first write; later writes don't extend it.
    db.execute(
        "INSERT INTO registers VALUES (?, ?, ?) ON CONFLICT (key) "
        "DO UPDATE SET content = excluded.content",
        row,
    )


def _decode(content: bytes) -> Register:
    page = MESSAGES.decode(content)
    assert isinstance(page, RegisterPage), "a register is stored as a page"
    copy = page.registers[0]
    return Register(copy.promised, copy.accepted, copy.row, copy.forgot)
