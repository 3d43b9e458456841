"""Deterministic split of requests between the old and the new side."""

from typing import Final
import zlib

import msgspec

from wigeonford.model import Share, Side

UNIT: Final = 1_000_000
"""Credit is counted in millionths of an attempt, so that it is exact."""

STICKY_CREDIT: Final = 10
MIN_SAMPLES: Final = 20
MAX_ERROR_RATE_EXCESS: Final = 0.1
MAX_LATENCY_RATIO: Final = 2.0
LATENCY_SLACK_S: Final = 0.01
MIN_SAMPLE_WEIGHT: Final = 0.05


class _SideStats(msgspec.Struct):
    """Track one side's error rate and latency by moving averages."""

    count: int = 0
    error_rate: float = 0.0
    latency_s: float = 0.0

    def add(self, ok: bool, latency_s: float) -> None:
        self.count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self.count)
        self.error_rate += weight * ((not ok) - self.error_rate)
        if ok:
            self.latency_s += weight * (latency_s - self.latency_s)


class ShiftCounter(msgspec.Struct):
    """Split one VM's attempts; the new side never exceeds its cap.

    The cap holds for every prefix of the attempts. Each attempt earns the
    fraction in force as credit, in millionths, and an attempt at the new side
    costs `UNIT`. Unspent credit is bounded, so that any short series of
    attempts exceeds the cap by at most that bound. Retries, hedges and
    fail-over count as attempts.
    """

    total: int = 0
    new: int = 0
    paused: bool = False
    _total_earned: int = 0
    _credit: int = 0
    _share: Share | None = None
    _start_fraction: float = 0.0
    _changed_at_s: float = 0.0
    _stats: dict[Side, _SideStats] = msgspec.field(
        default_factory=lambda: {side: _SideStats() for side in Side}
    )

    def next_side(
        self, share: Share, now_s: float = 0.0, sticky: str | None = None
    ) -> Side:
        """Count an attempt and return the side that it goes to.

        Attempts with the same `sticky` name, such as an account's, go to the
        same side while the cap allows it.
        """
        self._apply_share(share, now_s)
        fraction = self.fraction(now_s)
        earned = int(fraction * UNIT)
        max_credit = STICKY_CREDIT * UNIT if sticky is not None else UNIT
        self.total += 1
        self._total_earned += earned
        self._credit = min(self._credit + earned, max(max_credit, UNIT))
        if self._credit < UNIT or not _wants_new(sticky, fraction):
            return Side.OLD
        self._credit -= UNIT
        self.new += 1
        return Side.NEW

    def fraction(self, now_s: float) -> float:
        """Return the fraction in force, ramped since the last change."""
        share = self._share
        if share is None or share.paused or self.paused:
            return 0.0
        final = min(share.part, share.cap)
        start = min(self._start_fraction, final)
        if share.ramp_s <= 0:
            return final
        progress = min(
            1.0, max(0.0, (now_s - self._changed_at_s) / share.ramp_s)
        )
        return start + (final - start) * progress

    def is_under_cap(self) -> bool:
        """Return whether the new side got no more attempts than earned."""
        return self.new * UNIT <= self._total_earned

    def observe(self, side: Side, ok: bool, latency_s: float) -> bool:
        """Record an attempt's outcome; return whether it pauses the shift."""
        self._stats[side].add(ok, latency_s)
        if self.paused or not self._is_worse():
            return False
        self.paused = True
        return True

    def _is_worse(self) -> bool:
        old, new = self._stats[Side.OLD], self._stats[Side.NEW]
        if min(old.count, new.count) < MIN_SAMPLES:
            return False
        if new.error_rate > old.error_rate + MAX_ERROR_RATE_EXCESS:
            return True
        bound_s = MAX_LATENCY_RATIO * old.latency_s + LATENCY_SLACK_S
        return old.latency_s > 0 and new.latency_s > bound_s

    def _apply_share(self, share: Share, now_s: float) -> None:
        """Apply a changed share; an operator's change ends a pause."""
        if share == self._share:
            return
        self._start_fraction = self.fraction(now_s)
        self._changed_at_s = now_s
        self._share = share
        self.paused = False
        self._stats = {side: _SideStats() for side in Side}


def _wants_new(sticky: str | None, fraction: float) -> bool:
    if sticky is None:
        return True
    return zlib.crc32(sticky.encode()) / 2**32 < fraction
