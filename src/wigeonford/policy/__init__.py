"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

from wigeonford.policy._ejection import Ejection
from wigeonford.policy._leases import (
    fair_part,
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.policy._limits import BucketShare, TokenBucket
from wigeonford.policy._ownership import owner_of
from wigeonford.policy._quarantine import Quarantine, request_fingerprint
from wigeonford.policy._retry import (
    AttemptBudget,
    HEDGE_PART,
    HEDGE_RESERVE,
    LatencyWindow,
    RETRY_PART,
    RETRY_RESERVE,
)
from wigeonford.policy._selection import Candidate, choose_target
from wigeonford.policy._shift import ShiftCounter
from wigeonford.policy._slot_book import SLOT_TERM_S, SlotBook
from wigeonford.policy._slot_holder import SlotHolder
from wigeonford.policy._slot_parts import divide_slots
from wigeonford.policy._slot_types import (
    slot_pool,
    SlotAnswer,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRow,
    SlotWant,
    TargetOffer,
)

__all__ = [
    "HEDGE_PART",
    "HEDGE_RESERVE",
    "RETRY_PART",
    "RETRY_RESERVE",
    "SLOT_TERM_S",
    "AttemptBudget",
    "BucketShare",
    "Candidate",
    "Ejection",
    "LatencyWindow",
    "LeaseGrant",
    "LeaseGrantor",
    "LeaseHolder",
    "LeaseRequest",
    "Quarantine",
    "ShiftCounter",
    "SlotAnswer",
    "SlotAsk",
    "SlotBook",
    "SlotGrant",
    "SlotHeld",
    "SlotHolder",
    "SlotRow",
    "SlotWant",
    "TargetOffer",
    "TokenBucket",
    "choose_target",
    "divide_slots",
    "fair_part",
    "owner_of",
    "request_fingerprint",
    "slot_pool",
]
