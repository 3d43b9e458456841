"""Select few entry VMs to send to a target, and limit their rate: pure.

A target that accepts only few requests per second is overloaded if every
entry VM sends to it. An even share of its rate for each would be less than
one request within seconds, and rounding it up would exceed the rate. So
rendezvous hashing selects a few entry VMs near it.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

import msgspec

from wigeonford.messages.steering import EntryStatus
from wigeonford.steer._homes import rank_score
from wigeonford.steer._target_records import TargetRecord

SELECTION_CACHE_S: Final = 0.5
"""Less than the time for which a control replica holds a watch of the
roster."""


def rank_senders(
    record: TargetRecord,
    entries: Collection[EntryStatus],
    *,
    far: bool = False,
) -> list[str]:
    """Return the entry VMs that may send to a target, the first one first.

    They are those of its region that are ready, or else all that are ready.
    With `far`, they are those that are ready in other regions.
    """
    ready = [status for status in entries if status.is_ready]
    near = [status for status in ready if status.region == record.region]
    distant = [status for status in ready if status.region != record.region]
    if not near:
        near, distant = distant, []
    ranked = sorted(
        distant if far else near,
        key=lambda status: (
            status.availability_zone == record.zone,
            rank_score(record.target_id, status.name),
        ),
        reverse=True,
    )
    return [status.name for status in ranked]


class SenderRanking:
    """Cache the ranking of the entry VMs for each target.

    Each request checks every such target near it, and ranking the entry VMs
    of a large fleet takes a tenth of a millisecond.
    """

    def __init__(
        self, entries: Callable[[], Mapping[str, EntryStatus]]
    ) -> None:
        self._entries = entries
        self._rankings: dict[tuple[str, bool], dict[str, int]] = {}
        self._until_s = float("-inf")

    def ranks(
        self, record: TargetRecord, now_s: float, *, far: bool = False
    ) -> Mapping[str, int]:
        """Return the rank of each entry VM by name, from 0.

        With `far`, rank those of other regions than the target's.
        """
        if now_s >= self._until_s:
            self._rankings.clear()
            self._until_s = now_s + SELECTION_CACHE_S
        key = (record.target_id, far)
        ranks = self._rankings.get(key)
        if ranks is None:
            names = rank_senders(record, self._entries().values(), far=far)
            ranks = {name: rank for rank, name in enumerate(names)}
            self._rankings[key] = ranks
        return ranks


class _Bucket(msgspec.Struct):
    """Hold tokens; `ready_since_s` is since when there is a whole one."""

    tokens: float
    at_s: float
    ready_since_s: float = float("inf")


class TargetBuckets:
    """Hold a token bucket for each target.

    A bucket starts empty and holds `max_tokens` at most, so that the buckets
    of all senders together stay below the rate in the first second too.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def has_token(
        self,
        target_id: str,
        rate_per_s: float,
        now_s: float,
        max_tokens: float = 1.0,
    ) -> bool:
        """Return whether a request may be sent; `spend` takes the token."""
        bucket = self._refill(target_id, rate_per_s, now_s, max_tokens)
        return bucket.tokens >= 1.0

    def idle_s(self, target_id: str, now_s: float) -> float:
        """Return for how long a token has been waiting, 0 without one."""
        bucket = self._buckets.get(target_id)
        return max(0.0, now_s - bucket.ready_since_s) if bucket else 0.0

    def wait_s(self, target_id: str, rate_per_s: float, now_s: float) -> float:
        """Return how long until there is a token."""
        bucket = self._buckets.get(target_id)
        if bucket is None:
            return 1.0 / rate_per_s
        tokens = bucket.tokens + (now_s - bucket.at_s) * rate_per_s
        return max(0.0, 1.0 - tokens) / rate_per_s

    def spend(self, target_id: str) -> None:
        """Take a token for a request that is sent."""
        bucket = self._buckets.get(target_id)
        if bucket is not None:
            bucket.tokens -= 1.0
            if bucket.tokens < 1.0:
                bucket.ready_since_s = float("inf")

    def remove(self, target_ids: Iterable[str]) -> None:
        """Drop the token buckets of some targets."""
        for target_id in target_ids:
            self._buckets.pop(target_id, None)

    def _refill(
        self,
        target_id: str,
        rate_per_s: float,
        now_s: float,
        max_tokens: float,
    ) -> _Bucket:
        bucket = self._buckets.get(target_id)
        if bucket is None:
            bucket = self._buckets[target_id] = _Bucket(0.0, now_s)
        tokens = bucket.tokens + (now_s - bucket.at_s) * rate_per_s
        if bucket.tokens < 1.0 <= tokens:
            bucket.ready_since_s = now_s - (tokens - 1.0) / rate_per_s
        bucket.tokens = min(max_tokens, tokens)
        bucket.at_s = now_s
        return bucket
