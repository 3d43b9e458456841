"""Requests of one client account that wait for a token at one VM."""

import collections
from collections.abc import Iterator
from enum import Enum
from typing import Final, Generic, TypeVar

import msgspec

from wigeonford.policy._account_quota import AccountQuota

MAX_WAIT_S: Final = 0.8
LOAN_REQUEST_INTERVAL_S: Final = 0.02
SCARCE_LOAN_REQUEST_INTERVAL_S: Final = 1.0

T = TypeVar("T")


class TokenResult(Enum):
    """Name the outcome of a request for a token."""

    SPENT = "spent"
    WAITING = "waiting"
    REJECTED = "refused"


class _Waiter(msgspec.Struct, Generic[T], frozen=True):
    item: T
    expires_at_s: float


class TokenQueue(Generic[T]):
    """Serve requests in order of arrival while there are tokens."""

    def __init__(self, quota: AccountQuota) -> None:
        self.quota: Final = quota
        self._waiters: collections.deque[_Waiter[T]] = collections.deque()
        self._next_request_at_s = float("-inf")
        self._first_expiry_at_s = float("inf")

    def __len__(self) -> int:
        return len(self._waiters)

    def arrive(self, item: T, now_s: float, deadline_s: float) -> TokenResult:
        """Spend a token for `item`, queue it, or reject it."""
        self.quota.record_arrival(now_s)
        if not self._waiters and self.quota.spend(now_s):
            return TokenResult.SPENT
        if not self._may_wait(now_s):
            return TokenResult.REJECTED
        expires_at_s = min(now_s + MAX_WAIT_S, deadline_s)
        self._append(_Waiter(item, expires_at_s))
        return TokenResult.WAITING

    def serve(self, now_s: float) -> Iterator[tuple[T, bool]]:
        """Yield the items that stop waiting, and whether they got a token."""
        if self._first_expiry_at_s <= now_s:
            yield from self._expire(now_s)
        while self._waiters and self.quota.spend(now_s):
            yield self._waiters.popleft().item, True

    def _expire(self, now_s: float) -> Iterator[tuple[T, bool]]:
        waiters, self._waiters = self._waiters, collections.deque()
        self._first_expiry_at_s = float("inf")
        for waiter in waiters:
            if waiter.expires_at_s <= now_s:
                yield waiter.item, False
            else:
                self._append(waiter)

    def _append(self, waiter: _Waiter[T]) -> None:
        self._waiters.append(waiter)
        self._first_expiry_at_s = min(
            self._first_expiry_at_s, waiter.expires_at_s
        )

    def next_call_at_s(self, now_s: float) -> float:
        """Return when `serve` or `tokens_to_borrow` has to be called next."""
        if not self._waiters:
            return float("inf")
        return min(
            self._first_expiry_at_s,
            now_s + self.quota.wait_s(now_s),
            max(now_s, self._next_request_at_s),
        )

    def tokens_to_borrow(self, now_s: float) -> int:
        """Return the tokens to borrow now; 0 if it is too early to ask."""
        if now_s < self._next_request_at_s or not self.quota.may_request(
            now_s
        ):
            return 0
        need = self.quota.need(now_s, len(self._waiters))
        if need == 0 or not (self._waiters or self.quota.is_empty(now_s)):
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
        return self.quota.wait_s(now_s, len(self._waiters) + 1)

    def _may_wait(self, now_s: float) -> bool:
        if self.retry_after_s(now_s) <= MAX_WAIT_S:
            return True
        if self.quota.is_scarce:
            return False
        return len(self._waiters) < self.quota.max_waiting
