"""Token bucket over the part of a budget that one VM may spend."""

import msgspec


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
