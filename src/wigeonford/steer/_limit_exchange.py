"""Exchange the targets' limits with control replicas."""

import asyncio
from collections.abc import Callable
import time
from typing import Final

from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    FollowTargetLimits,
    ReportTargetLimits,
    TargetLimit,
    TargetLimitsUpdate,
)
from wigeonford.peer import PeerClient
from wigeonford.steer._target_limits import TargetLimits

EXCHANGE_TIMEOUT_S: Final = 2.4
"""As for a watch; the link is lost after this time."""
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
                    ReportTargetLimits(reports), EXCHANGE_TIMEOUT_S
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
            FollowTargetLimits(), EXCHANGE_TIMEOUT_S
        ):
            assert isinstance(update, TargetLimitsUpdate), "stream of limits"
            for report in update.limits:
                self._merge(report)

    def _merge(self, report: TargetLimit) -> None:
        """Apply a limit; leave it out if it is invalid."""
        now_s = time.monotonic()
        try:
            changed = self._limits.merge((report,), now_s)
        except Exception as exc:
            self._log.emit(
                Event.TARGET_LIMIT_UNREADABLE,
                target=report.target_id,
                exc_info=exc,
            )
            return
        for limit in changed:
            self._log.emit(
                Event.TARGET_LIMIT_TOLD,
                target=limit.target_id,
                limit_per_s=limit.per_s,
                age_s=round(now_s - limit.observed_at_s, 3),
            )
