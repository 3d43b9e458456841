"""Decide how much of a service's work leaves a domain: pure.

When the targets of a region or zone can't serve all requests of its callers
while others have free capacity, a fraction of the objects is served elsewhere.
The fraction follows the ratio of rejected requests slowly. Each object that
moves is cold at its new target, and a region that gets much load at once would
be overloaded in turn.
"""

import math
from typing import Final

RISE_PER_S: Final = 0.05
"""Increase of the fraction per second. The share of a region's requests that
are served there may change by at most 0.15 in two seconds."""
FALL_PER_S: Final = 0.025
"""Decrease of the fraction per second. It is slower because a return gains
only a round trip to another region, and each object is cold again."""
FAST_CHANGE_PER_S: Final = 0.5
"""Change of the fraction per second after many targets were lost at once."""
FAST_CHANGE_S: Final = 2.0
"""How long fast changes are allowed."""
AVERAGING_S: Final = 1.0
"""Time constant of the moving average of rejections."""
HIGH_REJECTION_RATIO: Final = 0.04
"""Ratio of requests without capacity above which the fraction rises."""
LOW_REJECTION_RATIO: Final = 0.01
"""Ratio of requests without capacity below which the fraction may fall."""
MAX_RETURN_UTILIZATION: Final = 0.7
"""Utilization of the slots from which the fraction doesn't fall."""


INITIAL_LOAD_MARGIN: Final = 1.5
"""Factor by which a domain's load may exceed its capacity, relative to the
average domain, before the initial fraction is above 0."""


def initial_fraction(slots: int, all_slots: int, domains: int) -> float:
    """Return the fraction that leaves a domain before its load is known.

    Callers are assumed to be spread evenly over domains, unlike targets.
    """
    relative_capacity = slots * domains / max(1, all_slots)
    return max(0.0, 1.0 - INITIAL_LOAD_MARGIN * relative_capacity)


class Spill:
    """Track the fraction of a domain's objects that are served elsewhere."""

    def __init__(self, now_s: float, fraction: float = 0.0) -> None:
        self.fraction = fraction
        self._rejected = 0.0
        self._count = 0.0
        self._at_s = now_s
        self._fast_until_s = now_s

    def allow_fast_change(self, now_s: float) -> None:
        """Let the fraction change fast for `FAST_CHANGE_S`."""
        self._fast_until_s = now_s + FAST_CHANGE_S

    def record_request(
        self, has_capacity: bool, utilization: float, now_s: float
    ) -> None:
        """Record a request, and whether the domain had capacity for it.

        `utilization` is the fraction of the domain's slots in use.
        """
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        decay = math.exp(-elapsed_s / AVERAGING_S)
        self._rejected = self._rejected * decay + (not has_capacity)
        self._count = self._count * decay + 1
        rejection_ratio = self._rejected / self._count
        is_fast = now_s < self._fast_until_s
        if rejection_ratio > HIGH_REJECTION_RATIO:
            change_per_s = FAST_CHANGE_PER_S if is_fast else RISE_PER_S
            self.fraction = min(1.0, self.fraction + elapsed_s * change_per_s)
        elif (
            rejection_ratio < LOW_REJECTION_RATIO
            and utilization < MAX_RETURN_UTILIZATION
        ):
            change_per_s = FAST_CHANGE_PER_S if is_fast else FALL_PER_S
            self.fraction = max(0.0, self.fraction - elapsed_s * change_per_s)
