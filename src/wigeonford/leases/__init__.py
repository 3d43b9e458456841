"""Leases, token pools and budgets, without I/O or clocks."""

from wigeonford.leases._attempt_budget import AttemptBudget
from wigeonford.leases._demand import Demand
from wigeonford.leases._leases import (
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
    max_min_fair_amount,
)
from wigeonford.leases._token_pool import (
    BucketLimits,
    pooled_fraction,
    TokenBucket,
    TokenPool,
)

__all__ = [
    "AttemptBudget",
    "BucketLimits",
    "Demand",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "TokenBucket",
    "TokenPool",
    "max_min_fair_amount",
    "pooled_fraction",
]
