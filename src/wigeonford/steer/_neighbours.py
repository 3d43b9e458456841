"""Count the entry VMs that serve the objects of a region."""

from collections.abc import Callable, Mapping
from typing import Final

from wigeonford.messages.steering import EntryStatus

COUNT_INTERVAL_S: Final = 1.0
"""Entry VMs start and stop about once a second at most."""


class Neighbours:
    """Count the entry VMs of the own region at intervals."""

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
        """Return how many run in the region, this VM included."""
        now_s = self._clock()
        if now_s >= self._until_s:
            region = self._status().region
            count = sum(
                status.region == region for status in self._entries().values()
            )
            self._count = max(1, count)
            self._until_s = now_s + COUNT_INTERVAL_S
        return self._count
