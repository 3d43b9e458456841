"""Token buckets over the part of a budget that one VM may spend."""

import msgspec


class BucketShare(msgspec.Struct, frozen=True):
    """Bound one VM's part of a budget: tokens a second, and at once."""

    rate_per_s: float
    burst: float


class TokenBucket:
    """Spend tokens of a share; starts empty, so a restart adds none."""

    def __init__(self, share: BucketShare, now_s: float) -> None:
        self._share = share
        self._tokens = 0.0
        self._at_s = now_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = max(self._at_s, now_s)
        grown = self._tokens + elapsed_s * self._share.rate_per_s
        self._tokens = min(grown, self._share.burst)

    def resize(self, share: BucketShare, now_s: float) -> None:
        """Change the share; tokens above the new burst are lost."""
        self._refill(now_s)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def wait_s(self, now_s: float) -> float:
        """Return how long until a token is there; 0 when one is."""
        self._refill(now_s)
        if self._tokens >= 1.0:
            return 0.0
        if self._share.rate_per_s <= 0 or self._share.burst < 1.0:
            return float("inf")
        return (1.0 - self._tokens) / self._share.rate_per_s

    def spend(self, now_s: float) -> bool:
        """Take one token if there is one."""
        if self.wait_s(now_s) > 0.0:
            return False
        self._tokens -= 1.0
        return True

    def debit(self, tokens: float, now_s: float) -> None:
        """Take tokens that another has spent, down to any debt."""
        self._refill(now_s)
        self._tokens -= tokens
