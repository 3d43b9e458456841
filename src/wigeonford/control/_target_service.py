"""The service that records target announcements and expires targets."""

import asyncio
from collections.abc import Awaitable, Callable
import time
from typing import Final

from wigeonford._tasks import cancel_task, run_supervised
from wigeonford.control._cold_clock import ColdClock
from wigeonford.control._replica import Replica
from wigeonford.control._steering_commands import (
    AnnounceTargets,
    RemoveTargets,
)
from wigeonford.deployment import Announcement, AnnouncementEffect
from wigeonford.errors import Code, RequestRejected, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import ActiveTargets
from wigeonford.peer import Done, PeerServer

SWEEP_INTERVAL_S: Final = 2.0
"""Interval at which followers report announced targets to the leader, and
the leader expires silent ones."""
TARGET_EXPIRY_S: Final = 45.0
"""Thirty missed announcements. Until then, entry VMs detect failed targets by
the results of requests."""
MAX_CLOCK_LEAD_S: Final = 3600.0
"""How far a target's time of day may be ahead. Clocks of VMs differ, and step,
by seconds."""


class TargetService:
    """Check announcements against the replicated table of targets.

    An announcement that changes nothing is acknowledged without a log entry,
    so that periodic announcements cost no consensus round.
    """

    def __init__(
        self,
        replica: Replica,
        cold: ColdClock,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
        unix_clock: Callable[[], float] = time.time,
    ) -> None:
        self._replica = replica
        self._cold = cold
        self._log = log
        self._clock = clock
        self._unix_clock = unix_clock
        self._announced_at_s: dict[str, float] = {}
        self._announced_here: set[str] = set()
        self._led_term = -1
        self._led_since_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(ActiveTargets, self._on_active_targets)

    async def start(self) -> None:
        """Start to report announced targets and to expire silent ones."""
        self._task = asyncio.create_task(
            run_supervised(self._sweep, self._log)
        )

    async def stop(self) -> None:
        """Stop reporting and expiring targets."""
        await cancel_task(self._task)

    async def announce(self, announcement: Announcement) -> AnnouncementEffect:
        """Record an announcement and return its outcome.

        A change is committed to the log first; raise `WigeonfordError` if it
        can't be committed, and `RequestRejected` if the start time can't be
        true.
        """
        table = self._replica.state.steering.targets
        target = table.get(announcement.target_id)
        is_known = target is not None and (
            target.announced.born_ms == announcement.born_ms
        )
        if not is_known:
            self._check_start_time(announcement)
        remaining_cold_s = (
            self._cold.remaining_s(target.announced) if target else 0.0
        )
        outcome = table.classify(announcement, remaining_cold_s)
        if self._would_oust(announcement):
            outcome = AnnouncementEffect.CONFLICT
        if outcome is not AnnouncementEffect.SAME:
            self._log.emit(
                Event.TARGET_JUDGED,
                target=announcement.target_id,
                service=announcement.service,
                address=announcement.address,
                zone=announcement.availability_zone,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                leaving=announcement.is_draining,
                cold_s=round(announcement.cold_s, 2),
                outcome=outcome.value,
            )
        if outcome is AnnouncementEffect.CHANGED:
            await self._replica.propose(AnnounceTargets((announcement,)))
        if outcome in (AnnouncementEffect.CHANGED, AnnouncementEffect.SAME):
            self._record_announcement(announcement.target_id)
        return outcome

    def _would_oust(self, announcement: Announcement) -> bool:
        """Return whether another target's address is stated for no service.

        A target whose service is yet to be configured announces itself again.
        """
        steering = self._replica.state.steering
        deployment = steering.deployment
        holder = steering.targets.at_address(announcement.address)
        if (
            deployment is None
            or holder is None
            or holder.announced.target_id == announcement.target_id
        ):
            return False
        names = {service.name for service in deployment.services}
        return (
            holder.announced.service in names
            and announcement.service not in names
        )

    def _check_start_time(self, announcement: Announcement) -> None:
        # It would outrank all later starts at its address, and of its id.
        ahead_s = announcement.born_ms / 1000 - self._unix_clock()
        if ahead_s > MAX_CLOCK_LEAD_S:
            raise RequestRejected(
                Code.BAD_ARGUMENT,
                f"the start time {announcement.born_ms} is more than "
                f"{MAX_CLOCK_LEAD_S:g} s in the future",
            )

    async def withdraw(
        self, target_id: str, check_caller: Callable[[], Awaitable[None]]
    ) -> None:
        """Remove a target; return once the removal is committed.

        Only the incarnation that is known while the caller still waits is
        removed: a later one may have registered once the caller has left, for
        which `check_caller` raises.
        """
        await self._replica.read_barrier()
        target = self._replica.state.steering.targets.get(target_id)
        await check_caller()
        born_ms = None if target is None else target.announced.born_ms
        self._log.emit(
            Event.TARGET_LEFT,
            target=target_id,
            reason="withdrew",
            born_ms=born_ms,
        )
        if born_ms is not None:
            await self._replica.propose(RemoveTargets(((target_id, born_ms),)))

    def _record_announcement(self, target_id: str) -> None:
        self._announced_at_s[target_id] = self._clock()
        self._announced_here.add(target_id)

    async def _on_active_targets(self, message: ActiveTargets) -> Done:
        now_s = self._clock()
        for target_id in message.target_ids:
            self._announced_at_s[target_id] = now_s
        return Done()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                if self._replica.is_leader:
                    await self._expire_silent(self._clock())
                elif self._replica.leader is not None:
                    announced_ids = tuple(sorted(self._announced_here))
                    self._announced_here.clear()
                    await self._replica.request_from_leader(
                        ActiveTargets(announced_ids)
                    )
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))

    async def _expire_silent(self, now_s: float) -> None:
        """Remove targets without an announcement for `TARGET_EXPIRY_S`.

        After an election the new leader waits that long first.
        """
        if self._led_term != self._replica.term:
            self._led_term = self._replica.term
            self._led_since_s = now_s
        self._announced_here.clear()
        targets = self._replica.state.steering.targets
        self._cold.retain_only(target.announced for target in targets)
        silent = tuple(
            (target.announced.target_id, target.announced.born_ms)
            for target in targets
            if now_s
            - max(
                self._announced_at_s.get(target.announced.target_id, 0.0),
                self._led_since_s,
            )
            > TARGET_EXPIRY_S
        )
        if silent:
            for target_id, _ in silent:
                self._announced_at_s.pop(target_id, None)
                self._log.emit(Event.TARGET_EXPIRED, target=target_id)
            await self._replica.propose_in_term(
                RemoveTargets(silent, may_return=True), self._led_term
            )
