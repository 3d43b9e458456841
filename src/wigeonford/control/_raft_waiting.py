"""Callers that wait for an entry, a position or a confirmed read."""

import asyncio
from typing import Any

from wigeonford.control._commands import CommandResult
from wigeonford.control._raft_inbox import Read
from wigeonford.errors import Code, PeerError


class Waiting:
    """Hold futures and settle each once."""

    def __init__(self) -> None:
        self._entries: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._applied: list[tuple[int, asyncio.Future[Any]]] = []
        self._reads: list[Read] = []

    def add_entry(
        self, position: int, term: int, fut: asyncio.Future[CommandResult]
    ) -> None:
        """Wait for the entry of a term at a position."""
        self._entries[position] = (term, fut)

    def add_read(self, read: Read) -> None:
        """Wait until the lead is confirmed after the read was asked."""
        self._reads.append(read)

    def applied(self, position: int, now_at: int) -> asyncio.Future[Any]:
        """Return a future that is done once a position is applied."""
        fut = asyncio.get_running_loop().create_future()
        if now_at >= position:
            fut.set_result(None)
        else:
            self._applied.append((position, fut))
        return fut

    def resolve(self, position: int, term: int, result: Any) -> None:
        """Settle what waits for a position that is now applied."""
        held = self._entries.pop(position, None)
        if held is not None:
            if held[0] == term:
                _succeed(held[1], result)
            else:
                _fail(held[1], Code.NO_QUORUM, "another entry was committed")
        reached = [fut for at, fut in self._applied if at <= position]
        for fut in reached:
            _succeed(fut, None)
        if reached:
            self._applied = [
                held for held in self._applied if held[0] > position
            ]

    def confirm_reads(self, vouched_at_s: float, position: int) -> None:
        """Settle the reads that were asked before the lead was confirmed."""
        ready = [read for read in self._reads if read.asked_s <= vouched_at_s]
        self._reads = [
            read for read in self._reads if read.asked_s > vouched_at_s
        ]
        for read in ready:
            _succeed(read.fut, position)

    def fail_all(self, code: Code, detail: str) -> None:
        """Fail what waits for entries and reads."""
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
