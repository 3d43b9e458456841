"""The in-memory log of one replica; it tracks the unsaved entries."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from wigeonford.control._raft_members import decode_change, ReplicaTable
from wigeonford.control._store import LogEntry


class RaftLog:
    """Hold the entries after a base position.

    `table` is the newest replica table in the log, committed or not.
    """

    def __init__(
        self,
        position: int = 0,
        term: int = 0,
        table: ReplicaTable = (),
        entries: Iterable[LogEntry] = (),
    ) -> None:
        self._base_position = position
        self._base_term = term
        self._entries: list[LogEntry] = []
        # Sum of the sizes up to each entry, counted since the log was built.
        self._end_bytes: list[int] = []
        self._base_bytes = 0
        self._tables: list[tuple[int, ReplicaTable]] = [(position, table)]
        for entry in entries:
            self._add(entry)
        self._dirty_after: int | None = None

    @property
    def base_position(self) -> int:
        """Return the position before the first entry in memory."""
        return self._base_position

    @property
    def last_position(self) -> int:
        """Return the position of the last entry."""
        return self._base_position + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if not self._entries:
            return self._base_term
        return self._entries[-1].term

    @property
    def table(self) -> ReplicaTable:
        """Return the newest replica table."""
        return self._tables[-1][1]

    @property
    def table_position(self) -> int:
        """Return the position of the entry that set the newest table."""
        return self._tables[-1][0]

    def table_at(self, position: int) -> ReplicaTable:
        """Return the replica table as of a position."""
        return next(
            table for at, table in reversed(self._tables) if at <= position
        )

    def term_at(self, position: int) -> int | None:
        """Return the term at a position, or None if it isn't in the log."""
        if position == self._base_position:
            return self._base_term
        if not self._base_position < position <= self.last_position:
            return None
        return self._entries[position - self._base_position - 1].term

    def entries_between(
        self, after: int, upto: int, max_bytes: int | None = None
    ) -> tuple[LogEntry, ...]:
        """Return the entries after one position up to and including another.

        With `max_bytes`, return only as many as fit in that size, but at
        least one.
        """
        assert after >= self._base_position, "the entries have been compacted"
        start = after - self._base_position
        end = upto - self._base_position
        if max_bytes is not None:
            fitting = bisect_right(
                self._end_bytes, self._bytes_until(after) + max_bytes
            )
            end = min(end, max(fitting, start + 1))
        return tuple(self._entries[start:end])

    def bytes_between(self, after: int, upto: int) -> int:
        """Return the size of the entries in memory in a range of positions."""
        after = max(after, self._base_position)
        return max(self._bytes_until(upto) - self._bytes_until(after), 0)

    def _bytes_until(self, position: int) -> int:
        count = position - self._base_position
        return self._end_bytes[count - 1] if count > 0 else self._base_bytes

    def position_with_bytes_after(self, upto: int, max_bytes: int) -> int:
        """Return the first position with at most `max_bytes` behind it.

        Only entries up to and including `upto` count.
        """
        until = self._bytes_until(upto) - max_bytes
        if until <= self._base_bytes:
            return self._base_position
        return self._base_position + bisect_left(self._end_bytes, until) + 1

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries at the end."""
        for entry in entries:
            self._mark_dirty(entry.position - 1)
            self._add(entry)

    def _add(self, entry: LogEntry) -> None:
        assert entry.position == self.last_position + 1, (
            "an entry leaves a gap in the log"
        )
        self._entries.append(entry)
        size = len(entry.content)
        self._end_bytes.append(self._bytes_until(entry.position - 1) + size)
        table = decode_change(entry.content)
        if table is not None:
            self._tables.append((entry.position, table))

    def truncate_after(self, position: int) -> None:
        """Drop the entries after a position."""
        self._mark_dirty(position)
        del self._entries[position - self._base_position :]
        del self._end_bytes[position - self._base_position :]
        while self._tables[-1][0] > position:
            self._tables.pop()

    def _mark_dirty(self, position: int) -> None:
        if self._dirty_after is None or position < self._dirty_after:
            self._dirty_after = position

    def take_unsaved(self) -> tuple[int, tuple[LogEntry, ...]] | None:
        """Return the unsaved tail of the log and mark it as saved.

        The result is the last position that is saved unchanged, and all
        entries after it; None if nothing is unsaved.
        """
        after = self._dirty_after
        self._dirty_after = None
        if after is None:
            return None
        return after, self.entries_between(after, self.last_position)

    def first_position_of_term(self, position: int) -> int:
        """Return the first position in memory with the term of a position."""
        term = self.term_at(position)
        while (
            position > self._base_position
            and self.term_at(position - 1) == term
        ):
            position -= 1
        return position

    def compact(self, position: int) -> None:
        """Drop the entries up to a position."""
        if position <= self._base_position:
            return
        table = self.table_at(position)
        term = self.term_at(position)
        assert term is not None, "the position is not in the log"
        self._base_bytes = self._bytes_until(position)
        del self._entries[: position - self._base_position]
        del self._end_bytes[: position - self._base_position]
        later = [(at, other) for at, other in self._tables if at > position]
        self._tables = [(position, table), *later]
        self._base_position = position
        self._base_term = term

    def reset(self, position: int, term: int, table: ReplicaTable) -> None:
        """Restart the log after a snapshot, with nothing unsaved."""
        self._base_position = position
        self._base_term = term
        self._entries.clear()
        self._end_bytes.clear()
        self._base_bytes = 0
        self._tables = [(position, table)]
        self._dirty_after = None

    def is_covered_by(self, last_position: int, last_term: int) -> bool:
        """Return whether a log with this end is at least as up to date."""
        return (last_term, last_position) >= (
            self.last_term,
            self.last_position,
        )
