"""Time limits on a caller that follow changes of the limits in force."""

import asyncio
from collections.abc import Callable

from wigeonford.http._reader import ReadDeadline
from wigeonford.settings import CallerLimits


class CallerDeadline(ReadDeadline):
    """A time limit on a caller that rises with the limit in force."""

    def __init__(
        self, limits: CallerLimits, limit_of: Callable[[CallerLimits], float]
    ) -> None:
        self._began_s = asyncio.get_running_loop().time()
        self._limit_of = limit_of
        self._timeout_s = limit_of(limits)
        super().__init__(self._began_s + self._timeout_s)

    def extend(self, limits: CallerLimits) -> None:
        """Apply limits that came into force; a smaller one has no effect."""
        timeout_s = self._limit_of(limits)
        if timeout_s > self._timeout_s:
            self._timeout_s = timeout_s
            self.reschedule(self._began_s + timeout_s)

    def expire_in(self, timeout_s: float) -> None:
        """Expire after `timeout_s`, whatever limits come into force."""
        self._limit_of = lambda _limits: 0.0
        now_s = asyncio.get_running_loop().time()
        self.reschedule(now_s + timeout_s)
