"""Exchange the targets' limits with control replicas."""

import asyncio
from collections.abc import Callable
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
from wigeonford.peer import PeerClient
from wigeonford.stated_limits import is_usable
from wigeonford.steer._replica_link import LINK_TIMEOUT_S
from wigeonford.steer._target_limits import TargetLimits

SOURCE_CHECK_INTERVAL_S: Final = 0.3
"""Pause between checks whether a replica is among the nearest."""


class LimitExchange:
    """Report limits to every replica, and follow those of the nearest ones."""

    def __init__(self, limits: TargetLimits, log: EventLog) -> None:
        self._limits = limits
        self._log = log
        self._reported = asyncio.Event()
        limits.on_report = self._wake

    def _wake(self) -> None:
        self._reported.set()
        self._reported = asyncio.Event()

    async def report(self, client: PeerClient) -> None:
        """Send this VM's reports to a replica; raise `PeerError`."""
        sent_sequence = 0
        while True:
            reported = self._reported
            sequence = self._limits.sequence
            reports = self._limits.own_reports_since(
                sent_sequence, time.monotonic()
            )
            if reports:
                await client.request(
                    ReportTargetLimits(reports), LINK_TIMEOUT_S
                )
            sent_sequence = sequence
            if self._limits.sequence == sequence:
                await reported.wait()

    async def follow(
        self, client: PeerClient, is_source: Callable[[], bool]
    ) -> None:
        """Apply the limits that other entry VMs report to a replica.

        Raise `PeerError`. The stream starts once the replica `is_source`.
        """
        while not is_source():
            await asyncio.sleep(SOURCE_CHECK_INTERVAL_S)
        async for update in client.stream_replies(
            FollowTargetLimits(), LINK_TIMEOUT_S
        ):
            assert isinstance(update, TargetLimitsUpdate), "stream of limits"
            for stated in itertools.filterfalse(is_usable, update.limits):
                self._log.emit(
                    Event.TARGET_LIMIT_UNREADABLE,
                    target=stated.target_id[:MAX_NAME_CHARS],
                    stated=repr(stated.per_s),
                )
            for limit in self._limits.merge(update.limits, time.monotonic()):
                self._log.emit(
                    Event.TARGET_LIMIT_TOLD,
                    target=limit.target_id,
                    limit_per_s=limit.per_s,
                    age_s=round(time.monotonic() - limit.observed_at_s, 3),
                )
