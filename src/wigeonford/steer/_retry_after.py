"""When a rejected caller should retry: pure.

If the targets of a service get more requests than they can serve for some
seconds, rejected callers that retried at the same time would be rejected
again. So each one gets a time with a random offset.
"""

from collections.abc import Iterable, Mapping
import random
from types import MappingProxyType
from typing import Final

from wigeonford.steer._target_records import TargetRecord

MIN_RETRY_AFTER_S: Final = 0.15
"""A slot is unlikely to become free sooner."""
MAX_RETRY_AFTER_S: Final = 1.2
"""A third of callers' time limits; callers ignore longer times."""
JITTER_FRACTION: Final = 0.5
"""Largest random change of the time, as a fraction of it, in both
directions."""
NO_LIMITS: Final[Mapping[str, float]] = MappingProxyType({})


def capacity_wait_s(
    records: Iterable[TargetRecord],
    duration_s: float,
    now_s: float,
    limit_waits_s: Mapping[str, float] = NO_LIMITS,
) -> float:
    """Return how long until the first of some targets has free capacity.

    `limit_waits_s` are the times until the limited targets accept a request,
    by target id. These targets count only if there are no others, since one
    request uses up what they accept for a while.
    """
    reachable = [record for record in records if not record.is_down(now_s)]
    unlimited = [
        record for record in reachable if record.target_id not in limit_waits_s
    ]
    waits = [
        max(
            record.paused_until_s - now_s,
            max(0.0, record.load(now_s) + 1 - record.announced.slots)
            * duration_s
            / max(1, record.announced.slots),
            limit_waits_s.get(record.target_id, 0.0),
        )
        for record in unlimited or reachable
    ]
    return min(waits, default=MAX_RETRY_AFTER_S)


def retry_after_s(wait_s: float, rng: random.Random) -> float:
    """Return after how long a caller should retry, in seconds."""
    jitter = rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s * jitter))
