"""The remaining cold-start times of targets, by this replica's clock."""

from collections.abc import Callable, Iterable
import time

from wigeonford.deployment import Announcement


class ColdClock:
    """Count down the cold-start times that announcements state.

    A time starts when this replica first saw the announcement, so that it
    never ends too early.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._until_s: dict[tuple[str, int, int], float] = {}

    def remaining_s(self, announcement: Announcement) -> float:
        """Return how long a target stays cold, in seconds."""
        if announcement.cold_s <= 0:
            return 0.0
        key = (
            announcement.target_id,
            announcement.born_ms,
            announcement.sequence,
        )
        now_s = self._clock()
        until_s = self._until_s.setdefault(key, now_s + announcement.cold_s)
        return max(0.0, until_s - now_s)

    def retain_only(self, live: Iterable[Announcement]) -> None:
        """Drop the times of all announcements except the given ones."""
        keys = {
            (
                announcement.target_id,
                announcement.born_ms,
                announcement.sequence,
            )
            for announcement in live
        }
        for key in self._until_s.keys() - keys:
            del self._until_s[key]
