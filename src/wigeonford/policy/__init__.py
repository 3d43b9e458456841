"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

from wigeonford.policy._account_share import AccountShare
from wigeonford.policy._budget_grantor import BudgetGrantor
from wigeonford.policy._budgets import (
    DISPATCH_JITTER_S,
    leased_budget,
    LoanGrant,
    REPORT_INTERVAL_S,
    SHARE_UNITS,
    ShareGrant,
    ShareRequest,
    TERM_S,
)
from wigeonford.policy._ejection import Ejection
from wigeonford.policy._fair_queue import FairQueue
from wigeonford.policy._links import LinkDemand, LinkShare
from wigeonford.policy._ownership import owner_of
from wigeonford.policy._quarantine import Quarantine, request_fingerprint
from wigeonford.policy._retry import (
    HEDGE_PART,
    HEDGE_RESERVE,
    LatencyWindow,
    RETRY_PART,
    RETRY_RESERVE,
)
from wigeonford.policy._selection import Candidate, choose_target
from wigeonford.policy._share_bucket import QuotaBucket
from wigeonford.policy._shift import ShiftCounter
from wigeonford.policy._slot_division import divide_slots
from wigeonford.policy._slot_grantor import SLOT_TERM_S, SlotBook
from wigeonford.policy._slot_holder import SlotHolder
from wigeonford.policy._slot_types import (
    slot_pool,
    SlotAnswer,
    SlotAsk,
    SlotDemand,
    SlotGrant,
    SlotHeld,
    SlotRow,
    TargetOffer,
)
from wigeonford.policy._spill import admits_remote, SpillWindows
from wigeonford.policy._token_queue import TokenQueue, Verdict

__all__ = [
    "AccountShare",
    "BudgetGrantor",
    "Candidate",
    "DISPATCH_JITTER_S",
    "Ejection",
    "FairQueue",
    "HEDGE_PART",
    "HEDGE_RESERVE",
    "LatencyWindow",
    "LinkDemand",
    "LinkShare",
    "LoanGrant",
    "Quarantine",
    "REPORT_INTERVAL_S",
    "RETRY_PART",
    "RETRY_RESERVE",
    "SHARE_UNITS",
    "SLOT_TERM_S",
    "QuotaBucket",
    "ShareGrant",
    "ShareRequest",
    "ShiftCounter",
    "SlotAnswer",
    "SlotAsk",
    "SlotBook",
    "SlotGrant",
    "SlotHeld",
    "SlotHolder",
    "SlotRow",
    "SlotDemand",
    "SpillWindows",
    "TERM_S",
    "TargetOffer",
    "TokenQueue",
    "Verdict",
    "admits_remote",
    "choose_target",
    "divide_slots",
    "leased_budget",
    "owner_of",
    "request_fingerprint",
    "slot_pool",
]
