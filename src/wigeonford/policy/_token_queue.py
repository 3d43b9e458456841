"""Requests of one client account that wait for a token at one VM."""

import collections
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import Final, Generic, TypeVar

from wigeonford.policy._account_quota import AccountQuota

MAX_WAIT_S: Final = 0.8
LOAN_REQUEST_INTERVAL_S: Final = 0.02
SCARCE_LOAN_REQUEST_INTERVAL_S: Final = 1.0

T = TypeVar("T", bound=Hashable)


class TokenResult(Enum):
    """Name the outcome of a request for a token."""

    SPENT = "spent"
    WAITING = "waiting"
    REJECTED = "refused"


class TokenQueue(Generic[T]):
    """Serve requests in order of arrival while there are tokens.

    Items expire in `serve`. A caller with time limits of its own uses `grant`
    and `withdraw` instead.
    """

    def __init__(self, quota: AccountQuota) -> None:
        self.quota: Final = quota
        self._expires_at_s: collections.OrderedDict[T, float] = (
            collections.OrderedDict()
        )
        self._next_request_at_s = float("-inf")
        self._first_expiry_at_s = float("inf")

    def __len__(self) -> int:
        return len(self._expires_at_s)

    def arrive(self, item: T, now_s: float, deadline_s: float) -> TokenResult:
        """Spend a token for `item`, queue it, or reject it."""
        self.quota.record_arrival(now_s)
        if not self._expires_at_s and self.quota.spend(now_s):
            return TokenResult.SPENT
        if not self._may_wait(now_s):
            return TokenResult.REJECTED
        expires_at_s = min(now_s + MAX_WAIT_S, deadline_s)
        self._expires_at_s[item] = expires_at_s
        self._first_expiry_at_s = min(self._first_expiry_at_s, expires_at_s)
        return TokenResult.WAITING

    def serve(self, now_s: float) -> Iterator[tuple[T, bool]]:
        """Yield the items that stop waiting, and whether they got a token."""
        if self._first_expiry_at_s <= now_s:
            for item in self._pop_expired(now_s):
                yield item, False
        for item in self.grant(now_s):
            yield item, True

    def grant(self, now_s: float) -> Iterator[T]:
        """Yield the items that get a token, also those that are expired."""
        while self._expires_at_s and self.quota.spend(now_s):
            item, _ = self._expires_at_s.popitem(last=False)
            yield item

    def withdraw(self, item: T) -> None:
        """Remove an item that waits no longer."""
        self._expires_at_s.pop(item, None)

    def _pop_expired(self, now_s: float) -> list[T]:
        expired = [
            item
            for item, expires_at_s in self._expires_at_s.items()
            if expires_at_s <= now_s
        ]
        for item in expired:
            del self._expires_at_s[item]
        self._first_expiry_at_s = min(
            self._expires_at_s.values(), default=float("inf")
        )
        return expired

    def next_call_at_s(self, now_s: float) -> float:
        """Return when `serve` or `tokens_to_borrow` has to be called next."""
        if not self._expires_at_s:
            return float("inf")
        return min(self._first_expiry_at_s, self.next_grant_at_s(now_s))

    def next_grant_at_s(self, now_s: float) -> float:
        """Return when `grant` or `tokens_to_borrow` has to be called next."""
        if not self._expires_at_s:
            return float("inf")
        return min(
            now_s + self.quota.wait_s(now_s),
            max(now_s, self._next_request_at_s),
        )

    def tokens_to_borrow(self, now_s: float) -> int:
        """Return the tokens to borrow now; 0 if it is too early to ask."""
        if now_s < self._next_request_at_s or not self.quota.may_request(
            now_s
        ):
            return 0
        need = self.quota.need(now_s, len(self._expires_at_s))
        if need == 0 or not (self._expires_at_s or self.quota.is_empty(now_s)):
            return 0
        interval_s = (
            SCARCE_LOAN_REQUEST_INTERVAL_S
            if self.quota.is_scarce
            else LOAN_REQUEST_INTERVAL_S
        )
        self._next_request_at_s = now_s + interval_s
        return need

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until a new request would get a token."""
        return self.quota.wait_s(now_s, len(self._expires_at_s) + 1)

    def _may_wait(self, now_s: float) -> bool:
        if self.retry_after_s(now_s) <= MAX_WAIT_S:
            return True
        if self.quota.is_scarce:
            return False
        return len(self._expires_at_s) < self.quota.max_waiting
