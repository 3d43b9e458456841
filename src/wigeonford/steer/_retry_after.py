"""When to tell a refused caller to come back: pure.

The load that this answers: more requests than the targets of a service can
take for seconds at a time. Callers that come back together would be
refused together, so each is told a time of its own.
"""

from collections.abc import Iterable
import random
from typing import Final

from wigeonford.steer._target_book import TargetRecord

LEAST_S: Final = 0.15
"""Sooner than one slot is likely to come free."""
MOST_S: Final = 1.2
"""A third of the time that callers have; they heed no more."""
SPREAD: Final = 0.5
"""Part by which times are spread to either side."""


def room_after_s(
    records: Iterable[TargetRecord], duration_s: float, now_s: float
) -> float:
    """Return when the first of some targets will have room again."""
    waits = [
        max(
            record.paused_until_s - now_s,
            max(0.0, record.load(now_s) + 1 - record.announced.slots)
            * duration_s
            / max(1, record.announced.slots),
        )
        for record in records
        if not record.is_down(now_s)
    ]
    return min(waits, default=MOST_S)


def retry_after_s(room_s: float, rng: random.Random) -> float:
    """Return when a caller should come back."""
    spread = rng.uniform(1 - SPREAD, 1 + SPREAD)
    return min(MOST_S, max(LEAST_S, room_s * spread))
