"""Serve the entry VMs: what steers requests, and who else runs."""

import asyncio
from collections.abc import Callable, Iterator
import time
from typing import Final
import zlib

import msgspec
from msgspec.structs import replace

from wigeonford.control._cold_clock import ColdClock
from wigeonford.control._replica import Replica
from wigeonford.control._suspicions import Suspicions
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    ReportStatus,
    ViewNotice,
    ViewUpdate,
    WatchView,
)
from wigeonford.peer import Done, PeerServer

WATCH_S: Final = 0.7
"""How long a watch is held without news; also the entry VMs' heartbeat."""
ENTRY_SILENT_S: Final = 2.5
"""Three heartbeats and a lost connection's renewal."""


class _Heard(msgspec.Struct, frozen=True):
    status: EntryStatus
    at_s: float


class ViewService:
    """Answer watches with news, and keep the roster of entry VMs."""

    def __init__(
        self,
        replica: Replica,
        cold: ColdClock,
        members: Callable[[], tuple[str, ...]],
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._cold = cold
        self._members = members
        self._log = log
        self._clock = clock
        self._heard: dict[str, _Heard] = {}
        self._suspicions = Suspicions()
        self._news = asyncio.Event()

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(WatchView, self._watch)
        server.handle(FetchView, self._fetch)
        server.handle(ReportStatus, self._report)

    async def start(self) -> None:
        """Begin to notice changes of the state."""
        self._replica.on_applied(self._announce_news)

    async def stop(self) -> None:
        """Let the watches that are held end."""
        self._announce_news()

    def _announce_news(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def roster(self) -> tuple[EntryStatus, ...]:
        """Return the entry VMs that were heard of late."""
        limit_s = self._clock() - ENTRY_SILENT_S
        for name, heard in list(self._heard.items()):
            if heard.at_s < limit_s:
                del self._heard[name]
                self._log.emit(
                    Event.ENTRY_SILENT,
                    entry=name,
                    silent_s=round(self._clock() - heard.at_s, 2),
                )
        return tuple(heard.status for _, heard in sorted(self._heard.items()))

    def _hear(self, status: EntryStatus) -> None:
        known = self._heard.get(status.name)
        self._heard[status.name] = _Heard(status, self._clock())
        if known is None or known.status != status:
            self._log.emit(
                Event.ENTRY_HEARD,
                entry=status.name,
                ready=status.ready,
                incarnation=status.incarnation,
            )
            self._announce_news()

    async def _report(self, message: ReportStatus) -> Done:
        self._hear(message.status)
        return Done()

    async def _watch(self, message: WatchView) -> ViewNotice:
        self._hear(message.status)
        if self._suspicions.merge(message.suspicions, self._clock()):
            self._announce_news()
        until_s = self._clock() + WATCH_S
        known = self._suspicions.revision
        while not self._has_news(message, known):
            news = self._news
            left_s = until_s - self._clock()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await news.wait()
            except TimeoutError:
                break
        # The entry VM waited here, so that it runs still.
        self._hear(message.status)
        return self._notice(message)

    def _has_news(self, message: WatchView, known: int) -> bool:
        return (
            self._replica.state.steering.revision > message.revision
            or roster_digest(self.roster()) != message.roster_digest
            or self._suspicions.revision > known
        )

    def _notice(self, message: WatchView) -> ViewNotice:
        roster = self.roster()
        digest = roster_digest(roster)
        changed = digest != message.roster_digest
        return ViewNotice(
            self._replica.state.steering.revision,
            roster if changed else None,
            digest,
            self._members(),
            self._suspicions.recent(self._clock()),
        )

    async def _fetch(self, message: FetchView) -> ViewUpdate:
        return self.changes_since(message.revision)

    def changes_since(self, revision: int) -> ViewUpdate:
        """Return what came after a revision; all of it after 0."""
        steering = self._replica.state.steering
        evacuated = steering.evacuation_revision > revision
        return ViewUpdate(
            steering.revision,
            steering.deployment
            if steering.deployment_revision > revision
            else None,
            tuple(sorted(steering.evacuations.zones)) if evacuated else None,
            dict(steering.evacuations.taken_back) if evacuated else None,
            tuple(
                replace(
                    held.announced,
                    cold_s=self._cold.left_s(held.announced),
                )
                for held in steering.targets.changed_since(revision)
            ),
            tuple(steering.targets.removed_since(revision)),
        )


def roster_digest(roster: tuple[EntryStatus, ...]) -> int:
    """Return a number that changes with the roster."""
    return zlib.crc32("\n".join(_lines(roster)).encode())


def _lines(roster: tuple[EntryStatus, ...]) -> Iterator[str]:
    for status in roster:
        yield f"{status.name} {status.incarnation} {status.ready}"
