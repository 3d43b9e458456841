"""Count the entry VMs that share a region's objects."""

from collections.abc import Callable, Mapping
from typing import Final

from wigeonford.messages.steering import EntryStatus

COUNT_EVERY_S: Final = 1.0
"""Entry VMs come and go by the second at most."""


class Neighbours:
    """Count the entry VMs of the own region, now and then."""

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        entries: Callable[[], Mapping[str, EntryStatus]],
        clock: Callable[[], float],
    ) -> None:
        self._status = status
        self._entries = entries
        self._clock = clock
        self._count = 1
        self._until_s = float("-inf")

    def count(self) -> int:
        """Return how many run in the region, this VM among them."""
        now_s = self._clock()
        if now_s >= self._until_s:
            region = self._status().region
            near = sum(
                entry.region == region for entry in self._entries().values()
            )
            self._count = max(1, near)
            self._until_s = now_s + COUNT_EVERY_S
        return self._count
