"""Bytes of one inter-region link that a VM may send, by class.

A VM holds a leased share of the link's bytes a second. Interactive work
and bulk work each own a part of it; what one leaves unused flows to the
other, so interactive work goes first and bulk always makes progress.
"""

from typing import Final

import msgspec

from wigeonford.model import RequestClass

BURST_S: Final = 0.1
LEAST_DEMAND_PART: Final = 0.05
DEMAND_MARGIN: Final = 2.0
LEAST_BULK_PART: Final = 0.05


class _Part(msgspec.Struct):
    """Hold one class's tokens, in bytes."""

    tokens: float = 0.0


class LinkShare:
    """Spend a leased share of a link; starts empty.

    Over any time `t` both classes together spend at most the share times
    `t + BURST_S`.
    """

    def __init__(self, interactive_part: float, now_s: float) -> None:
        first = min(interactive_part, 1.0 - LEAST_BULK_PART)
        self._fractions = {
            RequestClass.INTERACTIVE: first,
            RequestClass.BULK: 1.0 - first,
        }
        self._parts = {kind: _Part() for kind in self._fractions}
        self._rate = 0.0
        self._at_s = now_s

    def resize(self, bytes_per_s: float, now_s: float) -> None:
        """Change the share; tokens above the new burst are lost."""
        self._refill(now_s)
        self._rate = bytes_per_s
        for kind, part in self._parts.items():
            part.tokens = min(part.tokens, self._burst(kind))

    def wait_s(self, kind: RequestClass, size: int, now_s: float) -> float:
        """Return how long until `size` bytes may go; inf if never."""
        self._refill(now_s)
        if self._parts[kind].tokens >= size:
            return 0.0
        own_rate = self._rate * self._fractions[kind]
        if own_rate <= 0 or size > self._burst(kind):
            return float("inf")
        return (size - self._parts[kind].tokens) / own_rate

    def spend(self, kind: RequestClass, size: int, now_s: float) -> bool:
        """Take `size` bytes of a class's tokens, if they are there."""
        if self.wait_s(kind, size, now_s) > 0:
            return False
        self._parts[kind].tokens -= size
        return True

    def largest(self, kind: RequestClass) -> int:
        """Return how many bytes may go at once at the most."""
        return int(self._burst(kind))

    def _burst(self, kind: RequestClass) -> float:
        return self._rate * self._fractions[kind] * BURST_S

    def _refill(self, now_s: float) -> None:
        grown = max(0.0, now_s - self._at_s) * self._rate
        self._at_s = max(self._at_s, now_s)
        spare = sum(
            self._add(kind, grown * fraction)
            for kind, fraction in self._fractions.items()
        )
        for kind in self._fractions:
            spare = self._add(kind, spare)

    def _add(self, kind: RequestClass, size: float) -> float:
        """Add tokens to a class; return what its burst has no room for."""
        part = self._parts[kind]
        room = max(0.0, self._burst(kind) - part.tokens)
        taken = min(size, room)
        part.tokens += taken
        return size - taken


class LinkDemand:
    """Work out how much of a link a VM should ask for."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._asked = 0.0

    def note(self, size: int) -> None:
        """Count bytes that were to be sent, whether or not they went."""
        self._asked += size

    def wanted(self, elapsed_s: float) -> float:
        """Return the bytes a second to ask for; begin to count anew."""
        rate = self._asked / elapsed_s if elapsed_s > 0 else 0.0
        self._asked = 0.0
        least = self._capacity * LEAST_DEMAND_PART
        return min(self._capacity, max(least, rate * DEMAND_MARGIN))
