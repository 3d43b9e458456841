"""Exchange the targets' limits with control replicas."""

import itertools
import time

from wigeonford.deployment import MAX_NAME_CHARS
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    FollowTargetLimits,
    ReportTargetLimits,
    TargetLimitsUpdate,
)
from wigeonford.stated_limits import is_usable
from wigeonford.steer._report_exchange import ReportExchange
from wigeonford.steer._target_limits import TargetLimits


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
