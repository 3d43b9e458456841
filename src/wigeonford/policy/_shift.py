"""Deterministic split of requests between the old and the new side."""

from typing import Final
import zlib

import msgspec

from wigeonford.model import Share, Side

UNIT: Final = 1_000_000
"""Millionths, so that counting is exact."""

STICKY_CREDIT: Final = 10
MIN_COMPARED: Final = 20
WORSE_ERRORS: Final = 0.1
WORSE_LATENCY: Final = 2.0
LATENCY_SLACK_S: Final = 0.01
WEIGHT: Final = 0.05


class _SideSeen(msgspec.Struct):
    """Follow one side's errors and latency by moving averages."""

    count: int = 0
    errors: float = 0.0
    latency_s: float = 0.0

    def add(self, ok: bool, latency_s: float) -> None:
        self.count += 1
        weight = max(WEIGHT, 1 / self.count)
        self.errors += weight * ((not ok) - self.errors)
        if ok:
            self.latency_s += weight * (latency_s - self.latency_s)


class ShiftCounter(msgspec.Struct):
    """Split one VM's attempts; the new side is at its cap at any prefix.

    Each attempt earns the part in force, in millionths, and one at the new
    side spends `UNIT`; what is earned and not spent is kept only up to a
    bound, so that the cap holds over short stretches too, but for that
    bound. Retries, hedges and fail-over are attempts like any other.
    """

    total: int = 0
    new: int = 0
    paused: bool = False
    _earned: int = 0
    _credit: int = 0
    _share: Share | None = None
    _from_part: float = 0.0
    _since_s: float = 0.0
    _seen: dict[Side, _SideSeen] = msgspec.field(
        default_factory=lambda: {side: _SideSeen() for side in Side}
    )

    def next_side(
        self, share: Share, now_s: float = 0.0, sticky: str | None = None
    ) -> Side:
        """Count an attempt and return the side that it goes to.

        With `sticky`, a name such as an account's, attempts of the same
        name go to the same side while the cap allows it.
        """
        self._follow(share, now_s)
        part = self.part(now_s)
        earned = int(part * UNIT)
        most = STICKY_CREDIT * UNIT if sticky is not None else UNIT
        self.total += 1
        self._earned += earned
        self._credit = min(self._credit + earned, max(most, UNIT))
        if self._credit < UNIT or not _wants_new(sticky, part):
            return Side.OLD
        self._credit -= UNIT
        self.new += 1
        return Side.NEW

    def part(self, now_s: float) -> float:
        """Return the part in force, ramped since it was raised."""
        share = self._share
        if share is None or share.paused or self.paused:
            return 0.0
        goal = min(share.part, share.cap)
        start = min(self._from_part, goal)
        if share.ramp_s <= 0:
            return goal
        done = min(1.0, max(0.0, (now_s - self._since_s) / share.ramp_s))
        return start + (goal - start) * done

    def is_under_cap(self) -> bool:
        """Tell whether the new side got no more than was earned."""
        return self.new * UNIT <= self._earned

    def observe(self, side: Side, ok: bool, latency_s: float) -> bool:
        """Record an attempt's outcome; tell whether it pauses the shift."""
        self._seen[side].add(ok, latency_s)
        if self.paused or not self._is_worse():
            return False
        self.paused = True
        return True

    def _is_worse(self) -> bool:
        old, new = self._seen[Side.OLD], self._seen[Side.NEW]
        if min(old.count, new.count) < MIN_COMPARED:
            return False
        if new.errors > old.errors + WORSE_ERRORS:
            return True
        bound_s = WORSE_LATENCY * old.latency_s + LATENCY_SLACK_S
        return old.latency_s > 0 and new.latency_s > bound_s

    def _follow(self, share: Share, now_s: float) -> None:
        """Take a changed share; an operator's change ends a pause."""
        if share == self._share:
            return
        self._from_part = self.part(now_s)
        self._since_s = now_s
        self._share = share
        self.paused = False
        self._seen = {side: _SideSeen() for side in Side}


def _wants_new(sticky: str | None, part: float) -> bool:
    if sticky is None:
        return True
    return zlib.crc32(sticky.encode()) / 2**32 < part
