"""The part of a client account's rate that is not leased, lent by the token.

The load that this answers: many entry VMs and accounts that each of them
hears of only now and then. A leased part of such a rate is less than a
token, so it would be refused while the rate is free.
"""

from typing import Final

from wigeonford.leases._limits import BucketShare, TokenBucket

EVEN_PER_S: Final = 1.0
"""Requests a second at each entry VM at which half of a rate is pooled; a
VM that has fewer can't tell its demand within a lease's renewal."""
IDLE_PER_S: Final = 2.0
"""The same, below which a large fleet pools all of a rate: leased parts
would hold a token or two and stand idle half of the time."""
FEW_HOLDERS: Final = 24
"""Entry VMs up to which their parts of the burst make up for that."""


def pooled_part(rate_per_s: float, holders: int) -> float:
    """Return the least part of a rate that is kept for the pool, 0 to 1.

    A leader that does not know yet what its predecessor has leased may
    lend this much, since no leader leases it.
    """
    even_per_s = rate_per_s / max(1, holders)
    if holders > FEW_HOLDERS and even_per_s < IDLE_PER_S:
        return 1.0
    return EVEN_PER_S / (EVEN_PER_S + even_per_s)


class TokenPool:
    """Lend whole tokens of one account's rate; starts empty."""

    def __init__(self, now_s: float) -> None:
        self._bucket = TokenBucket(BucketShare(0.0, 0.0), now_s)

    def resize(
        self, rate_per_s: float, burst: float, part: float, now_s: float
    ) -> None:
        """Take over an account's rate and the part that is pooled."""
        share = BucketShare(rate_per_s * part, max(1.0, burst * part))
        self._bucket.resize(share, now_s)

    def lend(self, tokens: int, now_s: float) -> tuple[int, float]:
        """Return the tokens lent, and in how many seconds one is there."""
        lent = 0
        while lent < tokens and self._bucket.spend(now_s):
            lent += 1
        return lent, self._bucket.wait_s(now_s)
