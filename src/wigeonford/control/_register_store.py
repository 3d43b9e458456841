"""Durable claim registers of one replica, read and written in batches."""

from collections.abc import Iterable
from pathlib import Path
import sqlite3
from typing import Final

from wigeonford.control._registers import (
    EMPTY_REGISTER,
    merge_copy,
    Register,
    RegisterRequest,
    to_copy,
    transition,
)
from wigeonford.control._store import StorageError
from wigeonford.peer import (
    MESSAGES,
    RegisterCopy,
    RegisterPage,
    RegisterReply,
)

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
    """Keep registers on disk only, so that memory stays bounded."""

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

    def close(self) -> None:
        """Release the data folder."""
        self._db.close()

    def count(self) -> int:
        """Return how many registers are held."""
        row = self._db.execute("SELECT count(*) FROM registers").fetchone()
        return int(row[0])

    def has_flag(self, name: str) -> bool:
        """Tell whether a flag has been set."""
        found = self._db.execute(
            "SELECT 1 FROM flags WHERE name = ?", (name,)
        ).fetchone()
        return found is not None

    def set_flag(self, name: str) -> None:
        """Set a flag, durably."""
        try:
            self._db.execute("INSERT OR IGNORE INTO flags VALUES (?)", (name,))
        except sqlite3.Error as exc:
            raise StorageError(str(exc)) from exc

    def apply(
        self, requests: Iterable[RegisterRequest], now_s: float
    ) -> list[RegisterReply]:
        """Return the replies to requests, all synced by one commit."""
        replies: list[RegisterReply] = []
        try:
            self._db.execute("BEGIN IMMEDIATE")
            for request in requests:
                before = self._load(request.key)
                after, reply = transition(before, request)
                if after != before:
                    self._save(request.key, after, now_s)
                replies.append(reply)
            self._db.execute("COMMIT")
        except sqlite3.Error as exc:
            self._roll_back()
            raise StorageError(str(exc)) from exc
        return replies

    def merge(self, copies: Iterable[RegisterCopy], now_s: float) -> None:
        """Take copies from another replica into lost registers."""
        try:
            self._db.execute("BEGIN IMMEDIATE")
            for copy in copies:
                after = merge_copy(self._load(copy.key), copy)
                self._save(copy.key, after, now_s)
            self._db.execute("COMMIT")
        except sqlite3.Error as exc:
            self._roll_back()
            raise StorageError(str(exc)) from exc

    def page(self, after: bytes, limit: int) -> RegisterPage:
        """Return the registers that follow a key."""
        rows = self._db.execute(
            "SELECT key, content FROM registers WHERE key > ? "
            "ORDER BY key LIMIT ?",
            (after, limit),
        )
        return RegisterPage(
            tuple(to_copy(key, _decode(content)) for key, content in rows)
        )

    def expire(self, now_s: float) -> int:
        """Forget registers past their retention; return how many."""
        try:
            cursor = self._db.execute(
                "DELETE FROM registers WHERE opened_at < ?",
                (now_s - RETENTION_S,),
            )
        except sqlite3.Error as exc:
            raise StorageError(str(exc)) from exc
        return cursor.rowcount

    def _load(self, key: bytes) -> Register:
        row = self._db.execute(
            "SELECT content FROM registers WHERE key = ?", (key,)
        ).fetchone()
        return _decode(row[0]) if row else EMPTY_REGISTER

    def _save(self, key: bytes, register: Register, now_s: float) -> None:
        copy = to_copy(key, register)
        row = (key, now_s, MESSAGES.encode(RegisterPage((copy,))))
        # The age counts from the first write, whatever follows.
        self._db.execute(
            "INSERT INTO registers VALUES (?, ?, ?) ON CONFLICT (key) "
            "DO UPDATE SET content = excluded.content",
            row,
        )

    def _roll_back(self) -> None:
        if self._db.in_transaction:
            self._db.execute("ROLLBACK")


def _decode(content: bytes) -> Register:
    page = MESSAGES.decode(content)
    assert isinstance(page, RegisterPage), "a register is kept as a page"
    copy = page.registers[0]
    return Register(copy.promised, copy.accepted, copy.row, copy.forgot)
