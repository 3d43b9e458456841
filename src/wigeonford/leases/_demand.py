"""Estimate of how many requests a second arrive."""

import math
from typing import Final

MEMORY_S: Final = 2.0


class Demand:
    """Average arrivals with exponentially falling weights."""

    def __init__(self, now_s: float) -> None:
        self._sum = 0.0
        self._at_s = now_s

    def add(self, now_s: float) -> None:
        """Count one arrival, whatever becomes of it."""
        self._decay(now_s)
        self._sum += 1.0

    def rate_per_s(self, now_s: float) -> float:
        """Return the arrivals a second of late."""
        self._decay(now_s)
        return self._sum / MEMORY_S

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._sum *= math.exp(-elapsed_s / MEMORY_S)
        self._at_s = max(self._at_s, now_s)
