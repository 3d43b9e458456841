"""Limit the requests that are sent to cold targets: pure.

A target that has just started can serve only a few requests per second. If
every entry VM sent to it, they would overload it. For each cold target,
rendezvous hashing selects a few entry VMs near it, and each of these uses its
fraction of the target's rate.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from wigeonford.messages.steering import EntryStatus
from wigeonford.steer._homes import rank_score
from wigeonford.steer._target_records import TargetRecord

VMS_PER_COLD_TARGET: Final = 2
"""Entry VMs that may send to one cold target."""
SELECTION_CACHE_S: Final = 0.5
"""Less than the time for which a control replica holds a watch of the
roster."""
USED_RATE_FRACTION: Final = 0.8
"""Fraction of the rate that is used: entry VMs may see different rosters, so
more of them may send than intended."""


def select_cold_senders(
    record: TargetRecord, entries: Collection[EntryStatus]
) -> list[str]:
    """Return the names of the entry VMs that may send to a cold target."""
    ready = [status for status in entries if status.is_ready]
    nearby = [status for status in ready if status.region == record.region]
    ranked = sorted(
        nearby or ready,
        key=lambda status: (
            status.availability_zone == record.zone,
            rank_score(record.target_id, status.name),
        ),
        reverse=True,
    )
    return [status.name for status in ranked[:VMS_PER_COLD_TARGET]]


class ColdSenders:
    """Cache which entry VMs may send to which cold target.

    Each request checks every cold target near it, and ranking the entry VMs of
    a large fleet takes a tenth of a millisecond.
    """

    def __init__(
        self, entries: Callable[[], Mapping[str, EntryStatus]]
    ) -> None:
        self._entries = entries
        self._selected: dict[str, frozenset[str]] = {}
        self._until_s = float("-inf")

    def may_send(self, name: str, record: TargetRecord, now_s: float) -> bool:
        """Return whether an entry VM may send to a cold target."""
        if now_s >= self._until_s:
            self._selected.clear()
            self._until_s = now_s + SELECTION_CACHE_S
        names = self._selected.get(record.target_id)
        if names is None:
            names = frozenset(
                select_cold_senders(record, self._entries().values())
            )
            self._selected[record.target_id] = names
        return name in names


class ColdRateLimiter:
    """Limit the rate at which this entry VM sends to cold targets.

    A token bucket starts empty and holds one token at most, so that all entry
    VMs together stay below the rate in its first second too.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, tuple[float, float]] = {}

    def may_send(
        self, target_id: str, rate_per_s: float, now_s: float
    ) -> bool:
        """Return whether a request may be sent; `spend` takes the token."""
        if target_id not in self._buckets:
            self._buckets[target_id] = (0.0, now_s)
            return False
        return self._refill(target_id, rate_per_s, now_s) >= 1.0

    def spend(self, target_id: str) -> None:
        """Take a token for a request that is sent."""
        tokens, at_s = self._buckets.get(target_id, (0.0, 0.0))
        self._buckets[target_id] = (tokens - 1.0, at_s)

    def remove(self, target_ids: Iterable[str]) -> None:
        """Drop the token buckets of targets that are gone."""
        for target_id in target_ids:
            self._buckets.pop(target_id, None)

    def _refill(
        self, target_id: str, rate_per_s: float, now_s: float
    ) -> float:
        tokens, at_s = self._buckets[target_id]
        rate = rate_per_s * USED_RATE_FRACTION / VMS_PER_COLD_TARGET
        tokens = min(1.0, tokens + (now_s - at_s) * rate)
        self._buckets[target_id] = (tokens, now_s)
        return tokens
