"""Budget for extra attempts, earned by requests."""

from collections import deque
from typing import Final

STEPS: Final = 10
"""Parts of the memory that are forgotten at once."""


class AttemptBudget:
    """Allow extra attempts up to a fraction of the recent requests.

    Each request earns `fraction` of an attempt. Unspent attempts are kept:
    those earned in the last `memory_s`, and `reserve` besides. So in any time
    of that length, no more are spent than `reserve` and what the requests of
    this time and of the one before it have earned.
    """

    def __init__(
        self, fraction: float, reserve: float, memory_s: float = 0.0
    ) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._memory_s = memory_s
        self._tokens = reserve
        self._recent = 0.0
        # What was earned from a time on, oldest first.
        self._steps: deque[list[float]] = deque()

    def limit_reserve(self, reserve: float) -> None:
        """Keep at most so many unspent attempts besides recent ones."""
        self._reserve = reserve
        self._tokens = min(self._tokens, self._reserve + self._recent)

    def earn(self, now_s: float = 0.0) -> None:
        """Count a request."""
        self._tokens += self._fraction
        if self._memory_s:
            step_s = self._memory_s / STEPS
            if not self._steps or now_s - self._steps[-1][0] >= step_s:
                self._steps.append([now_s, 0.0])
            self._steps[-1][1] += self._fraction
            self._recent += self._fraction
        self._forget(now_s)

    def spend(self, now_s: float = 0.0) -> bool:
        """Spend an extra attempt; return False if none is left."""
        self._forget(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _forget(self, now_s: float) -> None:
        while self._steps and self._steps[0][0] <= now_s - self._memory_s:
            self._recent -= self._steps.popleft()[1]
        if not self._steps:
            self._recent = 0.0
        self._tokens = min(self._tokens, self._reserve + self._recent)
