"""Averages of the durations and sizes of each route's requests."""

from collections import deque
from typing import Final

import msgspec

from wigeonford.deployment import Route, RouteKind
from wigeonford.steer._placement import Durations

INITIAL_WARM_FRACTION: Final = 0.45
"""Assumed duration of a warm request, as a fraction of the route's latency
objective, before the first response."""
INITIAL_COLD_FRACTION: Final = 1.4
"""The same for a request whose object is not warm at the target."""
SMOOTHING: Final = 0.95
"""Weight of the previous value in the moving averages; about twenty requests
change an average."""
INITIAL_SIZE_BYTES: Final = {
    RouteKind.SAFE: 1500.0,
    RouteKind.UNSAFE: 2000.0,
    RouteKind.UPLOAD: 60000.0,
}
"""Assumed size of a request in both directions, by kind of route, before the
first response."""


RECENT_DURATIONS: Final = 64
"""Responses among which there is a slow one, even if most are fast."""
FEW_DURATIONS: Final = 16
"""With fewer responses, a slow one may be missing."""


class RouteStats(msgspec.Struct):
    """Hold the moving averages of one route, and its latest durations.

    `running_since_s` tells when the requests at targets were sent, the oldest
    first, by any key.
    """

    warm_s: float
    cold_s: float
    size_bytes: float
    recent_s: deque[float] = msgspec.field(
        default_factory=lambda: deque(maxlen=RECENT_DURATIONS)
    )
    running_since_s: dict[int, float] = msgspec.field(default_factory=dict)

    @classmethod
    def initial(cls, route: Route) -> "RouteStats":
        """Return the values to assume before the first response."""
        return cls(
            route.objective_s * INITIAL_WARM_FRACTION,
            route.objective_s * INITIAL_COLD_FRACTION,
            INITIAL_SIZE_BYTES[route.kind],
        )

    @property
    def durations(self) -> Durations:
        """Return the typical durations of requests."""
        return Durations(self.warm_s, self.cold_s)

    def slowest_s(self, time_limit_s: float) -> float:
        """Return the longest usual duration, waits for a slot included.

        Before the first response it is the route's time limit.
        """
        if not self.recent_s:
            return time_limit_s
        slowest_s = max(self.recent_s)
        if len(self.recent_s) < FEW_DURATIONS:
            return max(slowest_s, self.cold_s)
        return slowest_s

    def running_s(self, now_s: float) -> float:
        """Return for how long the middle one of those at targets takes."""
        since_s = list(self.running_since_s.values())
        return now_s - since_s[(len(since_s) - 1) // 2] if since_s else 0.0

    def record_response(self, duration_s: float) -> None:
        """Record a response to a request that may have waited for a slot."""
        self.recent_s.append(duration_s)

    def record(
        self, duration_s: float, size_bytes: int, *, was_warm: bool
    ) -> None:
        """Record a response to a request that did not wait for a slot."""
        self.size_bytes = _smooth(self.size_bytes, size_bytes)
        if was_warm:
            self.warm_s = _smooth(self.warm_s, duration_s)
        elif duration_s > (self.warm_s + self.cold_s) / 2:
            self.cold_s = _smooth(self.cold_s, duration_s)


def _smooth(previous: float, value: float) -> float:
    return SMOOTHING * previous + (1 - SMOOTHING) * value
