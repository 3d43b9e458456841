"""Take announcements of targets, and remove those that are long silent."""

import asyncio
from collections.abc import Callable
import time
from typing import Final

from wigeonford._tasks import end_task
from wigeonford.control._cold_clock import ColdClock
from wigeonford.control._replica import Replica
from wigeonford.control._steering_commands import (
    AnnounceTargets,
    RemoveTargets,
)
from wigeonford.deployment import Announcement, Applied
from wigeonford.errors import WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import HeardTargets
from wigeonford.peer import Done, PeerServer

SWEEP_INTERVAL_S: Final = 2.0
"""Pause between reports of heard targets to the leader."""
SILENT_S: Final = 45.0
"""Thirty announcements lost; until then entry VMs judge by results."""


class TargetService:
    """Judge announcements by the replicated table of targets.

    What changes nothing is acknowledged without the log, so that steady
    announcements cost no agreement.
    """

    def __init__(
        self,
        replica: Replica,
        cold: ColdClock,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._cold = cold
        self._log = log
        self._clock = clock
        self._heard_at_s: dict[str, float] = {}
        self._heard_here: set[str] = set()
        self._led_term = -1
        self._led_since_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(HeardTargets, self._hear_all)

    async def start(self) -> None:
        """Begin to sweep out silent targets."""
        self._task = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop sweeping."""
        await end_task(self._task)

    async def announce(self, said: Announcement) -> Applied:
        """Return what became of an announcement, agreed where it counts.

        Raise `WigeonfordError` where that could not be agreed.
        """
        table = self._replica.state.steering.targets
        held = table.get(said.target_id)
        left_s = self._cold.left_s(held.announced) if held else 0.0
        judged = table.judge(said, left_s)
        if judged is not Applied.SAME:
            self._log.emit(
                Event.TARGET_JUDGED,
                target=said.target_id,
                service=said.service,
                address=said.address,
                zone=said.availability_zone,
                born_ms=said.born_ms,
                sequence=said.sequence,
                leaving=said.leaving,
                cold_s=round(said.cold_s, 2),
                outcome=judged.value,
            )
        if judged is Applied.CHANGED:
            await self._replica.propose(AnnounceTargets((said,)))
        if judged in (Applied.CHANGED, Applied.SAME):
            self._hear(said.target_id)
        return judged

    async def withdraw(self, target_id: str) -> None:
        """Remove a target; return once that is agreed."""
        self._log.emit(Event.TARGET_LEFT, target=target_id, reason="withdrew")
        await self._replica.propose(RemoveTargets(((target_id, None),)))

    def _hear(self, target_id: str) -> None:
        self._heard_at_s[target_id] = self._clock()
        self._heard_here.add(target_id)

    async def _hear_all(self, message: HeardTargets) -> Done:
        now_s = self._clock()
        for target_id in message.target_ids:
            self._heard_at_s[target_id] = now_s
        return Done()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                if self._replica.is_leader:
                    await self._remove_silent(self._clock())
                elif self._replica.leader is not None:
                    heard = tuple(sorted(self._heard_here))
                    self._heard_here.clear()
                    await self._replica.ask_leader(HeardTargets(heard))
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))

    async def _remove_silent(self, now_s: float) -> None:
        """Remove silent targets; a new leader first listens as long."""
        if self._led_term != self._replica.term:
            self._led_term = self._replica.term
            self._led_since_s = now_s
        self._heard_here.clear()
        targets = self._replica.state.steering.targets
        self._cold.forget_others(held.announced for held in targets)
        silent = tuple(
            (held.announced.target_id, held.announced.born_ms)
            for held in targets
            if now_s
            - max(
                self._heard_at_s.get(held.announced.target_id, 0.0),
                self._led_since_s,
            )
            > SILENT_S
        )
        if silent:
            for target_id, _ in silent:
                self._heard_at_s.pop(target_id, None)
                self._log.emit(Event.TARGET_EXPIRED, target=target_id)
            await self._replica.propose(RemoveTargets(silent))
