"""Grantor side of a client account's budget.

A budget is leased in millionths. The fraction that is not leased is a reserve
with its own tokens. When a holder's quota fraction grows, the grantor also
transfers the tokens of the added fraction; it lends tokens of the reserve to
entry VMs that run short.
"""

import math

from wigeonford.leases._leases import LeaseGrantor, LeaseRequest
from wigeonford.leases._token_pool import BucketLimits
from wigeonford.policy._budgets import (
    DEMAND_MARGIN,
    LOAN_LIFETIME_S,
    QUOTA_TERM_S,
    QUOTA_UNITS,
    QuotaGrant,
    QuotaRequest,
)
from wigeonford.policy._quota_bucket import QuotaBucket


class BudgetGrantor:
    """Lease quota fractions of one budget; reserve the remainder."""

    def __init__(
        self,
        budget: BucketLimits,
        now_s: float,
        *,
        takes_over_at_s: float | None = None,
    ) -> None:
        """Fill the reserve from `now_s` on.

        A grantor that takes over from another one passes `takes_over_at_s`;
        it has no reserve until one term after that time, when the leases of
        its predecessor have expired.
        """
        self._budget = budget
        waits_from_s = now_s if takes_over_at_s is None else takes_over_at_s
        self._leases = LeaseGrantor(
            QUOTA_UNITS,
            QUOTA_TERM_S,
            waits_from_s,
            whole_units=True,
            takes_over=takes_over_at_s is not None,
        )
        self._reserve = QuotaBucket(budget, now_s)
        self._spare_tokens: dict[str, int] = {}
        self._resize_reserve(now_s)

    def granted(self, now_s: float) -> float:
        """Return the fraction of the budget that holders may have."""
        return self._leases.granted(now_s) / QUOTA_UNITS

    def reserved(self) -> float:
        """Return the fraction of the budget that is in reserve."""
        return self._reserve.fraction

    def reserve_tokens(self, now_s: float) -> float:
        """Return the tokens in the reserve."""
        return self._reserve.level(now_s)

    def resize(self, budget: BucketLimits, now_s: float) -> None:
        """Apply a changed rate and burst."""
        self._budget = budget
        self._reserve.resize(budget, self._reserve.fraction, now_s)

    def request(
        self, holder: str, request: QuotaRequest, now_s: float
    ) -> QuotaGrant:
        """Process a holder's request and return its grant."""
        self._resize_reserve(now_s)
        known = self._leases.record_of(holder, now_s)
        if known is not None and request.number < known.number:
            return QuotaGrant(request.number, 0)
        lent = self._reserve.lent_fraction(now_s)
        grant = self._leases.request(
            LeaseRequest(holder, request.number, request.held, request.wanted),
            now_s,
            reserved=math.ceil(lent * QUOTA_UNITS),
        )
        if known is not None and request.number > known.number:
            self._reclaim_tokens(known.amount, request, now_s)
        tokens = self._transfer_tokens(grant.amount - request.held, now_s)
        self._resize_reserve(now_s)
        loan = self._reserve.lend(request.need, LOAN_LIFETIME_S, now_s)
        self._spare_tokens[holder] = request.spare
        lenders = self._lenders(holder, now_s)
        wanted = self._leases.wanted(now_s)
        return QuotaGrant(
            request.number,
            int(grant.amount),
            tokens,
            loan,
            wanted > QUOTA_UNITS * DEMAND_MARGIN and not lenders,
            lenders if request.need > loan else (),
        )

    def _resize_reserve(self, now_s: float) -> None:
        """Set the reserve to the fraction that is not granted."""
        free = 0.0
        if self._leases.knows_all_grants(now_s):
            free = max(0.0, 1.0 - self.granted(now_s))
        self._reserve.resize(self._budget, free, now_s)

    def _reclaim_tokens(
        self, known: float, request: QuotaRequest, now_s: float
    ) -> None:
        """Add a fraction that a holder gave up to the reserve."""
        freed = max(0.0, known - request.held) / QUOTA_UNITS
        if not self._leases.knows_all_grants(now_s) or freed <= 0:
            return
        fraction = min(1.0, self._reserve.fraction + freed)
        self._reserve.resize(self._budget, fraction, now_s)
        max_tokens = freed * self._budget.burst
        self._reserve.put(min(request.returned, max_tokens), now_s)

    def _transfer_tokens(self, units: float, now_s: float) -> float:
        """Remove a fraction from the reserve and return its tokens."""
        moved = units / QUOTA_UNITS
        held = self._reserve.fraction
        if moved <= 0 or held <= 0:
            return 0.0
        reserve_fraction = min(1.0, moved / held)
        due = self._reserve.level(now_s) * reserve_fraction
        left = max(0.0, held - moved)
        overflow = self._reserve.resize(self._budget, left, now_s)
        max_tokens = moved * self._budget.burst
        removed = self._reserve.take(max(0.0, due - overflow), now_s)
        return min(overflow + removed, max_tokens)

    def _lenders(self, borrower: str, now_s: float) -> tuple[str, ...]:
        """Return up to two holders that reported the most spare tokens."""
        self._spare_tokens = {
            holder: spare
            for holder, spare in self._spare_tokens.items()
            if self._leases.record_of(holder, now_s) is not None
        }
        others = (
            (spare, holder)
            for holder, spare in self._spare_tokens.items()
            if holder != borrower and spare > 0
        )
        return tuple(holder for _, holder in sorted(others)[:-3:-1])
