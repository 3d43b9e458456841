"""Token buckets, and the pool of the unleased fraction of an account's rate.

The tokens of the pool are lent. It serves fleets of many entry VMs and
accounts, in which each VM receives requests of an account only now and then.
The quota fraction that a VM could lease of such a rate is less than a token,
so its requests would be rejected although the rate is not used up.
"""

from typing import Final

import msgspec

HALF_POOLED_PER_S: Final = 1.0
"""Requests per second at each entry VM at which half of a rate is pooled; a
VM with fewer can't measure its demand between two renewals of a lease."""
ALL_POOLED_PER_S: Final = 2.0
"""Requests per second at each entry VM below which a large fleet pools all of
a rate: leased fractions would hold one or two tokens and be idle half of the
time."""
MAX_SMALL_FLEET: Final = 24
"""Entry VMs up to which their fractions of the burst make up for that."""


class BucketLimits(msgspec.Struct, frozen=True):
    """Rate and burst of one VM's token bucket; the burst is in tokens."""

    rate_per_s: float
    burst: float


class TokenBucket:
    """Spend tokens within a rate.

    The bucket starts empty, so that a restart grants no extra tokens.
    """

    def __init__(self, limits: BucketLimits, now_s: float) -> None:
        self._limits = limits
        self._tokens = 0.0
        self._refilled_at_s = now_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = max(self._refilled_at_s, now_s)
        refilled = self._tokens + elapsed_s * self._limits.rate_per_s
        self._tokens = min(refilled, self._limits.burst)

    def resize(self, limits: BucketLimits, now_s: float) -> None:
        """Change rate and burst; tokens above the new burst are lost."""
        self._refill(now_s)
        self._limits = limits
        self._tokens = min(self._tokens, limits.burst)

    def wait_s(self, now_s: float) -> float:
        """Return the time until a token can be spent.

        It is 0 if one is available now.
        """
        self._refill(now_s)
        if self._tokens >= 1.0:
            return 0.0
        if self._limits.rate_per_s <= 0 or self._limits.burst < 1.0:
            return float("inf")
        return (1.0 - self._tokens) / self._limits.rate_per_s

    def spend(self, now_s: float) -> bool:
        """Spend a token; return False if there is none."""
        if self.wait_s(now_s) > 0.0:
            return False
        self._tokens -= 1.0
        return True

    def debit(self, tokens: float, now_s: float) -> None:
        """Subtract tokens spent elsewhere; the balance may become negative."""
        self._refill(now_s)
        self._tokens -= tokens


def pooled_fraction(rate_per_s: float, holders: int) -> float:
    """Return the least fraction of a rate that is kept for the pool.

    A leader that does not yet know the leases of its predecessor may lend
    this much, because no leader leases it.
    """
    per_holder_per_s = rate_per_s / max(1, holders)
    if holders > MAX_SMALL_FLEET and per_holder_per_s < ALL_POOLED_PER_S:
        return 1.0
    return HALF_POOLED_PER_S / (HALF_POOLED_PER_S + per_holder_per_s)


class TokenPool:
    """Lend whole tokens of one account's rate; starts empty."""

    def __init__(self, now_s: float) -> None:
        self._bucket = TokenBucket(BucketLimits(0.0, 0.0), now_s)

    def resize(
        self, rate_per_s: float, burst: float, fraction: float, now_s: float
    ) -> None:
        """Apply an account's rate and burst and the pooled fraction."""
        limits = BucketLimits(
            rate_per_s * fraction, max(1.0, burst * fraction)
        )
        self._bucket.resize(limits, now_s)

    def lend(self, tokens: int, now_s: float) -> tuple[int, float]:
        """Return the tokens lent, and the seconds until the next one."""
        lent = 0
        while lent < tokens and self._bucket.spend(now_s):
            lent += 1
        return lent, self._bucket.wait_s(now_s)
