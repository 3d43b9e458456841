"""Exchange what entry VMs observe by way of the control replicas."""

import asyncio
from collections.abc import Callable
import itertools
import time
from typing import Any, Final

from wigeonford.deployment import MAX_NAME_CHARS
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    FollowSuspects,
    FollowTargetLimits,
    ReportSuspects,
    ReportTargetLimits,
    SuspectsUpdate,
    TargetLimitsUpdate,
)
from wigeonford.peer import PeerClient
from wigeonford.stated_limits import is_usable
from wigeonford.steer._replica_link import LINK_TIMEOUT_S
from wigeonford.steer._target_limits import TargetLimits
from wigeonford.suspects import SuspectTable

SOURCE_CHECK_INTERVAL_S: Final = 0.3
"""Pause between checks whether a replica is among the nearest."""


class ReportExchange:
    """Report to every replica, and follow what the nearest ones stream."""

    def __init__(self) -> None:
        self._reported = asyncio.Event()

    def wake(self) -> None:
        """Send what has been observed since the last report."""
        self._reported.set()
        self._reported = asyncio.Event()

    @property
    def sequence(self) -> int:
        """Return how many observations this VM has made."""
        raise NotImplementedError

    def build_report(self, since: int) -> Any:
        """Return the message of observations, None if there are none.

        `since` is the sequence up to which the replica has been told, 0 on a
        new link.
        """
        raise NotImplementedError

    def build_follow(self) -> Any:
        """Return the message that asks a replica for its stream."""
        raise NotImplementedError

    def apply(self, update: Any) -> None:
        """Apply an update of a replica's stream."""
        raise NotImplementedError

    async def report(self, client: PeerClient) -> None:
        """Send this VM's observations to a replica; raise `PeerError`."""
        sent_sequence = 0
        while True:
            reported = self._reported
            sequence = self.sequence
            message = self.build_report(sent_sequence)
            if message is not None:
                await client.request(message, LINK_TIMEOUT_S)
            sent_sequence = sequence
            if self.sequence == sequence:
                await reported.wait()

    async def follow(
        self, client: PeerClient, is_source: Callable[[], bool]
    ) -> None:
        """Apply what other entry VMs report to a replica.

        Raise `PeerError`. The stream starts once the replica `is_source`.
        """
        while not is_source():
            await asyncio.sleep(SOURCE_CHECK_INTERVAL_S)
        async for update in client.stream_replies(
            self.build_follow(), LINK_TIMEOUT_S
        ):
            self.apply(update)


class LimitExchange(ReportExchange):
    """Report limits to every replica, and follow those of the nearest ones."""

    def __init__(self, limits: TargetLimits, log: EventLog) -> None:
        super().__init__()
        self._limits = limits
        self._log = log
        limits.on_report = self.wake

    @property
    def sequence(self) -> int:
        """Return how many limits this VM has reported."""
        return self._limits.sequence

    def build_report(self, since: int) -> ReportTargetLimits | None:
        """Return this VM's limits after a sequence, None without any."""
        limits = self._limits.own_reports_since(since, time.monotonic())
        return ReportTargetLimits(limits) if limits else None

    def build_follow(self) -> FollowTargetLimits:
        """Return the message that asks for the stream of limits."""
        return FollowTargetLimits()

    def apply(self, update: TargetLimitsUpdate) -> None:
        """Apply the limits that other entry VMs observed."""
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


class SuspectExchange(ReportExchange):
    """Report observations to every replica, and follow the nearest ones."""

    def __init__(self, suspects: SuspectTable, log: EventLog) -> None:
        super().__init__()
        self._suspects = suspects
        self._log = log
        suspects.on_report = self.wake

    @property
    def sequence(self) -> int:
        """Return how many observations this VM has made."""
        return self._suspects.sequence

    def build_report(self, since: int) -> ReportSuspects | None:
        """Return the observations after a sequence, None without any."""
        records = self._suspects.records_since(since, time.monotonic())
        return ReportSuspects(records) if records else None

    def build_follow(self) -> FollowSuspects:
        """Return the message that asks for the stream of observations."""
        return FollowSuspects()

    def apply(self, update: SuspectsUpdate) -> None:
        """Add what other entry VMs observed."""
        for crash in self._suspects.merge(update.records, time.monotonic()):
            self._log.emit(
                Event.CRASH_TOLD,
                crash=crash.name,
                fingerprints=[key.hex() for key in sorted(crash.fingerprints)],
                age_s=round(time.monotonic() - crash.at_s, 3),
            )
