"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

from wigeonford.policy._leases import (
    fair_part,
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.policy._limits import BucketShare, TokenBucket
from wigeonford.policy._ownership import owner_of
from wigeonford.policy._selection import Candidate, choose_target
from wigeonford.policy._shift import ShiftCounter
from wigeonford.policy._slot_book import divide_slots, SLOT_TERM_S, SlotBook
from wigeonford.policy._slot_holder import SlotHolder
from wigeonford.policy._slot_types import (
    slot_pool,
    SlotAnswer,
    SlotAsk,
    SlotGrant,
    SlotRow,
    SlotWant,
    TargetOffer,
)

__all__ = [
    "SLOT_TERM_S",
    "BucketShare",
    "Candidate",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "ShiftCounter",
    "SlotAnswer",
    "SlotAsk",
    "SlotBook",
    "SlotGrant",
    "SlotHolder",
    "SlotRow",
    "SlotWant",
    "TargetOffer",
    "TokenBucket",
    "choose_target",
    "divide_slots",
    "fair_part",
    "owner_of",
    "slot_pool",
]
