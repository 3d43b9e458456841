"""Serve the entry VMs: what steers requests, and who else runs."""

import asyncio
from collections.abc import AsyncIterator, Callable
import time
from typing import Final

from msgspec.structs import replace

from wigeonford._tasks import end_task
from wigeonford.control._cold_clock import ColdClock
from wigeonford.control._replica import Replica
from wigeonford.control._roster import Roster
from wigeonford.control._suspicions import Suspicions
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    FollowView,
    members_digest,
    ReportStatus,
    Suspicion,
    ViewNotice,
    ViewUpdate,
    WatchView,
)
from wigeonford.peer import Done, PeerServer

WATCH_S: Final = 0.7
"""How long a watch is held without news; also the entry VMs' heartbeat."""
WATCH_S_PER_ENTRY: Final = 0.006
"""The same for each entry VM in large fleets, so that their heartbeats cost
a replica no more than some 160 watches a second."""
MAX_WATCH_S: Final = 1.5
"""Entry VMs take a replica for lost that says nothing for longer."""
SILENT_WATCHES: Final = 2.0
"""Watches that an entry VM may miss."""
RENEWAL_S: Final = 1.1
"""What a lost connection's renewal takes on top of them."""
NEWS_TICK_S: Final = 0.05
"""Changes of what steers that come this close together are told at once."""
NEWS_TICK_S_PER_ENTRY: Final = 0.0015
"""The same for each entry VM in large fleets, in which each news costs every
VM some ten messages; a leave binds them within seconds."""
MAX_NEWS_TICK_S: Final = 0.3
"""A tenth of the time in which a change has to be in force."""
ROSTER_TICK_S: Final = 0.25
"""The same for entry VMs that come and go; all of a large fleet may start
at once, and each would be told of each."""


class ViewService:
    """Answer watches with news, and keep the roster of entry VMs."""

    def __init__(
        self,
        replica: Replica,
        cold: ColdClock,
        members: Callable[[], tuple[str, ...]],
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
        *,
        region: str = "",
        availability_zone: str = "",
        epoch: int = 0,
    ) -> None:
        self._replica = replica
        self._cold = cold
        self._members = members
        self._log = log
        self._clock = clock
        self._region = region
        self._availability_zone = availability_zone
        self._roster = Roster(epoch)
        self._told_roster = 0
        self._suspicions = Suspicions()
        self._told_suspicions = 0
        self._news = asyncio.Event()
        self._pending = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(WatchView, self._watch)
        server.handle(FetchView, self._fetch)
        server.handle(ReportStatus, self._report)
        server.handle_stream(FollowView, self._follow)

    async def start(self) -> None:
        """Begin to notice changes of the state and of the roster."""
        self._replica.on_applied(self._pending.set)
        self._tasks = [
            asyncio.create_task(self._tell_news()),
            asyncio.create_task(self._tell_roster()),
        ]

    async def stop(self) -> None:
        """Let the watches that are held end."""
        for task in self._tasks:
            await end_task(task)
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _tell_news(self) -> None:
        while True:
            await self._pending.wait()
            await asyncio.sleep(news_tick_s(len(self._roster)))
            self._pending.clear()
            self._told_suspicions = self._suspicions.revision
            self._wake()

    async def _tell_roster(self) -> None:
        while True:
            await asyncio.sleep(ROSTER_TICK_S)
            limit_s = SILENT_WATCHES * self._hold_s() + RENEWAL_S
            for name, silent_s in self._roster.expire(self._clock(), limit_s):
                self._log.emit(
                    Event.ENTRY_SILENT,
                    entry=name,
                    silent_s=round(silent_s, 2),
                )
            if self._roster.revision != self._told_roster:
                self._told_roster = self._roster.revision
                self._wake()

    def _hear(self, status: EntryStatus) -> None:
        if self._roster.record_status(status, self._clock()):
            self._log.emit(
                Event.ENTRY_HEARD,
                entry=status.name,
                ready=status.ready,
                incarnation=status.incarnation,
            )

    async def _report(self, message: ReportStatus) -> Done:
        self._hear(message.status)
        return Done()

    async def _watch(self, message: WatchView) -> ViewNotice:
        if message.status is not None:
            self._hear(message.status)
        elif not self._roster.refresh(message.name, self._clock()):
            return replace(self._notice(message), known=False)
        if self._suspicions.merge(message.suspicions, self._clock()):
            self._pending.set()
        until_s = self._clock() + self._hold_s()
        while not self._has_news(message):
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
        self._roster.refresh(message.name, self._clock())
        return self._notice(message)

    def _hold_s(self) -> float:
        """Return how long a watch is held without news."""
        return min(
            MAX_WATCH_S, max(WATCH_S, WATCH_S_PER_ENTRY * len(self._roster))
        )

    def _has_news(self, message: WatchView) -> bool:
        return (
            self._replica.state.steering.revision > message.revision
            or self._has_roster_news(message)
            or self._leads_since(message.term)
            or self._has_suspicions(message)
        )

    def _leads_since(self, term: int) -> bool:
        """Tell whether a leader of a later term is known."""
        return self._replica.leader is not None and self._replica.term > term

    def _has_suspicions(self, message: WatchView) -> bool:
        """Tell whether an entry VM that wants them lacks suspicions."""
        if message.roster_epoch is None:
            return False
        return self._told_suspicions > self._suspicions_known(message)

    def _suspicions_known(self, message: WatchView) -> int:
        """Return up to which revision an entry VM knows the suspicions."""
        same_run = message.roster_epoch == self._roster.epoch
        return message.suspicion_revision if same_run else 0

    def _has_roster_news(self, message: WatchView) -> bool:
        if message.roster_epoch is None:
            return False
        return (
            message.roster_epoch != self._roster.epoch
            or message.roster_revision < self._told_roster
        )

    def _notice(self, message: WatchView) -> ViewNotice:
        roster = None
        if message.roster_epoch is not None and self._has_roster_news(message):
            roster = self._roster.changes_since(
                message.roster_epoch, message.roster_revision
            )
        suspicions: tuple[Suspicion, ...] = ()
        suspicion_revision = 0
        if message.roster_epoch is not None:
            known = self._suspicions_known(message)
            suspicions = self._suspicions.changed_since(known, self._clock())
            suspicion_revision = self._suspicions.revision
        members = self._members()
        same = members_digest(members) == message.control
        place = (self._region, self._availability_zone)
        return ViewNotice(
            self._replica.state.steering.revision,
            roster,
            None if same else members,
            suspicions,
            place if message.status is not None else None,
            leader=(
                self._replica.leader
                if self._leads_since(message.term)
                else None
            ),
            term=self._replica.term,
            suspicion_revision=suspicion_revision,
        )

    async def _follow(self, message: FollowView) -> AsyncIterator[ViewUpdate]:
        """Yield what changes, gathered; what can't be sent yet adds up."""
        told = message.revision
        while True:
            news = self._news
            if self._replica.state.steering.revision > told:
                update = self.changes_since(told)
                told = update.revision
                yield update
            await news.wait()

    async def _fetch(self, message: FetchView) -> ViewUpdate:
        return self.changes_since(message.revision)

    def changes_since(self, revision: int) -> ViewUpdate:
        """Return what came after a revision; all of it after 0."""
        steering = self._replica.state.steering
        evacuated = steering.evacuation_revision > revision
        published = steering.deployment_revision > revision
        patch = steering.patch_since(revision) if published else None
        whole = published and patch is None
        return ViewUpdate(
            revision,
            steering.revision,
            steering.deployment if whole else None,
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
            patch,
        )


def news_tick_s(entries: int) -> float:
    """Return for how long news are gathered in a fleet of some size."""
    tick_s = max(NEWS_TICK_S, NEWS_TICK_S_PER_ENTRY * entries)
    return min(MAX_NEWS_TICK_S, tick_s)
