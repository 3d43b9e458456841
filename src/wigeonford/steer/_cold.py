"""Few requests for cold targets: pure.

The load that this answers: a target that stands a few requests a second
after its start, while every entry VM would like to warm it up. Of the
entry VMs near it, a few by hash may send to it, each its part of the rate.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from wigeonford.messages.steering import EntryStatus
from wigeonford.steer._homes import rank_score
from wigeonford.steer._target_book import TargetRecord

WARDENS: Final = 2
"""Entry VMs that may send to one cold target."""
KEPT_S: Final = 0.5
"""Less than a watch of the roster is held."""
USED_PART: Final = 0.8
"""Part of the rate that is used, since views of the roster differ."""


def wardens(
    record: TargetRecord, entries: Collection[EntryStatus]
) -> list[str]:
    """Return the names of the entry VMs that may send to a cold target."""
    ready = [status for status in entries if status.ready]
    near = [status for status in ready if status.region == record.region]
    ranked = sorted(
        near or ready,
        key=lambda status: (
            status.availability_zone == record.zone,
            rank_score(record.target_id, status.name),
        ),
        reverse=True,
    )
    return [status.name for status in ranked[:WARDENS]]


class Wardens:
    """Keep for a moment which entry VMs may send to which cold target.

    Each request asks about every cold target near it, and ranking the
    entry VMs of a large fleet takes a tenth of a millisecond.
    """

    def __init__(
        self, entries: Callable[[], Mapping[str, EntryStatus]]
    ) -> None:
        self._entries = entries
        self._kept: dict[str, frozenset[str]] = {}
        self._until_s = float("-inf")

    def may_send(self, name: str, record: TargetRecord, now_s: float) -> bool:
        """Tell whether an entry VM may send to a cold target."""
        if now_s >= self._until_s:
            self._kept.clear()
            self._until_s = now_s + KEPT_S
        names = self._kept.get(record.target_id)
        if names is None:
            names = frozenset(wardens(record, self._entries().values()))
            self._kept[record.target_id] = names
        return name in names


class ColdRates:
    """Meter what this entry VM sends to cold targets.

    A meter starts empty and holds one request at most, so that all entry
    VMs together stay below the rate also in its first second.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[float, float]] = {}

    def may_send(
        self, target_id: str, rate_per_s: float, now_s: float
    ) -> bool:
        """Tell whether a request may be sent now; `spend` takes it."""
        if target_id not in self._credits:
            self._credits[target_id] = (0.0, now_s)
            return False
        return self._refill(target_id, rate_per_s, now_s) >= 1.0

    def spend(self, target_id: str) -> None:
        """Count a request that is sent."""
        credit, at_s = self._credits.get(target_id, (0.0, 0.0))
        self._credits[target_id] = (credit - 1.0, at_s)

    def forget(self, gone: Iterable[str]) -> None:
        """Drop the meters of targets that are gone."""
        for target_id in gone:
            self._credits.pop(target_id, None)

    def _refill(
        self, target_id: str, rate_per_s: float, now_s: float
    ) -> float:
        credit, at_s = self._credits[target_id]
        rate = rate_per_s * USED_PART / WARDENS
        credit = min(1.0, credit + (now_s - at_s) * rate)
        self._credits[target_id] = (credit, now_s)
        return credit
