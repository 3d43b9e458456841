"""Requests that wait for an entry, a position or a confirmed read."""

import asyncio
from typing import Any

from wigeonford.control._commands import CommandResult
from wigeonford.control._raft_inbox import Read
from wigeonford.errors import Code, PeerError, WigeonfordError
from wigeonford.peer import NotLeaderError


class PendingRequests:
    """Hold the futures of waiting requests and complete each once."""

    def __init__(self) -> None:
        self._entries: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._applied_waiters: list[tuple[int, asyncio.Future[Any]]] = []
        self._reads: list[Read] = []
        self._applied_term = 0

    def add_entry(
        self, position: int, term: int, fut: asyncio.Future[CommandResult]
    ) -> None:
        """Complete the future once this entry has been applied."""
        earlier = self._entries.get(position)
        if earlier is not None:
            _fail(earlier[1], Code.NO_QUORUM, "another entry took its place")
        self._entries[position] = (term, fut)

    def add_read(self, read: Read) -> None:
        """Complete the read once leadership is confirmed after it began."""
        self._reads.append(read)

    def when_applied(
        self, position: int, applied_position: int
    ) -> asyncio.Future[Any]:
        """Return a future that is done once a position is applied."""
        fut = asyncio.get_running_loop().create_future()
        if applied_position >= position:
            fut.set_result(None)
        else:
            self._applied_waiters.append((position, fut))
        return fut

    def resolve(self, position: int, term: int, result: Any) -> None:
        """Complete the requests that wait for a position now applied."""
        pending = self._entries.get(position)
        if pending is not None and pending[0] == term:
            _succeed(self._entries.pop(position)[1], result)
        if term != self._applied_term:
            self._applied_term = term
            self._reject_superseded(position, term)
        reached = [fut for at, fut in self._applied_waiters if at <= position]
        for fut in reached:
            _succeed(fut, None)
        if reached:
            self._applied_waiters = [
                waiter
                for waiter in self._applied_waiters
                if waiter[0] > position
            ]

    def _reject_superseded(self, position: int, term: int) -> None:
        """Fail requests in whose place others are committed as not taken.

        Terms never decrease in a log, so that no entry of an earlier term can
        follow the one that is applied.
        """
        superseded = [
            at
            for at, (entry_term, _) in self._entries.items()
            if at >= position and entry_term < term
        ]
        for at in superseded:
            _reject(self._entries.pop(at)[1])

    def confirm_reads(self, confirmed_at_s: float, position: int) -> None:
        """Complete the reads that began before leadership was confirmed."""
        ready = [
            read for read in self._reads if read.asked_s <= confirmed_at_s
        ]
        self._reads = [
            read for read in self._reads if read.asked_s > confirmed_at_s
        ]
        for read in ready:
            _succeed(read.fut, position)

    def reject_after(self, position: int, term: int) -> None:
        """Fail requests for unsaved entries of the current term as not taken.

        Entries of an earlier term may have been sent in that term, before
        a newer leader's entries took their places.
        """
        unsaved = [
            at
            for at, (entry_term, _) in self._entries.items()
            if at > position and entry_term == term
        ]
        for at in unsaved:
            _reject(self._entries.pop(at)[1])

    def reject_reads(self, exc: WigeonfordError) -> None:
        """Fail unconfirmed reads as not taken, confirmed ones with `exc`."""
        for read in self._reads:
            _reject(read.fut)
        for _, fut in self._applied_waiters:
            if not fut.done():
                fut.set_exception(exc)
        self._reads.clear()
        self._applied_waiters.clear()

    def fail_all(self, code: Code, detail: str) -> None:
        """Fail the requests that wait for entries and reads."""
        futs = [fut for _, fut in self._entries.values()]
        futs.extend(read.fut for read in self._reads)
        self._entries.clear()
        self._reads.clear()
        for fut in futs:
            _fail(fut, code, detail)


def _succeed(fut: asyncio.Future[Any], result: Any) -> None:
    if not fut.done():
        fut.set_result(result)


def _fail(fut: asyncio.Future[Any], code: Code, detail: str) -> None:
    if not fut.done():
        fut.set_exception(PeerError(code, detail))


def _reject(fut: asyncio.Future[Any]) -> None:
    if not fut.done():
        fut.set_exception(NotLeaderError(None))
