"""The service that sends entry VMs the routing state and the roster."""

import asyncio
from collections.abc import AsyncIterator, Callable
import time
from typing import Final

from msgspec.structs import replace

from wigeonford._tasks import cancel_task, run_supervised
from wigeonford.control._cold_clock import ColdClock
from wigeonford.control._replica import Replica
from wigeonford.control._roster import Roster
from wigeonford.deployment import check_announcement, MAX_NAME_CHARS
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    control_digest,
    EntryStatus,
    FetchView,
    FollowView,
    ReportStatus,
    ViewNotice,
    ViewUpdate,
    WatchView,
)
from wigeonford.peer import Done, PeerServer

WATCH_TIMEOUT_S: Final = 0.7
"""How long a watch waits for updates; also the entry VMs' heartbeat
interval."""
WATCH_TIMEOUT_S_PER_ENTRY: Final = 0.006
"""The same per entry VM in large fleets, so that a replica serves at most
about 160 watches a second."""
MAX_WATCH_TIMEOUT_S: Final = 1.5
"""Entry VMs consider a replica lost if it sends nothing for longer."""
MAX_MISSED_WATCHES: Final = 2.0
"""Watch timeouts without a message after which an entry VM is removed from
the roster, in addition to `RECONNECT_S`."""
RECONNECT_S: Final = 1.1
"""The time that an entry VM takes to replace a lost connection."""
UPDATE_BATCH_S: Final = 0.05
"""Changes of the routing state within this time are sent together."""
UPDATE_BATCH_S_PER_ENTRY: Final = 0.0015
"""The same per entry VM in large fleets, where each update costs every VM some
ten messages. VMs have seconds to stop using a draining target."""
MAX_UPDATE_BATCH_S: Final = 0.3
"""A tenth of the time within which a change must take effect."""
ROSTER_BATCH_S: Final = 0.25
"""Interval at which roster changes are sent. When a large fleet starts at
once, each VM would otherwise receive a message for each other VM."""


class ViewService:
    """Answer watches with updates, and maintain the roster of entry VMs."""

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
        self._published_roster_revision = 0
        self._update_event = asyncio.Event()
        self._change_event = asyncio.Event()
        self._unusable_targets: set[tuple[str, int, int]] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(WatchView, self._on_watch)
        server.handle(FetchView, self._on_fetch)
        server.handle(ReportStatus, self._on_status)
        server.handle_stream(FollowView, self._on_follow)

    async def start(self) -> None:
        """Start to publish changes of the state and of the roster."""
        self._replica.on_applied(self._change_event.set)
        self._change_event.set()
        self._tasks = [
            asyncio.create_task(
                run_supervised(self._publish_changes, self._log)
            ),
            asyncio.create_task(
                run_supervised(self._publish_roster, self._log)
            ),
        ]

    async def stop(self) -> None:
        """Stop publishing and answer the waiting watches."""
        for task in self._tasks:
            await cancel_task(task)
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._update_event.set()
        self._update_event = asyncio.Event()

    async def _publish_changes(self) -> None:
        while True:
            await self._change_event.wait()
            await asyncio.sleep(update_batch_s(len(self._roster)))
            self._change_event.clear()
            self._log_unusable()
            self._wake_watchers()

    def _log_unusable(self) -> None:
        """Name each target that entry VMs don't get, once."""
        present: set[tuple[str, int, int]] = set()
        for target in self._replica.state.steering.targets.unusable():
            announced = target.announced
            key = (
                announced.target_id,
                announced.born_ms,
                announced.sequence,
            )
            present.add(key)
            if key not in self._unusable_targets:
                self._log.emit(
                    Event.TARGET_UNUSABLE,
                    target=announced.target_id[:MAX_NAME_CHARS],
                    detail="; ".join(check_announcement(announced)),
                )
        self._unusable_targets = present

    async def _publish_roster(self) -> None:
        while True:
            await asyncio.sleep(ROSTER_BATCH_S)
            limit_s = (
                MAX_MISSED_WATCHES * self._watch_timeout_s() + RECONNECT_S
            )
            for name, silent_s in self._roster.expire(self._clock(), limit_s):
                self._log.emit(
                    Event.ENTRY_SILENT,
                    entry=name,
                    silent_s=round(silent_s, 2),
                )
            if self._roster.revision != self._published_roster_revision:
                self._published_roster_revision = self._roster.revision
                self._wake_watchers()

    def _record_status(self, status: EntryStatus) -> None:
        if self._roster.record_status(status, self._clock()):
            self._log.emit(
                Event.ENTRY_HEARD,
                entry=status.name,
                ready=status.is_ready,
                incarnation=status.incarnation,
            )

    async def _on_status(self, message: ReportStatus) -> Done:
        self._record_status(message.status)
        return Done()

    async def _on_watch(self, message: WatchView) -> ViewNotice:
        if message.status is not None:
            self._record_status(message.status)
        elif not self._roster.refresh(message.name, self._clock()):
            return replace(self._build_notice(message), is_known=False)
        until_s = self._clock() + self._watch_timeout_s()
        while not self._has_updates(message):
            update_event = self._update_event
            left_s = until_s - self._clock()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await update_event.wait()
            except TimeoutError:
                break
        # The entry VM was waiting for this reply, so it still runs.
        self._roster.refresh(message.name, self._clock())
        return self._build_notice(message)

    def _watch_timeout_s(self) -> float:
        """Return how long a watch waits for updates."""
        return min(
            MAX_WATCH_TIMEOUT_S,
            max(
                WATCH_TIMEOUT_S, WATCH_TIMEOUT_S_PER_ENTRY * len(self._roster)
            ),
        )

    def _has_updates(self, message: WatchView) -> bool:
        return (
            self._replica.state.steering.revision > message.revision
            or self._has_roster_updates(message)
            or self._has_newer_leader(message.term)
        )

    def _has_newer_leader(self, term: int) -> bool:
        """Return whether a leader of a term after `term` is known."""
        return self._replica.leader is not None and self._replica.term > term

    def _has_roster_updates(self, message: WatchView) -> bool:
        if message.roster_epoch is None:
            return False
        return (
            message.roster_epoch != self._roster.epoch
            or message.roster_revision < self._published_roster_revision
        )

    def _build_notice(self, message: WatchView) -> ViewNotice:
        roster = None
        if message.roster_epoch is not None and self._has_roster_updates(
            message
        ):
            roster = self._roster.changes_since(
                message.roster_epoch, message.roster_revision
            )
        members = self._members()
        same = control_digest(members) == message.control
        location = (self._region, self._availability_zone)
        return ViewNotice(
            self._replica.state.steering.revision,
            roster,
            None if same else members,
            location=location if message.status is not None else None,
            leader=(
                self._replica.leader
                if self._has_newer_leader(message.term)
                else None
            ),
            term=self._replica.term,
        )

    async def _on_follow(
        self, message: FollowView
    ) -> AsyncIterator[ViewUpdate]:
        """Yield updates; changes during a slow send go into the next one."""
        sent_revision = message.revision
        while True:
            update_event = self._update_event
            if self._replica.state.steering.revision > sent_revision:
                update = self.changes_since(sent_revision)
                sent_revision = update.revision
                yield update
            await update_event.wait()

    async def _on_fetch(self, message: FetchView) -> ViewUpdate:
        return self.changes_since(message.revision)

    def changes_since(self, revision: int) -> ViewUpdate:
        """Return the changes after a revision; everything if it is 0."""
        steering = self._replica.state.steering
        evacuation_changed = steering.evacuation_revision > revision
        deployment_changed = steering.deployment_revision > revision
        patch = steering.patch_since(revision) if deployment_changed else None
        sends_full = deployment_changed and patch is None
        return ViewUpdate(
            revision,
            steering.revision,
            steering.deployment if sends_full else None,
            tuple(sorted(steering.evacuations.zones))
            if evacuation_changed
            else None,
            dict(steering.evacuations.ended_counts)
            if evacuation_changed
            else None,
            tuple(
                replace(
                    target.announced,
                    cold_s=self._cold.remaining_s(target.announced),
                )
                for target in steering.targets.changed_since(revision)
            ),
            tuple(steering.targets.removed_since(revision)),
            patch,
        )


def update_batch_s(entries: int) -> float:
    """Return for how long changes are batched, by number of entry VMs."""
    batch_s = max(UPDATE_BATCH_S, UPDATE_BATCH_S_PER_ENTRY * entries)
    return min(MAX_UPDATE_BATCH_S, batch_s)
