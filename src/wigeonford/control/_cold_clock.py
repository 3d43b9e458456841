"""How long targets stay cold, by this replica's clock."""

from collections.abc import Callable, Iterable
import time

from wigeonford.deployment import Announcement


class ColdClock:
    """Count down the cold times that announcements state.

    A time counts from when this replica first saw the announcement, so it
    never ends early.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._until_s: dict[tuple[str, int, int], float] = {}

    def left_s(self, said: Announcement) -> float:
        """Return how long a target still stays cold."""
        if said.cold_s <= 0:
            return 0.0
        key = (said.target_id, said.born_ms, said.sequence)
        now_s = self._clock()
        until_s = self._until_s.setdefault(key, now_s + said.cold_s)
        return max(0.0, until_s - now_s)

    def forget_others(self, live: Iterable[Announcement]) -> None:
        """Drop what is kept of announcements that are out of date."""
        keys = {(said.target_id, said.born_ms, said.sequence) for said in live}
        for key in self._until_s.keys() - keys:
            del self._until_s[key]
