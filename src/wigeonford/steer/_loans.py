"""Borrow tokens of accounts' rates from the leader's pool.

The load that this answers: requests of accounts that come to this VM too
seldom for a leased part to hold a token.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Mapping
import time
from typing import Final

from wigeonford.errors import PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import TokenLoan

FLUSH_S: Final = 0.005
"""Requests that come this close together are asked for at once; far below
any latency objective."""
LOAN_TIMEOUT_S: Final = 1.5
"""A round trip between regions behind two uploads on a link of 2 Mbit/s."""
LOAN_PART: Final = 0.25
"""Part of a caller's time for which its loan is waited for, also while a
leader is being elected: few that are refused come back in time."""
ASK_AGAIN_S: Final = 0.15
"""Pause after a loan that failed; a round trip between regions."""
EMPTY_MEMORY_S: Final = 0.2
"""How long an empty pool is not asked again; its tokens come by the
second."""
UNKNOWN_AFTER_S: Final = 1.0
"""When to come back where no loan came; a new leader is found by then."""

Ask = Callable[[Mapping[str, int]], Awaitable[tuple[TokenLoan, ...]]]
"""Ask the leader for tokens by account; raise `PeerError`."""


class Loans:
    """Gather the requests that need a token and share out what is lent."""

    def __init__(
        self,
        ask: Ask,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ask = ask
        self._log = log
        self._clock = clock
        self._waiting: dict[str, list[asyncio.Future[float]]] = {}
        self._empty_until_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def borrow(self, account: str, left_s: float) -> float:
        """Return 0 once a token is lent, or else when to ask again, in s."""
        empty_s = self._empty_until_s.get(account, 0.0) - self._clock()
        if empty_s > 0:
            return empty_s
        fut: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        if not self._waiting:
            task = asyncio.create_task(self._flush())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._waiting.setdefault(account, []).append(fut)
        try:
            wait_s = min(left_s * LOAN_PART, LOAN_TIMEOUT_S)
            async with asyncio.timeout(wait_s):
                return await fut
        except TimeoutError:
            return UNKNOWN_AFTER_S

    async def _flush(self) -> None:
        await asyncio.sleep(FLUSH_S)
        waiting, self._waiting = self._waiting, {}
        while wanted := _count_open(waiting):
            try:
                loans = await self._ask(wanted)
            except PeerError as exc:
                self._log.emit(
                    Event.LOAN_FAILED, detail=str(exc), accounts=sorted(wanted)
                )
                await asyncio.sleep(ASK_AGAIN_S)
                continue
            by_account = {loan.account: loan for loan in loans}
            for account in wanted:
                loan = by_account.get(account)
                if loan is None:
                    loan = TokenLoan(account, 0, UNKNOWN_AFTER_S)
                self._share_out(loan, waiting.pop(account))

    def _share_out(
        self, loan: TokenLoan, futs: list[asyncio.Future[float]]
    ) -> None:
        """Give the tokens to those that still wait, the first ones first."""
        open_ = collections.deque(fut for fut in futs if not fut.done())
        for _ in range(min(loan.tokens, len(open_))):
            open_.popleft().set_result(0.0)
        if not open_:
            return
        after_s = max(FLUSH_S, loan.after_s)
        self._empty_until_s[loan.account] = self._clock() + min(
            after_s, EMPTY_MEMORY_S
        )
        for fut in open_:
            fut.set_result(after_s)


def _count_open(
    waiting: Mapping[str, list[asyncio.Future[float]]],
) -> dict[str, int]:
    """Return how many requests still wait for a token, by account."""
    counts = {
        account: sum(not fut.done() for fut in futs)
        for account, futs in waiting.items()
    }
    return {account: count for account, count in counts.items() if count}
