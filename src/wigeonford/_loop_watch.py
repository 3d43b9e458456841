"""Tell how late the event loop runs what is due."""

import asyncio
import time
from typing import Final

from wigeonford._tasks import end_task
from wigeonford.events import Event, EventLog
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerServer

WATCH_INTERVAL_S: Final = 0.5
"""Pause between looks; a process that is starved is so for seconds."""
LATE_S: Final = 0.25
"""Lateness worth a line; a tenth of the time in which news is in force."""


class LoopWatch:
    """Measure the event loop's lateness while a daemon runs."""

    def __init__(self, metrics: Metrics, log: EventLog) -> None:
        self._metrics = metrics
        self._log = log
        self._task: asyncio.Task[None] | None = None

    def attach(self, _server: PeerServer) -> None:
        """Return: peers ask for nothing here."""

    async def start(self) -> None:
        """Begin to measure."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop measuring."""
        await end_task(self._task)

    async def _run(self) -> None:
        while True:
            due_s = time.monotonic() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.note(time.monotonic() - due_s)

    def note(self, late_s: float) -> None:
        """Record how late a look came."""
        self._metrics.loop_late_s.observe({}, max(0.0, late_s))
        if late_s >= LATE_S:
            self._log.emit(Event.LOOP_LATE, late_s=round(late_s, 3))
