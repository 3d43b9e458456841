"""Division of a slot pool among holders, and slots of cold targets."""

from collections.abc import Mapping
import math
from typing import Final

WARM_UP_S: Final = 3.0


def divide_slots(capacity: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Divide whole slots in proportion to demand, at most the demand.

    Entry VMs with more load get more slots; fairness among client accounts
    is not decided here.
    """
    total = sum(wants.values())
    if total <= capacity:
        return dict(wants)
    exact = {name: capacity * want / total for name, want in wants.items()}
    slots = {name: math.floor(number) for name, number in exact.items()}
    left = capacity - sum(slots.values())
    by_remainder = sorted(
        wants, key=lambda name: (slots[name] - exact[name], name)
    )
    for name in by_remainder[:left]:
        slots[name] += 1
    return slots


def warm_slots(slots: int, age_s: float) -> int:
    """Return how many slots of a target may be used while it warms up.

    The number grows linearly from 1 at the start of the target to all
    `slots` after `WARM_UP_S`.
    """
    warm = math.ceil(slots * age_s / WARM_UP_S)
    return max(1, min(slots, warm))
