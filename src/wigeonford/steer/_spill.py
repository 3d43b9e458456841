"""How much of a service's work leaves the region: pure.

The load that this answers: a region whose targets can't take all that its
callers ask for, while others have room. The part that leaves follows the
pressure slowly, since every object that moves is started anew elsewhere and
a region that is filled at a stroke overloads in turn.
"""

import math
from typing import Final

SLEW_PER_S: Final = 0.05
"""Change of the part in a second; callers' regions may shift by 0.15 in two
seconds."""
RETURN_SLEW_PER_S: Final = 0.025
"""The same for work that returns: it gains a trip to another region, and
each object pays with a first touch."""
FREE_SLEW_PER_S: Final = 0.5
"""The same after many targets were lost at once."""
FREE_S: Final = 2.0
"""How long the part may change fast."""
MEMORY_S: Final = 1.0
"""Over how long pressure is averaged."""
PRESSED: Final = 0.04
"""Part of requests without room from which more has to leave."""
RELIEVED: Final = 0.01
"""Part of requests without room below which some may return."""
BUSY: Final = 0.7
"""Use of the slots above which none returns."""


EVEN_MARGIN: Final = 1.5
"""How much more than an even part of the callers a region is thought to be
able to take at first."""


def first_part(slots: int, all_slots: int, domains: int) -> float:
    """Return what should leave a domain before its load is known.

    Callers are thought to be spread evenly over domains, unlike targets.
    """
    even = slots * domains / max(1, all_slots)
    return max(0.0, 1.0 - EVEN_MARGIN * even)


class Spill:
    """Track the part of the objects that are served elsewhere."""

    def __init__(self, now_s: float, part: float = 0.0) -> None:
        self.part = part
        self._pressed = 0.0
        self._count = 0.0
        self._at_s = now_s
        self._free_until_s = now_s

    def free(self, now_s: float) -> None:
        """Let the part change fast for a while."""
        self._free_until_s = now_s + FREE_S

    def note(self, has_room: bool, use: float, now_s: float) -> None:
        """Take note of a request and of the use of the region's slots."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        kept = math.exp(-elapsed_s / MEMORY_S)
        self._pressed = self._pressed * kept + (not has_room)
        self._count = self._count * kept + 1
        pressure = self._pressed / self._count
        free = now_s < self._free_until_s
        if pressure > PRESSED:
            slew_per_s = FREE_SLEW_PER_S if free else SLEW_PER_S
            self.part = min(1.0, self.part + elapsed_s * slew_per_s)
        elif pressure < RELIEVED and use < BUSY:
            slew_per_s = FREE_SLEW_PER_S if free else RETURN_SLEW_PER_S
            self.part = max(0.0, self.part - elapsed_s * slew_per_s)
