"""Requests and grants for the leased budget of a client account."""

from typing import Final

import msgspec

from wigeonford.leases._token_pool import BucketLimits

QUOTA_UNITS: Final = 1_000_000
QUOTA_TERM_S: Final = 6.0
REPORT_INTERVAL_S: Final = 1.0
LOAN_LIFETIME_S: Final = 0.6
DISPATCH_JITTER_S: Final = 0.15
CLOCK_DRIFT: Final = 0.0005
DEMAND_MARGIN: Final = 1.15


def leased_budget(rate_per_s: float, burst: float) -> BucketLimits:
    """Return a budget reduced for dispatch jitter and clock drift.

    A target receives a request up to `DISPATCH_JITTER_S` after its token was
    spent, so a time window at the targets covers a period of spending that is
    longer by the jitter. The rate is lower by the fraction by which the
    clocks of VMs may run too fast.
    """
    jitter_tokens = rate_per_s * DISPATCH_JITTER_S
    kept_rate_per_s = rate_per_s * (1 - CLOCK_DRIFT)
    if burst - jitter_tokens >= 1.0:
        return BucketLimits(kept_rate_per_s, burst - jitter_tokens)
    # With a burst of one, tokens are spaced further apart by the jitter.
    return BucketLimits(kept_rate_per_s / (1 + jitter_tokens), 1.0)


class QuotaRequest(msgspec.Struct, frozen=True):
    """Request a quota fraction of a budget and a loan of whole tokens.

    `held` and `wanted` are in `QUOTA_UNITS`, `need` is the loan in tokens.
    `spare` is how many tokens this holder could lend; `returned` are tokens
    above the capacity of a quota fraction that was reduced.
    """

    number: int
    held: int
    wanted: int
    spare: int
    returned: float
    need: int


class QuotaGrant(msgspec.Struct, frozen=True):
    """Grant a quota fraction in `QUOTA_UNITS`, its tokens and a loan.

    A budget is scarce if its holders want more than all of it and none has
    tokens to lend. `lenders` are holders to ask for a loan.
    """

    number: int
    units: int
    tokens: float = 0.0
    loan: int = 0
    scarce: bool = False
    lenders: tuple[str, ...] = ()


class LoanGrant(msgspec.Struct, frozen=True):
    """Lend a peer whole tokens that are usable for `lifetime_s`."""

    tokens: int
    lifetime_s: float
