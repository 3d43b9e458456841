"""Measure how late the event loop runs due callbacks."""

import asyncio
import time
from typing import Final

from wigeonford._tasks import cancel_task, run_supervised
from wigeonford.events import Event, EventLog
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerServer

WATCH_INTERVAL_S: Final = 0.5
"""Pause between measurements; a lack of CPU time lasts for seconds."""
LATE_THRESHOLD_S: Final = 0.25
"""Lateness that is logged: a tenth of the time in which updates must take
effect."""


class LoopWatch:
    """Measure the event loop's lateness while a daemon runs."""

    def __init__(self, metrics: Metrics, log: EventLog) -> None:
        self._metrics = metrics
        self._log = log
        self._task: asyncio.Task[None] | None = None

    def attach(self, _server: PeerServer) -> None:
        """Do nothing: this service handles no peer messages."""

    async def start(self) -> None:
        """Start measuring."""
        self._task = asyncio.create_task(
            run_supervised(self._measure, self._log)
        )

    async def stop(self) -> None:
        """Stop measuring."""
        await cancel_task(self._task)

    async def _measure(self) -> None:
        while True:
            due_s = time.monotonic() + WATCH_INTERVAL_S
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.record_lateness(time.monotonic() - due_s)

    def record_lateness(self, late_s: float) -> None:
        """Record the lateness of one measurement; log it if it is high."""
        self._metrics.loop_late_s.observe({}, max(0.0, late_s))
        if late_s >= LATE_THRESHOLD_S:
            self._log.emit(Event.LOOP_LATE, late_s=round(late_s, 3))
