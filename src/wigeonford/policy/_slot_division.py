"""Division of a slot pool among holders, and slots of cold targets."""

from collections.abc import Mapping
import math
from typing import Final

WARM_UP_S: Final = 3.0


def divide_slots(capacity: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide whole slots among holders in proportion to their demand.

    No holder gets more than its demand. Fairness among client accounts is
    not decided here.
    """
    total = sum(demands.values())
    if total <= capacity:
        return dict(demands)
    exact = {
        name: capacity * demand / total for name, demand in demands.items()
    }
    slots = {name: math.floor(number) for name, number in exact.items()}
    left = capacity - sum(slots.values())
    by_remainder = sorted(
        demands, key=lambda name: (slots[name] - exact[name], name)
    )
    for name in by_remainder[:left]:
        slots[name] += 1
    return slots


def usable_slots(slots: int, age_s: float) -> int:
    """Return how many slots of a target may be used while it warms up.

    The number grows linearly from 1 when the target starts to all
    `slots` after `WARM_UP_S`.
    """
    warm = math.ceil(slots * age_s / WARM_UP_S)
    return max(1, min(slots, warm))
