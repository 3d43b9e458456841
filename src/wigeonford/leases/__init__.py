"""Leases, pools and budgets that several processes share: pure."""

from wigeonford.leases._attempt_budget import AttemptBudget
from wigeonford.leases._demand import Demand
from wigeonford.leases._leases import (
    fair_part,
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.leases._limits import BucketShare, TokenBucket
from wigeonford.leases._token_pool import pooled_part, TokenPool

__all__ = [
    "AttemptBudget",
    "BucketShare",
    "Demand",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "TokenBucket",
    "TokenPool",
    "fair_part",
    "pooled_part",
]
