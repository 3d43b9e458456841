"""Rate and burst of client accounts, as far as this VM may spend them."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
import time
from typing import Final, Protocol

from wigeonford.entry._budget_links import BudgetLinks
from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, PeerError, RequestRefused
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.leases import BucketShare, TokenBucket
from wigeonford.messages.budget import LoanReply, LoanRequest
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerServer
from wigeonford.policy import (
    AccountShare,
    DISPATCH_JITTER_S,
    leased_budget,
    REPORT_INTERVAL_S,
    ShareRequest,
    TokenQueue,
    Verdict,
)

MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 60.0
UNKNOWN_RETRY_AFTER_S: Final = 1.0
SENDABLE_S: Final = 0.8 * DISPATCH_JITTER_S

Granted = asyncio.Future[bool]
"""Resolve to whether a waiting request got its token."""


@dataclass(slots=True)
class SpentToken:
    """Hold a token of an account; it has to be used soon."""

    account: str
    spent_at_s: float


class Limiter(Protocol):
    """Spend tokens of client accounts."""

    async def spend(self, account: str, deadline_s: float) -> SpentToken:
        """Take a token; raise `RequestRefused` if none comes in time."""

    async def renew(self, token: SpentToken, deadline_s: float) -> None:
        """Make sure that a token may be used now, just before dispatch."""

    def reconfigure(self, config: EntryConfig) -> None:
        """Take over the accounts of a new revision."""


class LeasedShareLimiter:
    """Spend leased shares; borrow when short, wait a little, then refuse."""

    def __init__(
        self,
        links: BudgetLinks,
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._links = links
        self._checks = checks
        self._metrics = metrics
        self._log = log
        self._limits: dict[str, BucketShare] = {}
        self._queues: dict[str, TokenQueue[Granted]] = {}
        self._watches: dict[str, TokenBucket] = {}
        self._watch_from_s = 0.0
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(LoanRequest, self._lend)

    async def start(self) -> None:
        """Begin to report demand."""
        self._spawn(self._keep_reporting())

    async def stop(self) -> None:
        """Refuse what waits and close the links to peers."""
        for timer in self._timers.values():
            timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._links.close()

    def reconfigure(self, config: EntryConfig) -> None:
        """Take over the accounts of a new revision."""
        now_s = time.monotonic()
        self._links.follow_roster(config.members)
        accounts = config.objects.client_accounts
        limits = {
            name: BucketShare(account.rate_per_s, account.burst)
            for name, account in accounts.items()
        }
        for name in self._queues.keys() - limits.keys():
            self._forget(name)
        for name, limit in limits.items():
            if limit != self._limits.get(name) and name in self._queues:
                budget = leased_budget(limit.rate_per_s, limit.burst)
                self._queues[name].share.resize(budget, now_s)
                self._watches[name] = _full_bucket(limit, now_s)
                self._watch_from_s = now_s + DISPATCH_JITTER_S
        self._limits = limits

    async def spend(self, account: str, deadline_s: float) -> SpentToken:
        """Take a token; raise `RequestRefused` if none comes in time."""
        now_s = time.monotonic()
        queue = self._queue(account, now_s)
        granted: Granted = asyncio.get_running_loop().create_future()
        verdict = queue.arrive(granted, now_s, deadline_s)
        self._pump(account)
        if verdict is Verdict.WAITING and await granted:
            verdict = Verdict.SPENT
        spent_at_s = time.monotonic()
        self._metrics.token_wait_s.observe(
            {"account": account}, spent_at_s - now_s
        )
        if verdict is not Verdict.SPENT:
            raise self._refusal(queue, spent_at_s)
        return SpentToken(account, spent_at_s)

    async def renew(self, token: SpentToken, deadline_s: float) -> None:
        """Make sure that a token may be used now, just before dispatch.

        The budget leaves room for a short way to the target only, so a
        token that grew old in a queue or a claim is replaced.
        """
        if time.monotonic() - token.spent_at_s > SENDABLE_S:
            fresh = await self.spend(token.account, deadline_s)
            token.spent_at_s = fresh.spent_at_s
        self._watch(token.account, time.monotonic())

    def _watch(self, account: str, now_s: float) -> None:
        """Check that this VM alone stays within the whole budget."""
        watch = self._watches.get(account)
        if watch is not None and now_s >= self._watch_from_s:
            self._checks.require(
                watch.spend(now_s), Invariant.RATE_NOT_EXCEEDED, account
            )

    def _queue(self, account: str, now_s: float) -> TokenQueue[Granted]:
        queue = self._queues.get(account)
        if queue is not None:
            return queue
        limit = self._limits.get(account)
        if limit is None:
            raise RequestRefused(Code.KEY_UNKNOWN)
        budget = leased_budget(limit.rate_per_s, limit.burst)
        queue = TokenQueue(AccountShare(self._links.holder, budget, now_s))
        self._queues[account] = queue
        self._watches[account] = _full_bucket(limit, now_s)
        return queue

    def _forget(self, account: str) -> None:
        """Drop an account's share and refuse what waits for it."""
        queue = self._queues.pop(account)
        del self._watches[account]
        for granted, _ in queue.serve(float("inf")):
            _resolve(granted, False)

    def _refusal(
        self, queue: TokenQueue[Granted], now_s: float
    ) -> RequestRefused:
        wait_s = queue.retry_after_s(now_s)
        if wait_s == float("inf"):
            return RequestRefused(
                Code.SHARE_UNAVAILABLE, retry_after_s=UNKNOWN_RETRY_AFTER_S
            )
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))
        return RequestRefused(Code.RATE_EXCEEDED, retry_after_s=wait_s)

    def _pump(self, account: str) -> None:
        """Serve waiters, ask for a loan if need be, and look again."""
        timer = self._timers.pop(account, None)
        if timer is not None:
            timer.cancel()
        queue = self._queues.get(account)
        if queue is None:
            return
        now_s = time.monotonic()
        for granted, spent in queue.serve(now_s):
            if not _resolve(granted, spent) and spent:
                queue.share.put_back(now_s)
        need = queue.needs(now_s)
        if need:
            request = queue.share.ask(now_s, need)
            self._spawn(self._exchange({account: request}))
        wakes_at_s = queue.wakes_at_s(now_s)
        if wakes_at_s != float("inf"):
            loop = asyncio.get_running_loop()
            delay_s = max(0.001, wakes_at_s - now_s)
            self._timers[account] = loop.call_later(
                delay_s, self._pump, account
            )

    async def _keep_reporting(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now_s = time.monotonic()
            requests = {
                account: queue.share.ask(now_s)
                for account, queue in self._queues.items()
                if queue.share.is_active(now_s)
            }
            if requests:
                self._spawn(self._exchange(requests))
            for account, queue in self._queues.items():
                self._metrics.share.set(
                    {"account": account}, queue.share.fraction(now_s)
                )

    async def _exchange(self, requests: dict[str, ShareRequest]) -> None:
        """Report to control; ask peers for what control could not lend."""
        try:
            grants = await self._links.report(requests)
        except PeerError as exc:
            self._log.emit(Event.BUDGET_REPORT_FAILED, detail=exc.detail)
            grants = {}
        now_s = time.monotonic()
        for account, request in requests.items():
            queue = self._queues.get(account)
            if queue is None:
                continue
            grant = grants.get(account)
            if grant is not None:
                queue.share.accept(grant, now_s)
            need = queue.share.need(now_s, len(queue))
            if request.need and need:
                for lender in queue.share.lenders:
                    self._spawn(self._borrow(account, lender, need))
            self._pump(account)

    async def _borrow(self, account: str, lender: str, tokens: int) -> None:
        share = self._queues[account].share
        loan_id = share.open_loan(time.monotonic())
        message = LoanRequest(loan_id, account, tokens)
        grant = await self._links.borrow(lender, message)
        if grant is not None:
            share.borrow(loan_id, grant, time.monotonic())
            self._metrics.loans.inc({"account": account})
            self._pump(account)

    async def _lend(self, message: LoanRequest) -> LoanReply:
        queue = self._queues.get(message.account)
        if queue is None or message.tokens < 1:
            return LoanReply(0, 0)
        grant = queue.share.lend(
            message.loan_id, message.tokens, time.monotonic()
        )
        return LoanReply(grant.tokens, int(grant.lifetime_s * 1000))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _full_bucket(limit: BucketShare, now_s: float) -> TokenBucket:
    """Return a bucket of the whole budget that has had time to fill."""
    return TokenBucket(limit, now_s - limit.burst / limit.rate_per_s - 1.0)


def _resolve(granted: Granted, value: bool) -> bool:
    """Answer a waiter; tell whether it was still there."""
    if granted.done():
        return False
    granted.set_result(value)
    return True
