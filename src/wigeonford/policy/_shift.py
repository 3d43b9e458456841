"""Deterministic split of requests between the old and the new side."""

from dataclasses import dataclass

from wigeonford.model import Share, Side


@dataclass(slots=True)
class ShiftCounter:
    """Count one VM's requests of a service; at its cap at every prefix.

    The new side gets a request only while its count, that one included,
    stays at or under `part` times all requests so far.
    """

    total: int = 0
    new: int = 0

    def next_side(self, share: Share) -> Side:
        """Count a request and return the side that it goes to."""
        part = 0.0 if share.paused else min(share.part, share.cap)
        self.total += 1
        if self.new + 1 <= part * self.total:
            self.new += 1
            return Side.NEW
        return Side.OLD
