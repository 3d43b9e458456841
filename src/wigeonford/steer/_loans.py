"""Borrow tokens of accounts' rates from the leader's pool.

An entry VM that gets only few requests of an account leases too small a
fraction of its rate to have a token when one comes. It borrows single tokens
instead.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Mapping
import time
from typing import Final

from wigeonford._tasks import wait_for_result
from wigeonford.errors import PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import TokenLoan

BATCH_DELAY_S: Final = 0.005
"""Requests that come within this time share one message; far below any latency
objective."""
LOAN_TIMEOUT_S: Final = 1.5
"""A round trip between regions behind two uploads on a link of 2 Mbit/s."""
LOAN_WAIT_FRACTION: Final = 0.25
"""Fraction of a request's remaining time for which it waits for a loan, also
during a leader election. Few callers that are rejected retry in time."""
LOAN_RETRY_DELAY_S: Final = 0.15
"""Pause after a loan that failed; a round trip between regions."""
EMPTY_POOL_CACHE_S: Final = 0.2
"""How long no loan is requested from an empty pool; it gets new tokens about
every second."""
NO_LOAN_RETRY_AFTER_S: Final = 1.0
"""When a caller should retry if no reply came; a new leader is found by
then."""

RequestLoans = Callable[[Mapping[str, int]], Awaitable[tuple[TokenLoan, ...]]]
"""Request tokens by account from the leader; raise `PeerError`."""


class LoanBatcher:
    """Batch the requests that need a token and distribute the loans."""

    def __init__(
        self,
        request_loans: RequestLoans,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._request_loans = request_loans
        self._log = log
        self._clock = clock
        self._waiting: dict[str, list[asyncio.Future[float]]] = {}
        self._empty_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def borrow(self, account: str, left_s: float) -> float:
        """Return 0 once a token is lent, or else when to retry, in s."""
        retry_after_s = self._empty_until_s.get(account, 0.0) - self._clock()
        if retry_after_s > 0:
            return retry_after_s
        fut: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        if not self._waiting:
            task = asyncio.create_task(self._run_batch())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._waiting.setdefault(account, []).append(fut)
        try:
            timeout_s = min(left_s * LOAN_WAIT_FRACTION, LOAN_TIMEOUT_S)
            return await wait_for_result(fut, timeout_s)
        except TimeoutError:
            return NO_LOAN_RETRY_AFTER_S

    async def _run_batch(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        waiting, self._waiting = self._waiting, {}
        while token_counts := _count_pending(waiting):
            try:
                loans = await self._request_loans(token_counts)
            except Exception as exc:
                # Also an unexpected error leaves requests that still wait.
                self._log.emit(
                    Event.LOAN_FAILED,
                    detail=repr(exc),
                    accounts=sorted(token_counts),
                    exc_info=None if isinstance(exc, PeerError) else exc,
                )
                await asyncio.sleep(LOAN_RETRY_DELAY_S)
                continue
            by_account = {loan.account: loan for loan in loans}
            for account in token_counts:
                loan = by_account.get(account)
                if loan is None:
                    loan = TokenLoan(account, 0, NO_LOAN_RETRY_AFTER_S)
                self._distribute(loan, waiting.pop(account))

    def _distribute(
        self, loan: TokenLoan, futs: list[asyncio.Future[float]]
    ) -> None:
        """Give the tokens to the requests that still wait, oldest first."""
        pending = collections.deque(fut for fut in futs if not fut.done())
        for _ in range(min(loan.tokens, len(pending))):
            pending.popleft().set_result(0.0)
        if not pending:
            return
        after_s = max(BATCH_DELAY_S, loan.next_token_s)
        self._empty_until_s[loan.account] = self._clock() + min(
            after_s, EMPTY_POOL_CACHE_S
        )
        for fut in pending:
            fut.set_result(after_s)


def _count_pending(
    waiting: Mapping[str, list[asyncio.Future[float]]],
) -> dict[str, int]:
    """Return how many requests still wait for a token, by account."""
    counts = {
        account: sum(not fut.done() for fut in futs)
        for account, futs in waiting.items()
    }
    return {account: count for account, count in counts.items() if count}
