"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

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
from wigeonford.policy._shift import ShiftCounter
from wigeonford.policy._spill import admits_remote, SpillWindows

__all__ = [
    "BucketShare",
    "Candidate",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "LinkDemand",
    "LinkShare",
    "ShiftCounter",
    "SpillWindows",
    "TokenBucket",
    "admits_remote",
    "choose_target",
    "fair_part",
]
