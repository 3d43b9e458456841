"""Token bucket of a leased quota fraction, with loans between peers.

The bucket's own tokens never exceed its capacity: the leased fraction of the
burst minus the tokens on loan. A loan removes tokens and capacity from the
lender until it has expired at the borrower, so all buckets together never
hold more than the burst and are never refilled faster than the rate.
"""

import collections

import msgspec

from wigeonford.leases._token_pool import BucketLimits

_EPSILON = 1e-9


class _Loan(msgspec.Struct):
    """Hold whole tokens that are on loan until a time."""

    tokens: float
    expires_at_s: float


class QuotaBucket:
    """Spend, lend and borrow tokens of a fraction of a budget."""

    def __init__(self, budget: BucketLimits, now_s: float) -> None:
        self._budget = budget
        self._fraction = 0.0
        self._tokens = 0.0
        self._refilled_at_s = now_s
        self._lent: list[_Loan] = []
        self._borrowed: collections.deque[_Loan] = collections.deque()

    @property
    def fraction(self) -> float:
        """Return the fraction of the budget that this bucket may use."""
        return self._fraction

    def capacity(self) -> float:
        """Return the most tokens of its own that the bucket may hold."""
        lent = sum(loan.tokens for loan in self._lent)
        return max(0.0, self._fraction * self._budget.burst - lent)

    def level(self, now_s: float) -> float:
        """Return the bucket's own tokens, without borrowed ones."""
        self._advance(now_s)
        return self._tokens

    def spendable(self, now_s: float) -> float:
        """Return all tokens that can be spent now."""
        self._advance(now_s)
        return self._tokens + sum(loan.tokens for loan in self._borrowed)

    def lent_fraction(self, now_s: float) -> float:
        """Return the fraction of the budget that is on loan to peers."""
        self._advance(now_s)
        lent = sum(loan.tokens for loan in self._lent)
        return min(self._fraction, lent / self._budget.burst)

    def resize(
        self, budget: BucketLimits, fraction: float, now_s: float
    ) -> float:
        """Change the fraction; return the tokens above the new capacity."""
        self._advance(now_s)
        self._budget = budget
        self._fraction = fraction
        kept = min(self._tokens, self.capacity())
        overflow = self._tokens - kept
        self._tokens = kept
        return overflow

    def put(self, tokens: float, now_s: float) -> None:
        """Add tokens up to the capacity; the excess is lost."""
        self._advance(now_s)
        self._tokens = min(self._tokens + tokens, self.capacity())

    def take(self, tokens: float, now_s: float) -> float:
        """Remove up to `tokens` of the bucket's own; return how many."""
        taken = min(tokens, self.level(now_s))
        self._tokens -= taken
        return taken

    def lend(self, tokens: int, lifetime_s: float, now_s: float) -> int:
        """Lend up to `tokens` whole tokens; return how many.

        Their capacity is removed too, until `lifetime_s` has passed.
        """
        lent = int(min(tokens, self.level(now_s) + _EPSILON))
        if lent <= 0:
            return 0
        self._tokens = max(0.0, self._tokens - lent)
        self._lent.append(_Loan(lent, now_s + lifetime_s))
        self._lent.sort(key=lambda loan: loan.expires_at_s)
        return lent

    def borrow(self, tokens: int, expires_at_s: float) -> None:
        """Add tokens that a lender lends until `expires_at_s`."""
        if tokens > 0:
            self._borrowed.append(_Loan(tokens, expires_at_s))

    def spend(self, now_s: float) -> bool:
        """Spend a token, borrowed ones first; return False if none is left."""
        self._advance(now_s)
        if self._borrowed:
            self._borrowed[0].tokens -= 1
            self._drop_borrowed(now_s)
            return True
        if self._tokens < 1.0 - _EPSILON:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return the time until `tokens` can be spent; 0 if they can now."""
        missing = tokens - self.spendable(now_s)
        if missing <= _EPSILON:
            return 0.0
        rate_per_s = self._fraction * self._budget.rate_per_s
        if rate_per_s <= 0 or self.capacity() < 1.0:
            return float("inf")
        return missing / rate_per_s

    def _advance(self, now_s: float) -> None:
        # Refill up to the end of each loan in turn, so that lent capacity is
        # not refilled before its loan ends.
        while self._lent and self._lent[0].expires_at_s <= now_s:
            self._refill(self._lent[0].expires_at_s)
            self._lent.pop(0)
        self._refill(now_s)
        self._drop_borrowed(now_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = max(self._refilled_at_s, now_s)
        rate_per_s = self._fraction * self._budget.rate_per_s
        grown = self._tokens + elapsed_s * rate_per_s
        self._tokens = min(grown, self.capacity())

    def _drop_borrowed(self, now_s: float) -> None:
        self._borrowed = collections.deque(
            loan
            for loan in self._borrowed
            if loan.tokens >= 1 and loan.expires_at_s > now_s
        )
