"""Byte rate of one inter-region link that a VM may use, by class.

A VM leases a part of the link's bytes per second. Interactive work and bulk
work each get a fraction of it, and each may use bytes that the other leaves
unused. Interactive work has priority, and bulk work always makes progress.
"""

from typing import Final

import msgspec

from wigeonford.model import RequestClass

BURST_S: Final = 0.1
MIN_DEMAND_FRACTION: Final = 0.05
DEMAND_MARGIN: Final = 2.0
MIN_BULK_FRACTION: Final = 0.05


class _ClassTokens(msgspec.Struct):
    """Hold the tokens of one class, in bytes."""

    tokens: float = 0.0


class LinkQuota:
    """Spend a leased byte rate of a link; starts empty.

    In any period `t`, both classes together spend at most the leased rate
    times `t + BURST_S`.
    """

    def __init__(self, interactive_fraction: float, now_s: float) -> None:
        interactive = min(interactive_fraction, 1.0 - MIN_BULK_FRACTION)
        self._fractions = {
            RequestClass.INTERACTIVE: interactive,
            RequestClass.BULK: 1.0 - interactive,
        }
        self._classes = {kind: _ClassTokens() for kind in self._fractions}
        self._bytes_per_s = 0.0
        self._refilled_at_s = now_s

    def resize(self, bytes_per_s: float, now_s: float) -> None:
        """Change the leased rate; tokens above the new burst are lost."""
        self._refill(now_s)
        self._bytes_per_s = bytes_per_s
        for kind, bucket in self._classes.items():
            bucket.tokens = min(bucket.tokens, self._burst(kind))

    def wait_s(self, kind: RequestClass, size: int, now_s: float) -> float:
        """Return the time until `size` bytes may be sent; inf if never."""
        self._refill(now_s)
        if self._classes[kind].tokens >= size:
            return 0.0
        own_rate = self._bytes_per_s * self._fractions[kind]
        if own_rate <= 0 or size > self._burst(kind):
            return float("inf")
        return (size - self._classes[kind].tokens) / own_rate

    def spend(self, kind: RequestClass, size: int, now_s: float) -> bool:
        """Spend tokens for `size` bytes; return False if they are missing."""
        if self.wait_s(kind, size, now_s) > 0:
            return False
        self._classes[kind].tokens -= size
        return True

    def max_send_bytes(self, kind: RequestClass) -> int:
        """Return how many bytes may be sent at once at most."""
        return int(self._burst(kind))

    def _burst(self, kind: RequestClass) -> float:
        return self._bytes_per_s * self._fractions[kind] * BURST_S

    def _refill(self, now_s: float) -> None:
        grown = max(0.0, now_s - self._refilled_at_s) * self._bytes_per_s
        self._refilled_at_s = max(self._refilled_at_s, now_s)
        spare = sum(
            self._add(kind, grown * fraction)
            for kind, fraction in self._fractions.items()
        )
        for kind in self._fractions:
            spare = self._add(kind, spare)

    def _add(self, kind: RequestClass, size: float) -> float:
        """Add tokens to a class; return the excess above its burst."""
        bucket = self._classes[kind]
        free = max(0.0, self._burst(kind) - bucket.tokens)
        added = min(size, free)
        bucket.tokens += added
        return size - added


class LinkDemand:
    """Estimate which byte rate of a link a VM should request."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._offered_bytes = 0.0

    def add(self, size: int) -> None:
        """Count bytes that were offered to the link, sent or not."""
        self._offered_bytes += size

    def wanted(self, elapsed_s: float) -> float:
        """Return the bytes per second to request, and reset the count."""
        rate = self._offered_bytes / elapsed_s if elapsed_s > 0 else 0.0
        self._offered_bytes = 0.0
        minimum = self._capacity * MIN_DEMAND_FRACTION
        return min(self._capacity, max(minimum, rate * DEMAND_MARGIN))
