"""An entry VM's side of a client account's budget."""

import math
from typing import Final

from wigeonford.leases._demand import Demand
from wigeonford.leases._leases import DRIFT_MARGIN, LeaseGrant, LeaseHolder
from wigeonford.leases._limits import BucketShare
from wigeonford.policy._budgets import (
    HEADROOM,
    LOAN_S,
    LoanGrant,
    SHARE_UNITS,
    ShareGrant,
    ShareRequest,
    TERM_S,
)
from wigeonford.policy._share_bucket import ShareBucket

MIN_LOAN_S: Final = 0.3
KEPT_PART: Final = 0.85
FLOOR_TOKENS: Final = 3.0
LOAN_DEMAND_S: Final = 0.3
ASK_TIMEOUT_S: Final = 0.4


class AccountShare:
    """Hold one VM's share of a client account's budget."""

    def __init__(self, name: str, budget: BucketShare, now_s: float) -> None:
        """`name` is that of one run of the VM's process."""
        self.name: Final = name
        self._budget = budget
        self._lease = LeaseHolder(name, TERM_S)
        self._bucket = ShareBucket(budget, now_s)
        self._demand = Demand(now_s)
        self._returned = 0.0
        self._asked_at_s: dict[int, float] = {}
        self._reported = 0.0
        self._loans = 0
        self._open_loans: dict[str, float] = {}
        self._given: dict[str, tuple[int, float]] = {}
        self.scarce = False
        self.lenders: tuple[str, ...] = ()

    def resize(self, budget: BucketShare, now_s: float) -> None:
        """Take over a changed rate and burst."""
        self._sync(now_s)
        self._budget = budget
        self._bucket.resize(budget, self._bucket.fraction, now_s)

    def fraction(self, now_s: float) -> float:
        """Return the part of the budget that is held now."""
        self._sync(now_s)
        return self._bucket.fraction

    def tokens(self, now_s: float) -> float:
        """Return the tokens that can be spent now."""
        self._sync(now_s)
        return self._bucket.spendable(now_s)

    def arrive(self, now_s: float) -> None:
        """Count a request, whatever becomes of it."""
        self._demand.add(now_s)

    def spend(self, now_s: float) -> bool:
        """Take a token if there is one."""
        self._sync(now_s)
        return self._bucket.spend(now_s)

    def put_back(self, now_s: float) -> None:
        """Return a token unspent, within the jitter bound of its taking."""
        self._sync(now_s)
        self._bucket.put(1.0, now_s)

    def wait_s(self, now_s: float, tokens: int = 1) -> float:
        """Return how long until this many tokens come without a loan."""
        self._sync(now_s)
        return self._bucket.wait_s(now_s, tokens)

    def is_empty(self, now_s: float) -> bool:
        """Tell whether the next request will find no token."""
        return self.tokens(now_s) < 1.0

    @property
    def max_waiting(self) -> int:
        """Return how many requests may wait for a loan."""
        return max(1, int(self._budget.burst))

    def may_ask(self, now_s: float) -> bool:
        """Tell whether no reply is on its way, which would be void."""
        asked_at_s = max(self._asked_at_s.values(), default=float("-inf"))
        return now_s >= asked_at_s + ASK_TIMEOUT_S

    def is_active(self, now_s: float) -> bool:
        """Tell whether the grantor has to hear of this share."""
        return self.may_ask(now_s) and (
            self._wanted(now_s) > 0
            or self._lease.amount(now_s) > 0
            or self._reported > 0
        )

    def need(self, now_s: float, waiting: int) -> int:
        """Return how many whole tokens a loan should bring."""
        soon = self._demand.rate_per_s(now_s) * LOAN_DEMAND_S
        missing = waiting + int(soon) - int(self.tokens(now_s))
        return max(0, min(missing, int(self._budget.burst)))

    def ask(self, now_s: float, need: int = 0) -> ShareRequest:
        """Return the next request to the grantor."""
        self._sync(now_s)
        wanted = self._steady(self._wanted(now_s), now_s)
        self._reduce(wanted, now_s)
        request = self._lease.ask(wanted, now_s)
        returned, self._returned = self._returned, 0.0
        self._asked_at_s = {request.number: now_s}
        self._reported = request.held
        return ShareRequest(
            request.number,
            int(request.held),
            int(request.wanted),
            self._spare(now_s),
            returned,
            need,
        )

    def accept(self, grant: ShareGrant, now_s: float) -> bool:
        """Take the reply to the latest request; tell whether it was."""
        self._sync(now_s)
        # What is lent stays out of this VM's hands until the loan ends.
        lent = math.ceil(self._bucket.lent_fraction(now_s) * SHARE_UNITS)
        amount = float(max(grant.units, lent))
        if not self._lease.accept(LeaseGrant(grant.number, amount)):
            return False
        fraction = self._lease.amount(now_s) / SHARE_UNITS
        overflow = self._bucket.resize(self._budget, fraction, now_s)
        self._returned += overflow
        self._bucket.put(grant.tokens, now_s)
        usable_s = LOAN_S * (1 - DRIFT_MARGIN)
        asked_at_s = self._asked_at_s.pop(grant.number)
        self._bucket.borrow(grant.loan, asked_at_s + usable_s)
        self.scarce = grant.scarce
        self.lenders = grant.lenders
        return True

    def lend(self, loan_id: str, tokens: int, now_s: float) -> LoanGrant:
        """Lend whole tokens that this VM can spare; repeatable by id."""
        self._sync(now_s)
        self._given = {
            known: (lent, expires_at_s)
            for known, (lent, expires_at_s) in self._given.items()
            if expires_at_s > now_s
        }
        if loan_id not in self._given:
            lifetime_s = min(LOAN_S, self._lease.expires_at_s - now_s)
            offer = min(tokens, self._spare(now_s))
            if lifetime_s < MIN_LOAN_S or offer < 1:
                return LoanGrant(0, 0.0)
            lent = self._bucket.lend(offer, lifetime_s, now_s)
            self._given[loan_id] = lent, now_s + lifetime_s
        lent, expires_at_s = self._given[loan_id]
        return LoanGrant(lent, expires_at_s - now_s)

    def open_loan(self, now_s: float) -> str:
        """Return the id under which to ask a peer for a loan."""
        self._open_loans = {
            loan_id: asked_at_s
            for loan_id, asked_at_s in self._open_loans.items()
            if asked_at_s + LOAN_S > now_s
        }
        self._loans += 1
        loan_id = f"{self.name}/{self._loans}"
        self._open_loans[loan_id] = now_s
        return loan_id

    def borrow(self, loan_id: str, grant: LoanGrant, now_s: float) -> None:
        """Add a peer's tokens, once for each loan that was asked for.

        Their lifetime counts from the first request for the loan.
        """
        asked_at_s = self._open_loans.pop(loan_id, None)
        if asked_at_s is None:
            return
        self._sync(now_s)
        usable_s = grant.lifetime_s * (1 - DRIFT_MARGIN)
        self._bucket.borrow(grant.tokens, asked_at_s + usable_s)

    def _wanted(self, now_s: float) -> float:
        rate_per_s = self._demand.rate_per_s(now_s)
        wanted = rate_per_s * HEADROOM / self._budget.rate_per_s
        # A share without room for a token would only tie up the budget.
        if wanted * self._budget.burst < FLOOR_TOKENS:
            return 0.0
        return float(int(min(1.0, wanted) * SHARE_UNITS))

    def _steady(self, wanted: float, now_s: float) -> float:
        """Keep what is held where the demand has hardly fallen."""
        held = self._lease.amount(now_s)
        return held if KEPT_PART * held < wanted < held else wanted

    def _reduce(self, wanted: float, now_s: float) -> None:
        """Give up what is not wanted, so that one request confirms it."""
        held = self._lease.amount(now_s)
        lent = math.ceil(self._bucket.lent_fraction(now_s) * SHARE_UNITS)
        kept = max(wanted, lent)
        if kept < held:
            self._lease.reduce(kept)
            overflow = self._bucket.resize(
                self._budget, kept / SHARE_UNITS, now_s
            )
            self._returned += overflow

    def _spare(self, now_s: float) -> int:
        soon = self._demand.rate_per_s(now_s) * LOAN_DEMAND_S
        return max(0, int(self._bucket.level(now_s) - soon))

    def _sync(self, now_s: float) -> None:
        """Drop the share once its lease has run out."""
        if self._lease.amount(now_s) <= 0 and self._bucket.fraction > 0:
            self._bucket.resize(self._budget, 0.0, now_s)
            self._returned = 0.0
