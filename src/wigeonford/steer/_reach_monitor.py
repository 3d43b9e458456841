"""Follow this VM's contact to targets, and look for its return."""

import asyncio
from collections.abc import Awaitable, Callable
import random
import time
from typing import Final

from wigeonford._tasks import cancel_task, run_supervised
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import Reach
from wigeonford.metrics import Metrics
from wigeonford.steer._attempt import TargetConnections
from wigeonford.steer._reach import TargetReach
from wigeonford.steer._target_records import TargetRecord, TargetRecords

PROBE_INTERVAL_S: Final = 0.4
"""Pause between rounds of probes while no target is reached."""
PROBED_TARGETS: Final = 3
"""Targets probed in a round; they are drawn from all zones and services."""


class ReachMonitor:
    """Record contacts and failures; log and count what they show.

    The listeners are called when links are lost, proven to be cut, or back.
    """

    def __init__(
        self,
        target_records: TargetRecords,
        metrics: Metrics,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reach = TargetReach()
        self._target_records = target_records
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self._lost = asyncio.Event()
        self._lost_at_s = 0.0
        metrics.targets_reached.set({}, 1)

    @property
    def state(self) -> Reach:
        """Return whether this VM reaches targets over its own links."""
        return self._reach.state

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a function that is called after each change of the state."""
        self._listeners.append(listener)

    def set_target_count(self, count: int) -> None:
        """Set how many targets are known."""
        self._reach.target_count = count

    async def wait_until_lost(self) -> None:
        """Return as soon as no target is reached."""
        await self._lost.wait()

    def record_contact(self, target_id: str) -> None:
        """Record that a target accepted a connection or responded."""
        was_cut = self.state is Reach.CUT
        if not self._reach.record_contact(target_id, self._clock()):
            return
        self._lost.clear()
        self._metrics.targets_reached.set({}, 1)
        self._log.emit(
            Event.TARGETS_REGAINED,
            target=target_id,
            was_cut=was_cut,
            lasted_s=round(self._clock() - self._lost_at_s, 3),
        )
        self._target_records.forget_failures()
        self._notify()

    def record_failure(self, target_id: str, detail: str) -> None:
        """Record that a target wasn't reached, or went silent."""
        if not self._reach.record_failure(target_id, self._clock()):
            return
        self._lost_at_s = self._clock()
        self._lost.set()
        self._metrics.targets_reached.set({}, 0)
        self._log.emit(
            Event.TARGETS_LOST,
            targets=self._reach.failed_targets,
            detail=detail,
        )
        self._notify()

    def record_cut(self, target_id: str) -> None:
        """Record that another entry VM reaches a target that this VM doesn't.

        Only this tells a VM's lost links from lost targets.
        """
        if not self._reach.record_cut():
            return
        self._log.emit(Event.LINKS_CUT, target=target_id)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


class ReachReporter:
    """Tell control at once whether this VM reaches targets."""

    def __init__(
        self,
        monitor: ReachMonitor,
        report_status: Callable[[], Awaitable[None]],
        log: EventLog,
    ) -> None:
        self._report_status = report_status
        self._log = log
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        monitor.add_listener(self._changed.set)

    async def start(self) -> None:
        """Start to wait for changes."""
        self._task = asyncio.create_task(run_supervised(self._run, self._log))

    async def stop(self) -> None:
        """Stop reporting."""
        await cancel_task(self._task)

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._report_status()


class ReachProber:
    """Ask targets for connections while none is reached."""

    def __init__(
        self,
        monitor: ReachMonitor,
        target_records: TargetRecords,
        target_connections: TargetConnections,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._target_records = target_records
        self._target_connections = target_connections
        self._log = log
        self._rng = rng
        self._task: asyncio.Task[None] | None = None
        self._comparison: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to wait for a loss."""
        self._task = asyncio.create_task(run_supervised(self._run, self._log))

    async def stop(self) -> None:
        """Stop probing."""
        await cancel_task(self._comparison)
        await cancel_task(self._task)

    def compare(self, target_id: str) -> None:
        """Ask a target for a connection that another entry VM reaches."""
        record = self._target_records.get(target_id)
        is_busy = self._comparison is not None and not self._comparison.done()
        if record is not None and not is_busy:
            self._comparison = asyncio.create_task(self._compare(record))

    async def _compare(self, record: TargetRecord) -> None:
        if not await self._target_connections.accepts_connections(record):
            self._monitor.record_cut(record.target_id)

    async def _run(self) -> None:
        while True:
            await self._monitor.wait_until_lost()
            await self._probe_some()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe_some(self) -> None:
        records = [
            record for record in self._target_records if not record.is_gone
        ]
        chosen = self._rng.sample(records, min(PROBED_TARGETS, len(records)))
        await asyncio.gather(
            *map(self._target_connections.accepts_connections, chosen)
        )
