"""Budgets for retries and hedges, and when to send them."""

from collections import deque
from typing import Final

RETRY_FRACTION: Final = 0.2
RETRY_RESERVE: Final = 10.0
HEDGE_FRACTION: Final = 0.05
HEDGE_RESERVE: Final = 2.0
HEDGE_QUANTILE: Final = 0.95
MAX_SAMPLES: Final = 256
MIN_SAMPLES: Final = 32
FIRST_BYTE_FACTOR: Final = 4.0
MIN_FIRST_BYTE_S: Final = 0.05
MIN_HEDGE_S: Final = 0.005


class LatencyWindow:
    """Keep the latest latencies of a service, in seconds."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)

    def add(self, seconds: float) -> None:
        """Record how long a target took until it began its response."""
        self._samples.append(seconds)

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile; None until there are enough samples."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    def hedge_after_s(self) -> float | None:
        """Return the delay before a hedge; None if there are few samples."""
        latency_s = self.quantile(HEDGE_QUANTILE)
        return max(latency_s, MIN_HEDGE_S) if latency_s is not None else None

    def first_byte_s(self) -> float | None:
        """Return the first-byte timeout of a pooled connection, if known."""
        latency_s = self.quantile(HEDGE_QUANTILE)
        if latency_s is None:
            return None
        return max(MIN_FIRST_BYTE_S, FIRST_BYTE_FACTOR * latency_s)
