"""Pure decisions: limits, selection and shifts, without I/O or clocks."""

from wigeonford.policy._account_quota import AccountQuota
from wigeonford.policy._budget_grantor import BudgetGrantor
from wigeonford.policy._budgets import (
    DISPATCH_JITTER_S,
    leased_budget,
    LoanGrant,
    QUOTA_TERM_S,
    QUOTA_UNITS,
    QuotaGrant,
    QuotaRequest,
    REPORT_INTERVAL_S,
)
from wigeonford.policy._ejection import OutlierEjector
from wigeonford.policy._fair_queue import FairQueue
from wigeonford.policy._links import LinkDemand, LinkQuota
from wigeonford.policy._ownership import owner_of
from wigeonford.policy._quota_bucket import QuotaBucket
from wigeonford.policy._retry import (
    HEDGE_FRACTION,
    HEDGE_RESERVE,
    LatencyWindow,
    RETRY_FRACTION,
    RETRY_RESERVE,
)
from wigeonford.policy._selection import Candidate, choose_target
from wigeonford.policy._shift import ShiftCounter
from wigeonford.policy._slot_division import divide_slots
from wigeonford.policy._slot_grantor import SLOT_TERM_S, SlotGrantor
from wigeonford.policy._slot_holder import SlotHolder
from wigeonford.policy._slot_types import (
    slot_pool,
    SlotDemand,
    SlotGrant,
    SlotHeld,
    SlotReply,
    SlotRequest,
    SlotRow,
    TargetOffer,
)
from wigeonford.policy._spill import admits_remote, SpillWindows
from wigeonford.policy._token_queue import (
    MAX_WAIT_S,
    TokenQueue,
    TokenResult,
)

__all__ = [
    "AccountQuota",
    "BudgetGrantor",
    "Candidate",
    "DISPATCH_JITTER_S",
    "OutlierEjector",
    "FairQueue",
    "HEDGE_FRACTION",
    "HEDGE_RESERVE",
    "LatencyWindow",
    "LinkDemand",
    "MAX_WAIT_S",
    "LinkQuota",
    "LoanGrant",
    "REPORT_INTERVAL_S",
    "RETRY_FRACTION",
    "RETRY_RESERVE",
    "QUOTA_UNITS",
    "SLOT_TERM_S",
    "QuotaBucket",
    "QuotaGrant",
    "QuotaRequest",
    "ShiftCounter",
    "SlotReply",
    "SlotRequest",
    "SlotGrantor",
    "SlotGrant",
    "SlotHeld",
    "SlotHolder",
    "SlotRow",
    "SlotDemand",
    "SpillWindows",
    "QUOTA_TERM_S",
    "TargetOffer",
    "TokenQueue",
    "TokenResult",
    "admits_remote",
    "choose_target",
    "divide_slots",
    "leased_budget",
    "owner_of",
    "slot_pool",
]
