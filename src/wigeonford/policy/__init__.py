"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

from wigeonford.policy._budgets import (
    AccountShare,
    BudgetGrantor,
    DISPATCH_JITTER_S,
    leased_budget,
    LoanGrant,
    REPORT_INTERVAL_S,
    SHARE_UNITS,
    ShareGrant,
    ShareRequest,
    TERM_S,
)
from wigeonford.policy._fair_queue import FairQueue
from wigeonford.policy._leases import (
    fair_part,
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.policy._limits import BucketShare, TokenBucket
from wigeonford.policy._links import LinkDemand, LinkShare
from wigeonford.policy._selection import Candidate, choose_target
from wigeonford.policy._share_bucket import ShareBucket
from wigeonford.policy._shift import ShiftCounter
from wigeonford.policy._spill import admits_remote, SpillWindows
from wigeonford.policy._token_queue import TokenQueue, Verdict

__all__ = [
    "AccountShare",
    "BucketShare",
    "BudgetGrantor",
    "Candidate",
    "DISPATCH_JITTER_S",
    "FairQueue",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "LinkDemand",
    "LinkShare",
    "LoanGrant",
    "REPORT_INTERVAL_S",
    "SHARE_UNITS",
    "ShareBucket",
    "ShareGrant",
    "ShareRequest",
    "ShiftCounter",
    "SpillWindows",
    "TERM_S",
    "TokenBucket",
    "TokenQueue",
    "Verdict",
    "admits_remote",
    "choose_target",
    "fair_part",
    "leased_budget",
]
