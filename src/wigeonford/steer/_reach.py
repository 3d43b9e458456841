"""Tell a VM's own lost links from lost targets.

A target that fails says little of who is at fault. Targets that fail one after
another, with no contact to any in between, point to the one thing they have in
common: this VM. Another entry VM that reaches targets meanwhile proves it, and
one that reaches none disproves it.
"""

import asyncio
from collections.abc import Awaitable, Callable
import random
import time
from typing import Final

from wigeonford._tasks import cancel_task, cancel_tasks, run_supervised
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import Reach
from wigeonford.metrics import Metrics
from wigeonford.steer._attempt import TargetConnections
from wigeonford.steer._target_records import TargetRecords

SUSPECT_TARGETS: Final = 3
"""Targets that fail in a row, without contact to any, before this VM doubts
its own links."""
FAILURE_MEMORY_S: Final = 5.0
"""How long a failure counts while no contact follows it."""
RETURN_TARGETS: Final = 3
"""Targets in contact before links that were cut count as back."""
RETURN_S: Final = 0.5
"""Time from the first contact until links that were cut count as back."""
DOUBT_GAPS: Final = 3.0
"""Usual times between contacts after which the next one isn't certain; of
random ones, one in 20 lasts as long."""
SILENCE_GAPS: Final = 6.0
"""Usual times between contacts that make a silence; of random ones, one in
400 lasts as long."""
MIN_SILENCE_S: Final = 0.4
"""Shortest silence that counts; four round trips between regions."""
MAX_SILENCE_S: Final = 1.5
"""Silence after which the system ends a connection by itself."""
GAP_SMOOTHING: Final = 0.8
"""Weight of the previous value in the moving average of times between
contacts."""
CONTACT_MEMORY_S: Final = 2.0
"""How long a contact counts towards the return; a few rounds of probes."""
PROBE_INTERVAL_S: Final = 0.4
"""Pause between rounds of probes while no target is reached."""
REPORT_PAUSE_S: Final = 0.5
"""Pause after a report to control, which tells each change to all VMs."""
SILENCE_CHECK_INTERVAL_S: Final = 0.2
PROBED_TARGETS: Final = 3
"""Targets probed in a round; they are drawn from all zones and services."""


class TargetReach:
    """Follow which targets this VM reaches over its own links: pure.

    `target_count` is how many targets are known.
    """

    def __init__(self) -> None:
        self.state = Reach.DIRECT
        self.target_count = 0
        self._failed_at_s: dict[str, float] = {}
        self._contact_at_s: dict[str, float] = {}
        self._first_contact_s = 0.0
        self._last_contact_s = float("-inf")
        self._usual_gap_s = MAX_SILENCE_S

    @property
    def failed_targets(self) -> list[str]:
        """Return the targets that have failed since the last contact."""
        return sorted(self._failed_at_s)

    def record_contact(self, target_id: str, now_s: float) -> bool:
        """Record a connection to a target; return whether links are back."""
        gap_s = min(MAX_SILENCE_S, now_s - self._last_contact_s)
        self._usual_gap_s *= GAP_SMOOTHING
        self._usual_gap_s += (1 - GAP_SMOOTHING) * gap_s
        self._last_contact_s = now_s
        if self.state is Reach.CUT and not self._has_returned(
            target_id, now_s
        ):
            return False
        is_back = self.state is not Reach.DIRECT
        self.state = Reach.DIRECT
        self._failed_at_s.clear()
        self._contact_at_s.clear()
        return is_back

    def is_uncertain(self, now_s: float) -> bool:
        """Return whether the last contact is too old to rely on links."""
        return self._is_contact_older(DOUBT_GAPS, now_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether targets are silent for far longer than usual."""
        return self._is_contact_older(SILENCE_GAPS, now_s)

    def _is_contact_older(self, gaps: float, now_s: float) -> bool:
        """Return whether no contact came for some usual gaps between them.

        Where contacts are rare, that says nothing.
        """
        limit_s = max(MIN_SILENCE_S, gaps * self._usual_gap_s)
        return (
            self.state is Reach.DIRECT
            and limit_s < MAX_SILENCE_S
            and now_s - self._last_contact_s > limit_s
        )

    def _has_returned(self, target_id: str, now_s: float) -> bool:
        _drop_older(self._contact_at_s, now_s - CONTACT_MEMORY_S)
        if not self._contact_at_s:
            self._first_contact_s = now_s
        self._contact_at_s[target_id] = now_s
        needed = min(RETURN_TARGETS, max(1, self.target_count))
        if len(self._contact_at_s) < needed:
            return False
        return now_s - self._first_contact_s >= RETURN_S

    def record_failure(self, target_id: str, now_s: float) -> bool:
        """Record that a target wasn't reached; return whether all are lost."""
        self._contact_at_s.pop(target_id, None)
        _drop_older(self._failed_at_s, now_s - FAILURE_MEMORY_S)
        self._failed_at_s[target_id] = now_s
        needed = min(SUSPECT_TARGETS, max(1, self.target_count))
        if self.state is not Reach.DIRECT or len(self._failed_at_s) < needed:
            return False
        self.state = Reach.LOST
        return True

    def record_cut(self) -> bool:
        """Record that another entry VM reaches a target that this VM doesn't.

        Return whether that is new.
        """
        if self.state is not Reach.LOST:
            return False
        self.state = Reach.CUT
        return True


def _drop_older(times_s: dict[str, float], than_s: float) -> None:
    for target_id, at_s in list(times_s.items()):
        if at_s < than_s:
            del times_s[target_id]


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

    def is_uncertain(self) -> bool:
        """Return whether the last contact is too old to rely on links."""
        return self._reach.is_uncertain(self._clock())

    def is_silent(self) -> bool:
        """Return whether several targets owe a response for too long."""
        if not self._reach.is_silent(self._clock()):
            return False
        awaited = sum(record.in_flight > 0 for record in self._target_records)
        return awaited >= SUSPECT_TARGETS

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
        if was_cut:
            # A loss that was not proven may have been the targets' own.
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
            await asyncio.sleep(REPORT_PAUSE_S)


class ReachProber:
    """Ask targets for connections while they are silent or not reached."""

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
        self._tasks: list[asyncio.Task[None]] = []
        self._comparison: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to watch for silence and loss."""
        self._tasks = [
            asyncio.create_task(run_supervised(watch, self._log))
            for watch in (self._watch_silence, self._seek_return)
        ]

    async def stop(self) -> None:
        """Stop probing."""
        await cancel_task(self._comparison)
        await cancel_tasks(self._tasks)

    async def reaches(self, target_id: str) -> bool:
        """Return whether a target accepts a connection of this VM."""
        record = self._target_records.get(target_id)
        return (
            record is not None
            and await self._target_connections.accepts_connections(record)
        )

    def compare(self, target_id: str) -> None:
        """Ask a target for a connection that another entry VM reaches."""
        is_busy = self._comparison is not None and not self._comparison.done()
        if self._target_records.get(target_id) is not None and not is_busy:
            self._comparison = asyncio.create_task(self._compare(target_id))

    async def _compare(self, target_id: str) -> None:
        if not await self.reaches(target_id):
            self._monitor.record_cut(target_id)

    async def _watch_silence(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            if self._monitor.is_silent():
                await self._probe_some()

    async def _seek_return(self) -> None:
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
