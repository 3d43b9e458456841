"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

from wigeonford.policy._leases import (
    fair_part,
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.policy._limits import BucketShare, TokenBucket
from wigeonford.policy._selection import Candidate, choose_target
from wigeonford.policy._shift import ShiftCounter

__all__ = [
    "BucketShare",
    "Candidate",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "ShiftCounter",
    "TokenBucket",
    "choose_target",
    "fair_part",
]
