"""Draw the faults of a run and their times from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass
import random
from typing import Final

CONTROLS: Final = 3
ENTRIES: Final = 3
TARGETS: Final = 4

FAULT_FREE_S: Final = 1.5
"""Time without faults at the start, in which views become complete."""
GAP_RANGE_S: Final = (0.1, 1.6)
"""Time between the starts of faults; most faults last longer and overlap."""
DURATION_RANGE_S: Final = (0.3, 3.0)
"""How long a fault lasts: about as long as heartbeats, leases and elections
take."""

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
CONTROL_POWER_LOSS: Final = "control-power"
"""Kill all replicas at once; their data is kept."""
POWER_LOSS_FRACTION: Final = 0.08
CONTROL_FRACTION: Final = 0.3
TARGET_FRACTION: Final = 0.3
TARGET_LIMIT: Final = "target-limit"
"""A target states a limit of its request rate."""
LIMIT_GAP_RANGE_S: Final = (1.0, 6.0)
LIMIT_RANGE_S: Final = (3.0, 12.0)
"""How long a limit lasts; some end before they have to be kept."""
OVERLAPS: Final = (
    "target-misbehave",
    "target-misbehave",
    "entry-pause",
    "entry-rolling-stop",
)
"""Faults drawn beside the others."""
OVERLAP_GAP_RANGE_S: Final = (0.5, 3.5)
CATCH_UP_S: Final = 4.0
"""Time for a restarted replica to catch up; until then no other replica may
fail."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `on` is the index of the affected process or target."""

    at_s: float
    kind: str
    on: int
    length_s: float


def draw_faults(seed: int, until_s: float) -> Iterator[Fault]:
    """Yield faults ordered by time.

    A control fault begins only after the previous one has ended and its
    replica has had time to catch up.
    """
    rng = random.Random(seed)
    at_s = FAULT_FREE_S
    control_recovered_at_s = 0.0
    while at_s < until_s:
        length_s = rng.uniform(*DURATION_RANGE_S)
        draw = rng.random()
        if draw < CONTROL_FRACTION and at_s >= control_recovered_at_s:
            kind = rng.choice(CONTROL_FAULTS)
            if rng.random() < POWER_LOSS_FRACTION:
                kind = CONTROL_POWER_LOSS
            yield Fault(at_s, kind, rng.randrange(CONTROLS), length_s)
            control_recovered_at_s = at_s + length_s + CATCH_UP_S
        elif draw < CONTROL_FRACTION + TARGET_FRACTION:
            kind = rng.choice(TARGET_FAULTS)
            yield Fault(at_s, kind, rng.randrange(TARGETS), length_s)
        else:
            kind = rng.choice(ENTRY_FAULTS)
            yield Fault(at_s, kind, rng.randrange(ENTRIES), length_s)
        at_s += rng.uniform(*GAP_RANGE_S)


def draw_limits(seed: int, until_s: float) -> Iterator[Fault]:
    """Yield the limits that targets state, ordered by time.

    They overlap the faults of `draw_faults`, which don't depend on them.
    """
    rng = random.Random(f"limits {seed}")
    at_s = FAULT_FREE_S
    while at_s < until_s:
        length_s = rng.uniform(*LIMIT_RANGE_S)
        yield Fault(at_s, TARGET_LIMIT, rng.randrange(TARGETS), length_s)
        at_s += rng.uniform(*LIMIT_GAP_RANGE_S)


def draw_overlaps(seed: int, until_s: float) -> Iterator[Fault]:
    """Yield faults that overlap those of `draw_faults`, ordered by time."""
    rng = random.Random(f"overlaps {seed}")
    at_s = FAULT_FREE_S
    while at_s < until_s:
        kind = rng.choice(OVERLAPS)
        on = rng.randrange(ENTRIES) if kind.startswith("entry") else TARGETS
        yield Fault(at_s, kind, on, rng.uniform(*DURATION_RANGE_S))
        at_s += rng.uniform(*OVERLAP_GAP_RANGE_S)
