"""Limit the requests that are sent to cold targets: pure.

A target that has just started can serve only a few requests per second. A few
entry VMs near it send to it, and each uses its fraction of the target's rate.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from wigeonford.messages.steering import EntryStatus
from wigeonford.steer._senders import (
    rank_senders,
    SenderRanking,
    TargetBuckets,
)
from wigeonford.steer._target_records import TargetRecord

VMS_PER_COLD_TARGET: Final = 2
"""Entry VMs that may send to one cold target."""
USED_RATE_FRACTION: Final = 0.8
"""Fraction of the rate that is used: entry VMs may see different rosters, so
more of them may send than intended."""


def select_cold_senders(
    record: TargetRecord, entries: Collection[EntryStatus]
) -> list[str]:
    """Return the names of the entry VMs that may send to a cold target."""
    return rank_senders(record, entries)[:VMS_PER_COLD_TARGET]


class ColdSenders:
    """Tell which entry VMs may send to which cold target."""

    def __init__(
        self, entries: Callable[[], Mapping[str, EntryStatus]]
    ) -> None:
        self._ranking = SenderRanking(entries)

    def may_send(self, name: str, record: TargetRecord, now_s: float) -> bool:
        """Return whether an entry VM may send to a cold target."""
        rank = self._ranking.ranks(record, now_s).get(name)
        return rank is not None and rank < VMS_PER_COLD_TARGET


class ColdRateLimiter:
    """Limit the rate at which this entry VM sends to cold targets."""

    def __init__(self) -> None:
        self._buckets = TargetBuckets()

    def may_send(
        self, target_id: str, rate_per_s: float, now_s: float
    ) -> bool:
        """Return whether a request may be sent; `spend` takes the token."""
        own_rate_per_s = rate_per_s * USED_RATE_FRACTION / VMS_PER_COLD_TARGET
        return self._buckets.has_token(target_id, own_rate_per_s, now_s)

    def spend(self, target_id: str) -> None:
        """Take a token for a request that is sent."""
        self._buckets.spend(target_id)

    def remove(self, target_ids: Iterable[str]) -> None:
        """Drop the token buckets of targets that are gone."""
        self._buckets.remove(target_ids)
