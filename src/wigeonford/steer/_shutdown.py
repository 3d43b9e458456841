"""Until when a VM that is to stop takes and finishes requests: pure."""

import math
from typing import Final

import msgspec

from wigeonford.steer._entries import MAX_LOOKUP_AGE_S
from wigeonford.steer._route_stats import RouteStats

NEWS_S: Final = 1.0
"""Time until no other VM names this one in look-ups."""
FINISH_FRACTION: Final = 0.9
"""Fraction of the grace period after which the requests that are left get an
answer, so that it is written before their connections close."""
CLOSE_FRACTION: Final = 0.92
"""Fraction of the grace period after which connections close. The rest is left
for bytes on slow links and for the process to end."""
END_FRACTION: Final = 0.98
"""Fraction of the grace period after which the process ends, even if control
hasn't taken back what this VM held."""
SPREAD: Final = 1.05
"""Ratio of the slowest request to expect to the slowest of late."""
WAY_BACK_S: Final = 0.1
"""From the end of the work to the caller's connection."""
DRAINING_RETRY_AFTER_S: Final = 0.05
"""Other VMs take the request at once."""


class ShutdownPlan(msgspec.Struct, frozen=True):
    """Say when the steps of a shutdown are due, on the monotonic clock."""

    began_s: float
    grace_s: float

    @property
    def unlisted_at_s(self) -> float:
        """Return from when on no caller's look-up names this VM."""
        unlisted_at_s = self.began_s + NEWS_S + MAX_LOOKUP_AGE_S
        return min(unlisted_at_s, self.finish_by_s)

    @property
    def is_late_from_s(self) -> float:
        """Return from when on an estimate is no reason to take a request.

        Few callers come so late, and all others know VMs that don't stop.
        """
        return self.began_s + MAX_LOOKUP_AGE_S

    @property
    def finish_by_s(self) -> float:
        """Return when requests must have ended."""
        return self.began_s + self.grace_s * FINISH_FRACTION

    @property
    def close_at_s(self) -> float:
        """Return when connections close."""
        return self.began_s + self.grace_s * CLOSE_FRACTION

    @property
    def end_by_s(self) -> float:
        """Return when the process ends."""
        return self.began_s + self.grace_s * END_FRACTION

    def can_finish(
        self, now_s: float, expected_s: float, deadline_s: float
    ) -> bool:
        """Return whether a request that is sent now ends in time.

        It ends at its deadline at the latest.
        """
        return now_s <= self.send_by_s(expected_s, deadline_s)

    def send_by_s(self, expected_s: float, deadline_s: float) -> float:
        """Return until when a request can be sent."""
        if deadline_s + WAY_BACK_S <= self.finish_by_s:
            return deadline_s
        send_by_s = self.finish_by_s - WAY_BACK_S - expected_s
        return min(send_by_s, self.is_late_from_s)


NO_SHUTDOWN: Final = ShutdownPlan(math.inf, 0.0)
"""The plan of a VM that isn't to stop."""


def expected_s(
    stats: RouteStats,
    time_limit_s: float,
    now_s: float,
    wait_s: float = 0.0,
    work_s: float = 0.0,
) -> float:
    """Return how long a request takes if it is among the slowest.

    `time_limit_s` is the route's. `wait_s` and `work_s` are the expected wait
    for a slot of its target and the expected work. While most requests at
    targets already take longer than the slowest of late, these say nothing:
    targets have become slower.
    """
    slowest_s = SPREAD * max(stats.slowest_s(time_limit_s), wait_s + work_s)
    if stats.running_s(now_s) > slowest_s:
        return max(slowest_s, time_limit_s)
    return slowest_s
