"""Limits that targets state for their request rate: pure.

An entry VM reads a limit in the responses to its own requests, but all entry
VMs have to keep it together. So entry VMs and control replicas exchange what
they observe. Of two observations of one target, the later one holds.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from wigeonford.deployment import MAX_COUNT
from wigeonford.messages.steering import TargetLimit

MAX_STATED_LIMITS: Final = 4096
"""More than the targets that state a limit at once in a fleet of the planned
size."""
OBSERVATION_TTL_S: Final = 60.0
"""How long an observation is kept for entry VMs that start. Limits that are
in force are observed again every few seconds."""

MAX_LIMIT_PER_S: Final = 1e9
MAX_AGE_MS: Final = 10**12


class StatedLimit(msgspec.Struct, frozen=True):
    """Hold what an incarnation of a target last stated.

    `per_s` is the rate of requests that it accepts from all entry VMs
    together, None if it stated no limit. `observed_at_s` is on the clock of
    the process that holds this record.
    """

    target_id: str
    born_ms: int
    per_s: float | None
    observed_at_s: float

    def supersedes(self, other: "StatedLimit | None") -> bool:
        """Return whether this observation holds instead of another one."""
        return other is None or (self.born_ms, self.observed_at_s) > (
            other.born_ms,
            other.observed_at_s,
        )


def encode_limit(limit: StatedLimit, now_s: float) -> TargetLimit:
    """Return the message of an observation; it holds the age, not a time."""
    age_s = max(0.0, now_s - limit.observed_at_s)
    return TargetLimit(
        limit.target_id, limit.born_ms, limit.per_s, round(age_s * 1000)
    )


def is_usable(message: TargetLimit) -> bool:
    """Return whether the numbers of a message are in their ranges."""
    return (
        0 <= message.born_ms <= MAX_COUNT
        and 0 <= message.age_ms <= MAX_AGE_MS
        and (message.per_s is None or 0 <= message.per_s <= MAX_LIMIT_PER_S)
    )


def decode_limit(message: TargetLimit, now_s: float) -> StatedLimit:
    """Return the observation of a usable message that has just arrived."""
    return StatedLimit(
        message.target_id,
        message.born_ms,
        message.per_s,
        now_s - message.age_ms / 1000,
    )


class StatedLimits:
    """Keep the latest observation of each target; `revision` counts them."""

    def __init__(self) -> None:
        self.revision = 0
        # Ordered by revision.
        self._limits: dict[str, tuple[int, StatedLimit]] = {}

    def merge(self, limit: StatedLimit, now_s: float) -> bool:
        """Keep an observation if it is the latest; return whether it is."""
        _, known = self._limits.get(limit.target_id, (0, None))
        if not limit.supersedes(known):
            return False
        self._limits.pop(limit.target_id, None)
        self.revision += 1
        self._limits[limit.target_id] = (self.revision, limit)
        self._evict(now_s)
        return True

    def _evict(self, now_s: float) -> None:
        while self._limits:
            target_id, (_, oldest) = next(iter(self._limits.items()))
            has_expired = now_s - oldest.observed_at_s > OBSERVATION_TTL_S
            if not has_expired and len(self._limits) <= MAX_STATED_LIMITS:
                return
            del self._limits[target_id]

    def changed_since(self, revision: int) -> Iterator[StatedLimit]:
        """Yield the observations made after a revision."""
        return (
            limit
            for changed_revision, limit in self._limits.values()
            if changed_revision > revision
        )
