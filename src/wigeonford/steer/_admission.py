"""Admit requests: check route, key and rate, read the body."""

import asyncio
from collections.abc import AsyncIterator, Callable
import random
from typing import Final

from wigeonford._tasks import boot_time_s
from wigeonford.deployment import Account, Route, Splitter
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import Event, EventLog
from wigeonford.steer._loans import LoanBatcher
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._relay_wire import RelayOrder
from wigeonford.steer._request import RequestContext, SteerRequest
from wigeonford.steer._retry_after import retry_after_s
from wigeonford.steer._route_stats import RouteStats
from wigeonford.steer._shutdown import (
    DRAINING_RETRY_AFTER_S,
    expected_s,
    NO_SHUTDOWN,
    ShutdownPlan,
)
from wigeonford.steer._view import View
from wigeonford.suspects import request_fingerprint

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
        stats_of: Callable[[Route], RouteStats],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
        is_in_contact: Callable[[], bool] = lambda: True,
        lease_clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._view = view
        self._is_in_contact = is_in_contact
        self._rates = rates
        self._loans = loans
        self._stats_of = stats_of
        self._log = log
        self._rng = rng
        self._clock = clock
        self._lease_clock = lease_clock
        self._splitter = Splitter()
        self._shutdown = NO_SHUTDOWN
        self._body_limits: dict[asyncio.Timeout, RequestContext] = {}

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Reject what can't be finished, also once its body is awaited."""
        self._shutdown = plan
        for limit, ctx in self._body_limits.items():
            if not limit.expired():
                limit.reschedule(self._body_due_s(ctx))

    def check_can_finish(
        self,
        route: Route,
        deadline_s: float,
        wait_s: float = 0.0,
        work_s: float = 0.0,
    ) -> None:
        """Raise `RequestRejected` if a request would outlast the shutdown."""
        if self._shutdown is NO_SHUTDOWN:
            return
        now_s = self._clock()
        needed_s = expected_s(
            self._stats_of(route), route.timeout_s, now_s, wait_s, work_s
        )
        if not self._shutdown.can_finish(now_s, needed_s, deadline_s):
            raise build_draining_error(
                f"a request of {route.name} may take {needed_s:.1f} s"
            )

    async def admit(self, req: SteerRequest) -> RequestContext:
        """Return a request's context: route, account, service and body.

        Raise `RequestRejected` if the request is rejected.
        """
        view = self._view()
        if view is None:
            raise _build_stale_error("no deployment is known yet")
        route = view.find_route(req.host, req.path)
        if route is None:
            raise self._build_denial(
                Code.NO_ROUTE, f"{req.host}{req.path}", view
            )
        account = self._find_account(req, view, route)
        left_s = _time_left_s(req, route)
        deadline_s = req.arrived_at_s + left_s
        self.check_can_finish(route, deadline_s)
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
            deadline_s,
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
        await self._read_request(ctx)
        return ctx

    async def admit_relayed(
        self, req: SteerRequest, order: RelayOrder
    ) -> RequestContext:
        """Return the context of a request that another entry VM admitted.

        Raise `RequestRejected` if this VM knows another deployment.
        """
        view = self._view()
        if view is None:
            raise _build_stale_error("no deployment is known yet")
        route = view.find_route(req.host, req.path)
        account = view.find_account_named(order.account)
        if (
            route is None
            or route.name != order.route
            or order.service not in route.services
            or (account is None and order.account is not None)
        ):
            raise _build_stale_error(
                f"{order.route} of {order.origin} is unknown in version "
                f"{view.deployment.version}"
            )
        left_s = _time_left_s(req, route)
        deadline_s = req.arrived_at_s + left_s
        self.check_can_finish(route, deadline_s)
        ctx = RequestContext(
            req,
            view,
            route,
            account,
            order.service,
            b"",
            deadline_s,
            b"",
            sent=order.sent,
            relay_origin=order.origin,
        )
        self._log.emit(
            Event.REQUEST_ADMITTED,
            request=req.request_id,
            route=route.name,
            service=ctx.service,
            account=ctx.account_name,
            origin=order.origin,
            left_s=round(left_s, 3),
            version=view.deployment.version,
            revision=view.revision,
        )
        await self._read_request(ctx)
        return ctx

    async def _read_request(self, ctx: RequestContext) -> None:
        """Read a request's body, and name the request by all of it."""
        req = ctx.req
        buffered = b""
        if req.has_body:
            ctx.body, buffered = await self._read_body_in_time(ctx)
        ctx.request_fingerprint = request_fingerprint(
            ctx.account_name or "",
            req.method,
            f"{req.host}{req.target}",
            buffered,
        )

    async def _read_body_in_time(
        self, ctx: RequestContext
    ) -> tuple[bytes | AsyncIterator[bytes], bytes]:
        """Return a request's body, and its beginning.

        Raise `RequestRejected` at the request's deadline.
        """
        try:
            async with asyncio.timeout_at(self._body_due_s(ctx)) as limit:
                self._body_limits[limit] = ctx
                try:
                    return await _read_body(ctx.req.body)
                finally:
                    del self._body_limits[limit]
        except TimeoutError:
            if self._clock() < ctx.deadline_s:
                raise build_draining_error(
                    "the body was incomplete when it had to be sent"
                ) from None
            raise RequestRejected(
                Code.BODY_TOO_SLOW, "the body was incomplete at the deadline"
            ) from None

    def _body_due_s(self, ctx: RequestContext) -> float:
        """Return until when the body must have been read."""
        if self._shutdown is NO_SHUTDOWN:
            return ctx.deadline_s
        route = ctx.route
        needed_s = expected_s(
            self._stats_of(route), route.timeout_s, self._clock()
        )
        return self._shutdown.send_by_s(needed_s, ctx.deadline_s)

    async def _spend_token(self, account: Account, left_s: float) -> bool:
        """Spend an account's token; raise `RequestRejected` for lack of one.

        Return whether the token was borrowed.
        """
        now_s = self._lease_clock()
        wait_s = self._rates.admit(account, now_s)
        must_borrow = wait_s > 0 and self._rates.expects_leader(now_s)
        if must_borrow:
            wait_s = await self._loans.borrow(account.name, left_s)
        if wait_s > 0:
            fraction = self._rates.quota_fraction(
                account.name, self._lease_clock()
            )
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
            code = Code.KEY_MISSING if req.key is None else Code.KEY_UNKNOWN
            raise self._build_denial(code, route.name, view)
        return account

    def _build_denial(
        self, code: Code, detail: str, view: View
    ) -> RequestRejected:
        """Return the error for a request that the deployment doesn't allow.

        Without contact to control, a newer deployment may allow it.
        """
        detail = f"{detail}, version {view.deployment.version}"
        if self._is_in_contact():
            return RequestRejected(code, detail)
        return _build_stale_error(
            f"{code.name} without contact to control: {detail}"
        )


def _time_left_s(req: SteerRequest, route: Route) -> float:
    if req.time_left_s is None:
        return route.timeout_s
    return min(route.timeout_s, req.time_left_s)


def _build_stale_error(detail: str) -> RequestRejected:
    return RequestRejected(
        Code.CONFIG_STALE, detail, retry_after_s=NO_VIEW_RETRY_AFTER_S
    )


def build_draining_error(detail: str) -> RequestRejected:
    """Return the error for a request that was not sent before the stop."""
    return RequestRejected(
        Code.DRAINING, detail, retry_after_s=DRAINING_RETRY_AFTER_S
    )


async def _read_body(
    body: AsyncIterator[bytes],
) -> tuple[bytes | AsyncIterator[bytes], bytes]:
    """Return a body, as a stream if it is too large to buffer.

    Return its first `MAX_BUFFERED_BODY_BYTES` too, however it was cut.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in body:
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BODY_BYTES:
            beginning = b"".join(chunks)[:MAX_BUFFERED_BODY_BYTES]
            return _chain_chunks(chunks, body), beginning
    whole = b"".join(chunks)
    return whole, whole


async def _chain_chunks(
    buffered: list[bytes], remaining: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for buffered_chunk in buffered:
        yield buffered_chunk
    async for chunk in remaining:
        yield chunk
