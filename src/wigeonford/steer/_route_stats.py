"""How long and how large the requests of each route are."""

from typing import Final

import msgspec

from wigeonford.deployment import Route, RouteKind
from wigeonford.steer._placement import Durations

WARM_PART: Final = 0.45
"""First guess at a warm request's duration, as a part of the objective."""
COLD_PART: Final = 1.4
"""First guess at a first touch's, likewise."""
MEMORY: Final = 0.95
"""Weight of what was before; some twenty requests change a figure."""
FIRST_BYTES: Final = {
    RouteKind.SAFE: 1500.0,
    RouteKind.UNSAFE: 2000.0,
    RouteKind.UPLOAD: 60000.0,
}
"""First guess at a request's size both ways, by kind."""


class RouteStats(msgspec.Struct):
    """Hold the averages of one route."""

    warm_s: float
    cold_s: float
    size_bytes: float

    @classmethod
    def guess(cls, route: Route) -> "RouteStats":
        """Return what to assume before the first answer."""
        return cls(
            route.objective_s * WARM_PART,
            route.objective_s * COLD_PART,
            FIRST_BYTES[route.kind],
        )

    @property
    def durations(self) -> Durations:
        """Return how long requests run."""
        return Durations(self.warm_s, self.cold_s)

    def record(
        self, duration_s: float, size_bytes: int, *, was_warm: bool
    ) -> None:
        """Take note of an answer that came without a wait."""
        self.size_bytes = _blend(self.size_bytes, size_bytes)
        if was_warm:
            self.warm_s = _blend(self.warm_s, duration_s)
        elif duration_s > (self.warm_s + self.cold_s) / 2:
            self.cold_s = _blend(self.cold_s, duration_s)


def _blend(held: float, new: float) -> float:
    return MEMORY * held + (1 - MEMORY) * new
