"""Entry VM side of a client account's budget."""

import math
from typing import Final

from wigeonford.leases._demand import Demand
from wigeonford.leases._leases import DRIFT_MARGIN, LeaseGrant, LeaseHolder
from wigeonford.leases._token_pool import BucketLimits
from wigeonford.policy._budgets import (
    DEMAND_MARGIN,
    LOAN_LIFETIME_S,
    LoanGrant,
    QUOTA_TERM_S,
    QUOTA_UNITS,
    QuotaGrant,
    QuotaRequest,
)
from wigeonford.policy._quota_bucket import QuotaBucket

MIN_LOAN_LIFETIME_S: Final = 0.3
KEEP_ABOVE_FRACTION: Final = 0.85
MIN_QUOTA_TOKENS: Final = 3.0
DEMAND_HORIZON_S: Final = 0.3
REPLY_TIMEOUT_S: Final = 0.4


class AccountQuota:
    """Hold the quota fraction of a client account that one VM leases."""

    def __init__(self, name: str, budget: BucketLimits, now_s: float) -> None:
        """Hold no tokens yet; `name` identifies an incarnation of the VM."""
        self.name: Final = name
        self._budget = budget
        self._lease = LeaseHolder(name, QUOTA_TERM_S)
        self._bucket = QuotaBucket(budget, now_s)
        self._demand = Demand(now_s)
        self._returned_tokens = 0.0
        self._asked_at_s: dict[int, float] = {}
        self._reported_units = 0.0
        self._loan_count = 0
        self._open_loans: dict[str, float] = {}
        self._granted_loans: dict[str, tuple[int, float]] = {}
        self._asked_need = 0
        self._denied_at_s = float("-inf")
        self.is_scarce = False
        self.lenders: tuple[str, ...] = ()

    def resize(self, budget: BucketLimits, now_s: float) -> None:
        """Apply a changed rate and burst."""
        self._drop_expired(now_s)
        self._budget = budget
        self._bucket.resize(budget, self._bucket.fraction, now_s)

    def fraction(self, now_s: float) -> float:
        """Return the quota fraction that is leased now."""
        self._drop_expired(now_s)
        return self._bucket.fraction

    def tokens(self, now_s: float) -> float:
        """Return the tokens that can be spent now."""
        self._drop_expired(now_s)
        return self._bucket.spendable(now_s)

    def record_arrival(self, now_s: float) -> None:
        """Count a request, admitted or not, to estimate the demand."""
        self._demand.add(now_s)

    def spend(self, now_s: float) -> bool:
        """Spend a token; return False if there is none."""
        self._drop_expired(now_s)
        return self._bucket.spend(now_s)

    def put_back(self, now_s: float) -> None:
        """Put an unused token back within `DISPATCH_JITTER_S` of `spend`."""
        self._drop_expired(now_s)
        self._bucket.put(1.0, now_s)

    def wait_s(self, now_s: float, tokens: int = 1) -> float:
        """Return the time until `tokens` are available without a loan."""
        self._drop_expired(now_s)
        return self._bucket.wait_s(now_s, tokens)

    def is_empty(self, now_s: float) -> bool:
        """Return whether there is no token for the next request."""
        return self.tokens(now_s) < 1.0

    @property
    def max_waiting(self) -> int:
        """Return how many requests may wait for a loan."""
        return max(1, int(self._budget.burst))

    def may_request(self, now_s: float) -> bool:
        """Return whether no reply is pending that a request would void."""
        asked_at_s = max(self._asked_at_s.values(), default=float("-inf"))
        return now_s >= asked_at_s + REPLY_TIMEOUT_S

    @property
    def awaits_reply(self) -> bool:
        """Return whether a report is unanswered; another one would void it."""
        return bool(self._asked_at_s)

    def is_active(self, now_s: float) -> bool:
        """Return whether a report to the grantor is due."""
        return self.may_request(now_s) and (
            self._wanted_units(now_s) > 0
            or self._lease.amount(now_s) > 0
            or self._reported_units > 0
        )

    def need(self, now_s: float, waiting: int) -> int:
        """Return how many whole tokens to borrow."""
        expected_tokens = self._demand.rate_per_s(now_s) * DEMAND_HORIZON_S
        missing = waiting + int(expected_tokens) - int(self.tokens(now_s))
        return max(0, min(missing, int(self._budget.burst)))

    def next_request(self, now_s: float, need: int = 0) -> QuotaRequest:
        """Return the next request to the grantor."""
        self._drop_expired(now_s)
        wanted = self._damp_decrease(self._wanted_units(now_s), now_s)
        self._give_up_unwanted(wanted, now_s)
        request = self._lease.next_request(wanted, now_s)
        returned, self._returned_tokens = self._returned_tokens, 0.0
        self._asked_at_s = {request.number: now_s}
        self._asked_need = need
        self._reported_units = request.held
        return QuotaRequest(
            request.number,
            int(request.held),
            int(request.wanted),
            self._spare_tokens(now_s),
            returned,
            need,
        )

    def accept(self, grant: QuotaGrant, now_s: float) -> bool:
        """Apply the reply to the latest request; return False for others."""
        self._drop_expired(now_s)
        # The lent fraction stays leased, and unusable, until the loan ends.
        lent = math.ceil(self._bucket.lent_fraction(now_s) * QUOTA_UNITS)
        amount = float(max(grant.units, lent))
        if not self._lease.accept(LeaseGrant(grant.number, amount)):
            return False
        fraction = self._lease.amount(now_s) / QUOTA_UNITS
        overflow = self._bucket.resize(self._budget, fraction, now_s)
        self._returned_tokens += overflow
        self._bucket.put(grant.tokens, now_s)
        usable_s = LOAN_LIFETIME_S * (1 - DRIFT_MARGIN)
        asked_at_s = self._asked_at_s.pop(grant.number)
        self._bucket.borrow(grant.loan, asked_at_s + usable_s)
        self.is_scarce = grant.scarce
        self.lenders = grant.lenders
        if grant.loan < self._asked_need and not grant.lenders:
            self._denied_at_s = now_s
        return True

    def is_exhausted(self, since_s: float, now_s: float) -> bool:
        """Return whether the whole budget has no tokens, as far as is known.

        A loan that was requested since then and has not arrived leaves it
        unknown.
        """
        return (
            self.is_scarce
            or self._denied_at_s >= since_s
            or self.fraction(now_s) >= 1.0
        )

    def lend(self, loan_id: str, tokens: int, now_s: float) -> LoanGrant:
        """Lend spare whole tokens; a retry with the same id lends no more."""
        self._drop_expired(now_s)
        self._granted_loans = {
            known_id: (lent, expires_at_s)
            for known_id, (lent, expires_at_s) in self._granted_loans.items()
            if expires_at_s > now_s
        }
        if loan_id not in self._granted_loans:
            lifetime_s = min(LOAN_LIFETIME_S, self._lease.expires_at_s - now_s)
            lendable = min(tokens, self._spare_tokens(now_s))
            if lifetime_s < MIN_LOAN_LIFETIME_S or lendable < 1:
                return LoanGrant(0, 0.0)
            lent = self._bucket.lend(lendable, lifetime_s, now_s)
            self._granted_loans[loan_id] = lent, now_s + lifetime_s
        lent, expires_at_s = self._granted_loans[loan_id]
        return LoanGrant(lent, expires_at_s - now_s)

    def open_loan(self, now_s: float) -> str:
        """Return the id for a loan request to a peer."""
        self._open_loans = {
            loan_id: asked_at_s
            for loan_id, asked_at_s in self._open_loans.items()
            if asked_at_s + LOAN_LIFETIME_S > now_s
        }
        self._loan_count += 1
        loan_id = f"{self.name}/{self._loan_count}"
        self._open_loans[loan_id] = now_s
        return loan_id

    def borrow(self, loan_id: str, grant: LoanGrant, now_s: float) -> None:
        """Add the tokens that a peer lent, once for each loan id.

        Their lifetime counts from when this VM opened the loan.
        """
        asked_at_s = self._open_loans.pop(loan_id, None)
        if asked_at_s is None:
            return
        self._drop_expired(now_s)
        if grant.tokens < 1:
            self._denied_at_s = now_s
        usable_s = grant.lifetime_s * (1 - DRIFT_MARGIN)
        self._bucket.borrow(grant.tokens, asked_at_s + usable_s)

    def _wanted_units(self, now_s: float) -> float:
        rate_per_s = self._demand.rate_per_s(now_s)
        wanted = rate_per_s * DEMAND_MARGIN / self._budget.rate_per_s
        # A smaller fraction would hold too few tokens to be of use, and would
        # only tie up the budget.
        if wanted * self._budget.burst < MIN_QUOTA_TOKENS:
            return 0.0
        return float(int(min(1.0, wanted) * QUOTA_UNITS))

    def _damp_decrease(self, wanted: float, now_s: float) -> float:
        """Return the held units if the demand has fallen only slightly."""
        held = self._lease.amount(now_s)
        return held if KEEP_ABOVE_FRACTION * held < wanted < held else wanted

    def _give_up_unwanted(self, wanted: float, now_s: float) -> None:
        """Give up unwanted units, so that the next request confirms it."""
        held = self._lease.amount(now_s)
        lent = math.ceil(self._bucket.lent_fraction(now_s) * QUOTA_UNITS)
        kept = max(wanted, lent)
        if kept < held:
            self._lease.reduce(kept)
            overflow = self._bucket.resize(
                self._budget, kept / QUOTA_UNITS, now_s
            )
            self._returned_tokens += overflow

    def _spare_tokens(self, now_s: float) -> int:
        expected_tokens = self._demand.rate_per_s(now_s) * DEMAND_HORIZON_S
        return max(0, int(self._bucket.level(now_s) - expected_tokens))

    def _drop_expired(self, now_s: float) -> None:
        """Drop the quota fraction and its tokens once the lease expired."""
        if self._lease.amount(now_s) <= 0 and self._bucket.fraction > 0:
            self._bucket.resize(self._budget, 0.0, now_s)
            self._returned_tokens = 0.0
