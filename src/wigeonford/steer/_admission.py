"""Admit requests: check route, key, rate and quarantine, read the body."""

import asyncio
from collections.abc import AsyncIterator, Callable
import random
from typing import Final

from wigeonford.deployment import Account, Route, Splitter
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import Event, EventLog
from wigeonford.steer._loans import LoanBatcher
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._request_context import RequestContext
from wigeonford.steer._retry_after import retry_after_s
from wigeonford.steer._suspects import fingerprint_request, SuspectTable
from wigeonford.steer._view import View

MAX_BUFFERED_BODY_BYTES: Final = 1 << 20
"""Bodies up to this size are buffered, so that a request can be retried."""
NO_VIEW_RETRY_AFTER_S: Final = 0.5
"""A VM that has just started knows the deployment by then."""


class Admission:
    """Check whether a request may be served, before a target is chosen."""

    def __init__(
        self,
        view: Callable[[], View | None],
        rates: AccountRates,
        loans: LoanBatcher,
        suspects: SuspectTable,
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._rates = rates
        self._loans = loans
        self._suspects = suspects
        self._log = log
        self._rng = rng
        self._clock = clock
        self._splitter = Splitter()

    async def admit(self, req: SteerRequest) -> RequestContext:
        """Return a request's context: route, account, service and body.

        Raise `RequestRejected` if the request is rejected.
        """
        view = self._view()
        if view is None:
            raise RequestRejected(
                Code.CONFIG_STALE,
                "no deployment is known yet",
                retry_after_s=NO_VIEW_RETRY_AFTER_S,
            )
        route = view.find_route(req.host, req.path)
        if route is None:
            raise RequestRejected(Code.NO_ROUTE, f"{req.host}{req.path}")
        account = self._find_account(req, view, route)
        left_s = route.timeout_s
        if req.time_left_s is not None:
            left_s = min(left_s, req.time_left_s)
        borrowed = account is not None and await self._spend_token(
            account, left_s
        )
        ctx = RequestContext(
            req,
            view,
            route,
            account,
            self._splitter.choose(route),
            b"",
            req.arrived_at_s + left_s,
            b"",
        )
        self._log.emit(
            Event.REQUEST_ADMITTED,
            request=req.request_id,
            route=route.name,
            service=ctx.service,
            account=ctx.account_name,
            borrowed=borrowed,
            left_s=round(left_s, 3),
            version=view.deployment.version,
            revision=view.revision,
        )
        if req.has_body:
            ctx.body = await self._read_body_in_time(ctx)
        body = ctx.body if isinstance(ctx.body, bytes) else b""
        ctx.request_fingerprint = fingerprint_request(
            account.name if account else "", req.method, req.target, body
        )
        if self._suspects.is_quarantined(
            ctx.request_fingerprint, self._clock()
        ):
            raise RequestRejected(
                Code.QUARANTINED, "targets failed during this request"
            )
        return ctx

    async def _read_body_in_time(
        self, ctx: RequestContext
    ) -> bytes | AsyncIterator[bytes]:
        """Return a request's body; raise `RequestRejected` at its deadline."""
        left_s = max(0.0, ctx.deadline_s - self._clock())
        try:
            async with asyncio.timeout(left_s):
                return await _read_body(ctx.req.body)
        except TimeoutError:
            raise RequestRejected(
                Code.BODY_TOO_SLOW, "the body was incomplete at the deadline"
            ) from None

    async def _spend_token(self, account: Account, left_s: float) -> bool:
        """Spend an account's token; raise `RequestRejected` for lack of one.

        Return whether the token was borrowed.
        """
        wait_s = self._rates.admit(account, self._clock())
        must_borrow = wait_s > 0 and self._rates.expects_leader(self._clock())
        if must_borrow:
            wait_s = await self._loans.borrow(account.name, left_s)
        if wait_s > 0:
            fraction = self._rates.quota_fraction(account.name, self._clock())
            reason = (
                "token pool empty"
                if must_borrow
                else "no leader to borrow from"
            )
            raise RequestRejected(
                Code.RATE_EXCEEDED,
                f"{account.name}: quota fraction {fraction:.3f} of "
                f"{account.rate_per_s}/s, {reason}",
                retry_after_s=retry_after_s(wait_s, self._rng),
            )
        return must_borrow

    def _find_account(
        self, req: SteerRequest, view: View, route: Route
    ) -> Account | None:
        account = view.find_account(req.key)
        if route.is_open or not view.deployment.has_accounts:
            return account
        if account is None:
            missing = req.key is None
            raise RequestRejected(
                Code.KEY_MISSING if missing else Code.KEY_UNKNOWN,
                f"version {view.deployment.version}",
            )
        return account


async def _read_body(
    body: AsyncIterator[bytes],
) -> bytes | AsyncIterator[bytes]:
    """Return a body as bytes, or as a stream if it is too large to buffer."""
    chunks: list[bytes] = []
    size = 0
    async for chunk in body:
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BODY_BYTES:
            return _chain_chunks(chunks, body)
    return b"".join(chunks)


async def _chain_chunks(
    buffered: list[bytes], remaining: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for buffered_chunk in buffered:
        yield buffered_chunk
    async for chunk in remaining:
        yield chunk
