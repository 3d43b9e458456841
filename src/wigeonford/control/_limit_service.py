"""The service that passes on the limits that targets state."""

import asyncio
from collections.abc import AsyncIterator, Callable
import itertools
import time
from typing import Final

from wigeonford.deployment import MAX_NAME_CHARS
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    FollowTargetLimits,
    ReportTargetLimits,
    TargetLimitsUpdate,
)
from wigeonford.peer import Done, PeerServer
from wigeonford.stated_limits import (
    decode_limit,
    encode_limit,
    is_usable,
    StatedLimits,
)

LIMIT_BATCH_S: Final = 0.05
"""Reports within this time are sent together; when a target states a limit,
several entry VMs read it at about the same time."""


class LimitService:
    """Pass on limits from the entry VMs that read them to all others.

    Each entry VM reports to every replica, so replicas exchange nothing. The
    state is in memory: entry VMs report again to a replica that has restarted.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        log: EventLog | None = None,
    ) -> None:
        self._clock = clock
        self._log = log or EventLog()
        self._limits = StatedLimits()
        self._reported = asyncio.Event()

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(ReportTargetLimits, self._on_report)
        server.handle_stream(FollowTargetLimits, self._on_follow)

    async def start(self) -> None:
        """Return: the service runs nothing by itself."""

    async def stop(self) -> None:
        """Return: streams end with their links."""

    async def _on_report(self, message: ReportTargetLimits) -> Done:
        now_s = self._clock()
        for stated in itertools.filterfalse(is_usable, message.limits):
            self._log.emit(
                Event.TARGET_LIMIT_UNREADABLE,
                target=stated.target_id[:MAX_NAME_CHARS],
                stated=repr(stated.per_s),
            )
        changes = [
            self._limits.merge(decode_limit(limit, now_s), now_s)
            for limit in filter(is_usable, message.limits)
        ]
        if any(changes):
            self._reported.set()
            self._reported = asyncio.Event()
        return Done()

    async def _on_follow(
        self, _message: FollowTargetLimits
    ) -> AsyncIterator[TargetLimitsUpdate]:
        """Yield what is known, then what is reported."""
        sent_revision = 0
        while True:
            reported = self._reported
            if self._limits.revision > sent_revision:
                update = self._changes_since(sent_revision)
                sent_revision = self._limits.revision
                yield update
            await reported.wait()
            await asyncio.sleep(LIMIT_BATCH_S)

    def _changes_since(self, revision: int) -> TargetLimitsUpdate:
        now_s = self._clock()
        return TargetLimitsUpdate(
            tuple(
                encode_limit(limit, now_s)
                for limit in self._limits.changed_since(revision)
            )
        )
