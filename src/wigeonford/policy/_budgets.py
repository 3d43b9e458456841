"""What is said between the grantor of a budget and its holders."""

from typing import Final

import msgspec

from wigeonford.leases._limits import BucketShare

SHARE_UNITS: Final = 1_000_000
TERM_S: Final = 6.0
REPORT_INTERVAL_S: Final = 1.0
LOAN_S: Final = 0.6
DISPATCH_JITTER_S: Final = 0.15
CLOCK_DRIFT: Final = 0.0005
HEADROOM: Final = 1.15


def leased_budget(rate_per_s: float, burst: float) -> BucketShare:
    """Return a budget less what may reach targets late.

    A target sees a request up to `DISPATCH_JITTER_S` after its token was
    spent, so a window at the targets holds that much more of spending. The
    rate is lower by what VMs' clocks may run too fast.
    """
    late = rate_per_s * DISPATCH_JITTER_S
    kept_rate_per_s = rate_per_s * (1 - CLOCK_DRIFT)
    if burst - late >= 1.0:
        return BucketShare(kept_rate_per_s, burst - late)
    # Single tokens stay in time when they are further apart by the jitter.
    return BucketShare(kept_rate_per_s / (1 + late), 1.0)


class ShareRequest(msgspec.Struct, frozen=True):
    """Ask for millionths of a budget, and for a loan of whole tokens.

    `spare` tells the grantor what could be borrowed here; `returned` are
    tokens that a smaller share had no room for.
    """

    number: int
    held: int
    wanted: int
    spare: int
    returned: float
    need: int


class ShareGrant(msgspec.Struct, frozen=True):
    """Answer a request: millionths, tokens that come with them, a loan.

    A scarce budget is one of which holders want more than there is.
    """

    number: int
    units: int
    tokens: float = 0.0
    loan: int = 0
    scarce: bool = False
    lenders: tuple[str, ...] = ()


class LoanGrant(msgspec.Struct, frozen=True):
    """Answer a peer: whole tokens, usable for `lifetime_s`."""

    tokens: int
    lifetime_s: float
