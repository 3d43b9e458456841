"""Estimate of the arrival rate of requests."""

import math
from typing import Final

TIME_CONSTANT_S: Final = 2.0


class Demand:
    """Average arrivals with exponentially falling weights."""

    def __init__(self, now_s: float) -> None:
        self._sum = 0.0
        self._decayed_at_s = now_s

    def add(self, now_s: float) -> None:
        """Count one arrival, admitted or not."""
        self._decay(now_s)
        self._sum += 1.0

    def rate_per_s(self, now_s: float) -> float:
        """Return the recent arrivals per second."""
        self._decay(now_s)
        return self._sum / TIME_CONSTANT_S

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._decayed_at_s)
        self._sum *= math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._decayed_at_s = max(self._decayed_at_s, now_s)
