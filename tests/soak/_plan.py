"""What goes wrong when, drawn from a seed: pure."""

from collections.abc import Iterator
from dataclasses import dataclass
import random
from typing import Final

CONTROLS: Final = 3
ENTRIES: Final = 3
TARGETS: Final = 4

CALM_S: Final = 1.5
"""Traffic without faults at the start, so that views are complete."""
GAP_S: Final = (0.1, 1.6)
"""Pause between the starts of faults; most last longer, so they overlap."""
LENGTH_S: Final = (0.3, 3.0)
"""How long a fault lasts: around heartbeats, leases and elections."""

ENTRY_FAULTS: Final = (
    "entry-stop",
    "entry-kill",
    "entry-pause",
    "entry-reload",
    "callers-delay",
    "callers-reset",
    "callers-one-way",
    "callers-silence",
)
TARGET_FAULTS: Final = (
    "target-drain",
    "target-crash",
    "target-delay",
    "target-reset",
    "target-one-way",
    "target-silence",
)
CONTROL_FAULTS: Final = (
    "control-stop",
    "control-kill",
    "control-pause",
    "control-torn-tail",
    "control-lost-disk",
    "control-api-delay",
    "control-api-reset",
    "control-api-silence",
)
ALL_CONTROL: Final = "control-power"
"""Kill all replicas at once; their disks stay."""
POWER_PART: Final = 0.08
CONTROL_PART: Final = 0.3
TARGET_PART: Final = 0.3
RESTART_S: Final = 4.0
"""A restarted replica has caught up by then; only one may be away."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that goes wrong; `on` is the index of what it befalls."""

    at_s: float
    kind: str
    on: int
    for_s: float


def draw_faults(seed: int, until_s: float) -> Iterator[Fault]:
    """Yield faults in order; at most one control replica is away."""
    rng = random.Random(seed)
    at_s = CALM_S
    control_free_s = 0.0
    while at_s < until_s:
        for_s = rng.uniform(*LENGTH_S)
        draw = rng.random()
        if draw < CONTROL_PART and at_s >= control_free_s:
            kind = rng.choice(CONTROL_FAULTS)
            if rng.random() < POWER_PART:
                kind = ALL_CONTROL
            yield Fault(at_s, kind, rng.randrange(CONTROLS), for_s)
            control_free_s = at_s + for_s + RESTART_S
        elif draw < CONTROL_PART + TARGET_PART:
            kind = rng.choice(TARGET_FAULTS)
            yield Fault(at_s, kind, rng.randrange(TARGETS), for_s)
        else:
            kind = rng.choice(ENTRY_FAULTS)
            yield Fault(at_s, kind, rng.randrange(ENTRIES), for_s)
        at_s += rng.uniform(*GAP_S)
