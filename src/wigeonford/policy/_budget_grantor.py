"""The grantor's side of a client account's budget.

A budget is leased in millionths. The grantor keeps what is not leased as a
reserve with tokens of its own; it hands tokens on with a growing share and
lends the reserve's tokens to an entry VM that runs short.
"""

import math

from wigeonford.leases._leases import LeaseGrantor, LeaseRequest
from wigeonford.leases._limits import BucketShare
from wigeonford.policy._budgets import (
    HEADROOM,
    LOAN_S,
    SHARE_UNITS,
    ShareGrant,
    ShareRequest,
    TERM_S,
)
from wigeonford.policy._share_bucket import ShareBucket


class BudgetGrantor:
    """Grant shares of one budget; keep the rest as a reserve."""

    def __init__(
        self,
        budget: BucketShare,
        now_s: float,
        *,
        takes_over_at_s: float | None = None,
    ) -> None:
        """Begin at `now_s`; one that takes over waits out a term first."""
        self._budget = budget
        waits_from_s = now_s if takes_over_at_s is None else takes_over_at_s
        self._leases = LeaseGrantor(
            SHARE_UNITS,
            TERM_S,
            waits_from_s,
            whole=True,
            takes_over=takes_over_at_s is not None,
        )
        self._reserve = ShareBucket(budget, now_s)
        self._spare: dict[str, int] = {}
        self._settle(now_s)

    def granted(self, now_s: float) -> float:
        """Return the part of the budget that holders may have."""
        return self._leases.granted(now_s) / SHARE_UNITS

    def reserved(self) -> float:
        """Return the part of the budget that the reserve has."""
        return self._reserve.fraction

    def reserve_tokens(self, now_s: float) -> float:
        """Return the tokens in the reserve."""
        return self._reserve.level(now_s)

    def resize(self, budget: BucketShare, now_s: float) -> None:
        """Take over a changed rate and burst."""
        self._budget = budget
        self._reserve.resize(budget, self._reserve.fraction, now_s)

    def request(
        self, holder: str, request: ShareRequest, now_s: float
    ) -> ShareGrant:
        """Return what the holder may have from now on."""
        self._settle(now_s)
        known = self._leases.record_of(holder, now_s)
        if known is not None and request.number < known.number:
            return ShareGrant(request.number, 0)
        lent = self._reserve.lent_fraction(now_s)
        grant = self._leases.request(
            LeaseRequest(holder, request.number, request.held, request.wanted),
            now_s,
            reserved=math.ceil(lent * SHARE_UNITS),
        )
        if known is not None and request.number > known.number:
            self._take_back(known.amount, request, now_s)
        tokens = self._hand_on(grant.amount - request.held, now_s)
        self._settle(now_s)
        loan = self._reserve.lend(request.need, LOAN_S, now_s)
        self._spare[holder] = request.spare
        lenders = self._lenders(holder, now_s)
        wanted = self._leases.wanted(now_s)
        return ShareGrant(
            request.number,
            int(grant.amount),
            tokens,
            loan,
            wanted > SHARE_UNITS * HEADROOM and not lenders,
            lenders if request.need > loan else (),
        )

    def _settle(self, now_s: float) -> None:
        """Bring the reserve in line with what is not granted."""
        free = 0.0
        if self._leases.knows_all(now_s):
            free = max(0.0, 1.0 - self.granted(now_s))
        self._reserve.resize(self._budget, free, now_s)

    def _take_back(
        self, known: float, request: ShareRequest, now_s: float
    ) -> None:
        """Add the tokens of a part that a holder has given up."""
        freed = max(0.0, known - request.held) / SHARE_UNITS
        if not self._leases.knows_all(now_s) or freed <= 0:
            return
        fraction = min(1.0, self._reserve.fraction + freed)
        self._reserve.resize(self._budget, fraction, now_s)
        room = freed * self._budget.burst
        self._reserve.put(min(request.returned, room), now_s)

    def _hand_on(self, units: float, now_s: float) -> float:
        """Remove a part of the reserve and the tokens that go with it."""
        moved = units / SHARE_UNITS
        held = self._reserve.fraction
        if moved <= 0 or held <= 0:
            return 0.0
        part = min(1.0, moved / held)
        due = self._reserve.level(now_s) * part
        left = max(0.0, held - moved)
        overflow = self._reserve.resize(self._budget, left, now_s)
        room = moved * self._budget.burst
        rest = self._reserve.take(max(0.0, due - overflow), now_s)
        return min(overflow + rest, room)

    def _lenders(self, borrower: str, now_s: float) -> tuple[str, ...]:
        """Return the holders that most likely have tokens to spare."""
        self._spare = {
            holder: spare
            for holder, spare in self._spare.items()
            if self._leases.record_of(holder, now_s) is not None
        }
        others = (
            (spare, holder)
            for holder, spare in self._spare.items()
            if holder != borrower and spare > 0
        )
        return tuple(holder for _, holder in sorted(others)[:-3:-1])
