"""The service that passes on the limits that targets state."""

from collections.abc import Callable
import itertools
import time

from wigeonford.control._relay_service import RelayService
from wigeonford.deployment import MAX_NAME_CHARS
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    FollowTargetLimits,
    ReportTargetLimits,
    TargetLimitsUpdate,
)
from wigeonford.stated_limits import (
    decode_limit,
    encode_limit,
    is_usable,
    StatedLimits,
)


class LimitService(RelayService):
    """Pass on limits from the entry VMs that read them to all others."""

    report_type = ReportTargetLimits
    follow_type = FollowTargetLimits

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        log: EventLog | None = None,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._log = log or EventLog()
        self._limits = StatedLimits()

    @property
    def revision(self) -> int:
        """Return how many observations were the latest of a target."""
        return self._limits.revision

    def merge(self, report: ReportTargetLimits) -> None:
        """Merge limits, and log those that can't be used."""
        now_s = self._clock()
        for stated in itertools.filterfalse(is_usable, report.limits):
            self._log.emit(
                Event.TARGET_LIMIT_UNREADABLE,
                target=stated.target_id[:MAX_NAME_CHARS],
                stated=repr(stated.per_s),
            )
        for limit in filter(is_usable, report.limits):
            self._limits.merge(decode_limit(limit, now_s), now_s)

    def build_update(self, since: int) -> TargetLimitsUpdate:
        """Return the limits observed after a revision."""
        now_s = self._clock()
        return TargetLimitsUpdate(
            tuple(
                encode_limit(limit, now_s)
                for limit in self._limits.changed_since(since)
            )
        )
