"""Parts of a pool of slots, and what a target may use while cold."""

from collections.abc import Mapping
import math
from typing import Final

WARM_UP_S: Final = 3.0


def divide_slots(capacity: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Return whole parts in proportion to wants, none above its want.

    Entry VMs that carry more load get more; fairness among client accounts
    is not decided here.
    """
    total = sum(wants.values())
    if total <= capacity:
        return dict(wants)
    exact = {name: capacity * want / total for name, want in wants.items()}
    parts = {name: math.floor(part) for name, part in exact.items()}
    left = capacity - sum(parts.values())
    by_rest = sorted(wants, key=lambda name: (parts[name] - exact[name], name))
    for name in by_rest[:left]:
        parts[name] += 1
    return parts


def warm_slots(slots: int, age_s: float) -> int:
    """Return how many slots a target may use this long after it began."""
    warm = math.ceil(slots * age_s / WARM_UP_S)
    return max(1, min(slots, warm))
