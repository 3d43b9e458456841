"""Ejection of targets by what was seen of their answers."""

from collections.abc import Collection
from typing import Final

import msgspec

FAILURES: Final = 3
FIRST_EJECTION_S: Final = 1.0
LONGEST_EJECTION_S: Final = 30.0
KEPT_PART: Final = 0.5


class _Seen(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    until_s: float = float("-inf")


class Ejection:
    """Leave out targets that fail in a row, never too many at once."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def succeeded(self, target_id: str) -> None:
        """Record a whole answer."""
        self._seen.pop(target_id, None)

    def failed(
        self, target_id: str, now_s: float, *, dead: bool = False
    ) -> bool:
        """Record a failure; tell whether the target is ejected by it."""
        seen = self._seen.setdefault(target_id, _Seen())
        seen.failures += 1
        if seen.until_s > now_s or not (dead or seen.failures >= FAILURES):
            return False
        wait_s = FIRST_EJECTION_S * 2**seen.ejections
        seen.until_s = now_s + min(LONGEST_EJECTION_S, wait_s)
        seen.ejections += 1
        seen.failures = 0
        return True

    def ejected(self, targets: Collection[str], now_s: float) -> set[str]:
        """Return which of a pool's targets to leave out.

        At least `KEPT_PART` of them stay, those that come back soonest.
        """
        out = [
            target_id
            for target_id in targets
            if target_id in self._seen
            and self._seen[target_id].until_s > now_s
        ]
        most = int(len(targets) * (1 - KEPT_PART))
        out.sort(key=lambda t: (-self._seen[t].until_s, t))
        return set(out[:most])
