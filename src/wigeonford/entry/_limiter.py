"""Rate limits of client accounts, enforced with leased quotas."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
import time
from typing import Final, Protocol

from wigeonford._tasks import cancel_tasks, read_arrived, wait_for_result
from wigeonford.entry._published import EntryConfig
from wigeonford.entry._quota_client import QuotaClient
from wigeonford.errors import Code, PeerError, RequestRejected
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.leases import BucketLimits, TokenBucket
from wigeonford.messages.budget import LoanReply, LoanRequest
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerServer
from wigeonford.policy import (
    AccountQuota,
    DISPATCH_JITTER_S,
    leased_budget,
    MAX_WAIT_S,
    QuotaRequest,
    REPORT_INTERVAL_S,
    TokenQueue,
    TokenResult,
)

MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 60.0
UNKNOWN_RETRY_AFTER_S: Final = 1.0
TOKEN_MAX_AGE_S: Final = 0.8 * DISPATCH_JITTER_S
"""Age up to which a token covers a request that is sent to a target; the
margin below `DISPATCH_JITTER_S` covers the way to the target."""

GrantFuture = asyncio.Future[bool]
"""Result for a waiting request: whether it got its token."""


@dataclass(slots=True)
class SpentToken:
    """Hold a token taken from an account's rate; it expires quickly."""

    account: str
    spent_at_s: float


class Limiter(Protocol):
    """Limit the request rates of client accounts."""

    async def spend(self, account: str, deadline_s: float) -> SpentToken:
        """Acquire a token; raise `RequestRejected` if none is free in time."""

    async def renew(self, token: SpentToken, deadline_s: float) -> None:
        """Replace a token that is too old, just before dispatch."""

    def reconfigure(self, config: EntryConfig) -> None:
        """Apply the account limits of a new revision."""


class LeasedQuotaLimiter:
    """Limit each account's rate to the quota that is leased to this VM.

    A request that finds no token makes this VM borrow tokens from peers and
    waits for a short time before it is rejected.
    """

    def __init__(
        self,
        quota_client: QuotaClient,
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._quota_client = quota_client
        self._checks = checks
        self._metrics = metrics
        self._log = log
        self._limits: dict[str, BucketLimits] = {}
        self._queues: dict[str, TokenQueue[GrantFuture]] = {}
        self._check_buckets: dict[str, TokenBucket] = {}
        self._check_from_s = 0.0
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._reading: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(LoanRequest, self._lend)

    async def start(self) -> None:
        """Start the periodic demand reports."""
        self._spawn(self._report_periodically())

    async def stop(self) -> None:
        """Stop the reports and close the connections to peers."""
        for timer in self._timers.values():
            timer.cancel()
        await cancel_tasks(self._tasks)
        await self._quota_client.close()

    def reconfigure(self, config: EntryConfig) -> None:
        """Apply the account limits of a new revision."""
        now_s = time.monotonic()
        self._quota_client.update_roster(config.members)
        accounts = config.objects.client_accounts
        limits = {
            name: BucketLimits(account.rate_per_s, account.burst)
            for name, account in accounts.items()
        }
        for name in self._queues.keys() - limits.keys():
            self._remove_account(name)
        for name, limit in limits.items():
            if limit != self._limits.get(name) and name in self._queues:
                budget = leased_budget(limit.rate_per_s, limit.burst)
                self._queues[name].quota.resize(budget, now_s)
                self._check_buckets[name] = _full_bucket(limit, now_s)
                self._check_from_s = now_s + DISPATCH_JITTER_S
        self._limits = limits

    async def spend(self, account: str, deadline_s: float) -> SpentToken:
        """Acquire a token; raise `RequestRejected` if none is free in time."""
        now_s = time.monotonic()
        queue = self._queue_for(account, now_s)
        fut: GrantFuture = asyncio.get_running_loop().create_future()
        result = queue.arrive(fut, now_s, deadline_s)
        self._serve_queue(account)
        if result is TokenResult.WAITING and await _wait_for_token(
            queue, fut, min(MAX_WAIT_S, deadline_s - now_s)
        ):
            result = TokenResult.SPENT
        spent_at_s = time.monotonic()
        self._metrics.token_wait_s.observe(
            {"account": account}, spent_at_s - now_s
        )
        if result is not TokenResult.SPENT:
            raise self._rejection(queue, now_s, spent_at_s)
        return SpentToken(account, spent_at_s)

    async def renew(self, token: SpentToken, deadline_s: float) -> None:
        """Replace a token that is too old, just before dispatch.

        The budget allows only for a short delay between the acquisition of
        a token and the arrival at the target, so a token that expired while
        the request waited in a queue or for a claim is replaced.
        """
        if time.monotonic() - token.spent_at_s > TOKEN_MAX_AGE_S:
            new_token = await self.spend(token.account, deadline_s)
            token.spent_at_s = new_token.spent_at_s
        self._check_rate(token.account, time.monotonic())

    def _check_rate(self, account: str, now_s: float) -> None:
        """Check that this VM alone does not exceed the account's rate."""
        bucket = self._check_buckets.get(account)
        if bucket is not None and now_s >= self._check_from_s:
            self._checks.require(
                bucket.spend(now_s), Invariant.RATE_NOT_EXCEEDED, account
            )

    def _queue_for(
        self, account: str, now_s: float
    ) -> TokenQueue[GrantFuture]:
        queue = self._queues.get(account)
        if queue is not None:
            return queue
        limit = self._limits.get(account)
        if limit is None:
            raise RequestRejected(Code.KEY_UNKNOWN)
        budget = leased_budget(limit.rate_per_s, limit.burst)
        queue = TokenQueue(
            AccountQuota(self._quota_client.holder, budget, now_s)
        )
        self._queues[account] = queue
        self._check_buckets[account] = _full_bucket(limit, now_s)
        return queue

    def _remove_account(self, account: str) -> None:
        """Remove an account and reject the requests that wait for it."""
        queue = self._queues.pop(account)
        del self._check_buckets[account]
        for fut, _ in queue.serve(float("inf")):
            _complete(fut, False)

    def _rejection(
        self, queue: TokenQueue[GrantFuture], began_s: float, now_s: float
    ) -> RequestRejected:
        wait_s = queue.retry_after_s(now_s)
        if wait_s == float("inf"):
            return RequestRejected(
                Code.SHARE_UNAVAILABLE, retry_after_s=UNKNOWN_RETRY_AFTER_S
            )
        wait_s = max(MIN_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))
        is_over_rate = queue.quota.is_exhausted(began_s, now_s)
        code = Code.RATE_EXCEEDED if is_over_rate else Code.SHARE_UNAVAILABLE
        return RequestRejected(code, retry_after_s=wait_s)

    def _serve_queue(self, account: str) -> None:
        """Serve waiting requests and request a loan if tokens are short.

        Schedules the next call while requests wait.
        """
        timer = self._timers.pop(account, None)
        if timer is not None:
            timer.cancel()
        queue = self._queues.get(account)
        if queue is None:
            return
        now_s = time.monotonic()
        for fut in queue.grant(now_s):
            if not _complete(fut, True):
                queue.quota.put_back(now_s)
        if not queue.quota.awaits_reply:
            self._request_loan(account, queue)
        elif queue.quota.may_request(now_s) and account not in self._reading:
            self._reading.add(account)
            self._spawn(self._request_again(account))
        next_call_at_s = queue.next_grant_at_s(now_s)
        if next_call_at_s != float("inf"):
            loop = asyncio.get_running_loop()
            delay_s = max(0.001, next_call_at_s - now_s)
            self._timers[account] = loop.call_later(
                delay_s, self._serve_queue, account
            )

    def _request_loan(
        self, account: str, queue: TokenQueue[GrantFuture]
    ) -> None:
        """Request a loan if tokens are short."""
        now_s = time.monotonic()
        need = queue.tokens_to_borrow(now_s)
        if need:
            request = queue.quota.next_request(now_s, need)
            self._spawn(self._report_and_borrow({account: request}))

    async def _request_again(self, account: str) -> None:
        """Request a loan once more, unless the reply has arrived by now."""
        await read_arrived()
        self._reading.discard(account)
        queue = self._queues.get(account)
        if queue is not None:
            self._request_loan(account, queue)

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            # A report voids the reply to the one before.
            await read_arrived()
            now_s = time.monotonic()
            requests = {
                account: queue.quota.next_request(now_s)
                for account, queue in self._queues.items()
                if queue.quota.is_active(now_s)
            }
            if requests:
                self._spawn(self._report_and_borrow(requests))
            for account, queue in self._queues.items():
                self._metrics.quota_fraction.set(
                    {"account": account}, queue.quota.fraction(now_s)
                )

    async def _report_and_borrow(
        self, requests: dict[str, QuotaRequest]
    ) -> None:
        """Report demand to the leader and apply its grants.

        If tokens are still short, borrow from the peers that it named.
        """
        try:
            grants = await self._quota_client.report(requests)
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
                queue.quota.accept(grant, now_s)
            need = queue.quota.need(now_s, len(queue))
            if request.need and need:
                for lender in queue.quota.lenders:
                    self._spawn(self._borrow(account, lender, need))
            self._serve_queue(account)

    async def _borrow(self, account: str, lender: str, tokens: int) -> None:
        quota = self._queues[account].quota
        loan_id = quota.open_loan(time.monotonic())
        message = LoanRequest(loan_id, account, tokens)
        grant = await self._quota_client.borrow(lender, message)
        if grant is not None:
            quota.borrow(loan_id, grant, time.monotonic())
            self._metrics.loans.inc({"account": account})
            self._serve_queue(account)

    async def _lend(self, message: LoanRequest) -> LoanReply:
        queue = self._queues.get(message.account)
        if queue is None or message.tokens < 1:
            return LoanReply(0, 0)
        grant = queue.quota.lend(
            message.loan_id, message.tokens, time.monotonic()
        )
        return LoanReply(grant.tokens, int(grant.lifetime_s * 1000))

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _wait_for_token(
    queue: TokenQueue[GrantFuture], fut: GrantFuture, timeout_s: float
) -> bool:
    """Return whether a waiting request gets its token in time."""
    try:
        return await wait_for_result(fut, timeout_s)
    except TimeoutError:
        return False
    except asyncio.CancelledError:
        if fut.done() and not fut.cancelled() and fut.result():
            queue.quota.put_back(time.monotonic())
        raise
    finally:
        queue.withdraw(fut)


def _full_bucket(limit: BucketLimits, now_s: float) -> TokenBucket:
    """Return a full bucket with the account's whole rate and burst."""
    return TokenBucket(limit, now_s - limit.burst / limit.rate_per_s - 1.0)


def _complete(fut: GrantFuture, is_granted: bool) -> bool:
    """Complete a waiter; return False if it was done or cancelled."""
    if fut.done():
        return False
    fut.set_result(is_granted)
    return True
