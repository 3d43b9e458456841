"""Admit requests: route, key, rate, body."""

import asyncio
from collections.abc import AsyncIterator, Callable
import random
from typing import Final

from wigeonford.deployment import Account, Route, Splitter
from wigeonford.errors import Code, RequestRefused
from wigeonford.events import Event, EventLog
from wigeonford.steer._loans import Loans
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._retry_after import retry_after_s
from wigeonford.steer._suspects import fingerprint, SuspectBook
from wigeonford.steer._view import View
from wigeonford.steer._work import Work

HELD_BODY_BYTES: Final = 1 << 20
"""Bodies up to this size are read whole, so that they can be sent again."""
UNKNOWN_VIEW_RETRY_S: Final = 0.5
"""A starting VM knows the deployment by then."""


class Admission:
    """Check what a request may do before a target is looked for."""

    def __init__(
        self,
        view: Callable[[], View | None],
        rates: AccountRates,
        loans: Loans,
        suspects: SuspectBook,
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

    async def admit(self, req: SteerRequest) -> Work:
        """Return a request with its route, account, service and body.

        Raise `RequestRefused` where it may not go on.
        """
        view = self._view()
        if view is None:
            raise RequestRefused(
                Code.CONFIG_STALE,
                "no deployment is known yet",
                retry_after_s=UNKNOWN_VIEW_RETRY_S,
            )
        route = view.find_route(req.host, req.path)
        if route is None:
            raise RequestRefused(Code.NO_ROUTE, f"{req.host}{req.path}")
        account = self._find_account(req, view, route)
        left_s = route.timeout_s
        if req.time_left_s is not None:
            left_s = min(left_s, req.time_left_s)
        borrowed = account is not None and await self._spend(account, left_s)
        work = Work(
            req,
            view,
            route,
            account,
            self._splitter.choose(route),
            b"",
            req.arrived_s + left_s,
            b"",
        )
        self._log.emit(
            Event.REQUEST_ADMITTED,
            request=req.request_id,
            route=route.name,
            service=work.service,
            account=work.account_name,
            borrowed=borrowed,
            left_s=round(left_s, 3),
            version=view.deployment.version,
            revision=view.revision,
        )
        if req.has_body:
            work.body = await self._read_in_time(work)
        body = work.body if isinstance(work.body, bytes) else b""
        work.print_ = fingerprint(
            account.name if account else "", req.method, req.target, body
        )
        if self._suspects.is_barred(work.print_, self._clock()):
            raise RequestRefused(
                Code.QUARANTINED, "targets failed under this request"
            )
        return work

    async def _read_in_time(self, work: Work) -> bytes | AsyncIterator[bytes]:
        """Return a request's body; raise `RequestRefused` at its deadline."""
        left_s = max(0.0, work.deadline_s - self._clock())
        try:
            async with asyncio.timeout(left_s):
                return await _read_body(work.req.body)
        except TimeoutError:
            raise RequestRefused(
                Code.BODY_TOO_SLOW, "not whole at the deadline"
            ) from None

    async def _spend(self, account: Account, left_s: float) -> bool:
        """Spend a token of an account; raise `RequestRefused`.

        Return whether it was borrowed.
        """
        after_s = self._rates.admit(account, self._clock())
        borrows = after_s > 0 and self._rates.expects_leader(self._clock())
        if borrows:
            after_s = await self._loans.borrow(account.name, left_s)
        if after_s > 0:
            part = self._rates.part(account.name, self._clock())
            how = "pool empty" if borrows else "nothing to borrow"
            raise RequestRefused(
                Code.RATE_EXCEEDED,
                f"{account.name}: part {part:.3f} of "
                f"{account.rate_per_s}/s, {how}",
                retry_after_s=retry_after_s(after_s, self._rng),
            )
        return borrows

    def _find_account(
        self, req: SteerRequest, view: View, route: Route
    ) -> Account | None:
        account = view.find_account(req.key)
        if route.is_open or not view.deployment.has_accounts:
            return account
        if account is None:
            missing = req.key is None
            raise RequestRefused(
                Code.KEY_MISSING if missing else Code.KEY_UNKNOWN,
                f"version {view.deployment.version}",
            )
        return account


async def _read_body(
    body: AsyncIterator[bytes],
) -> bytes | AsyncIterator[bytes]:
    """Return a body read whole, or as a stream where it is large."""
    parts: list[bytes] = []
    size = 0
    async for chunk in body:
        parts.append(chunk)
        size += len(chunk)
        if size > HELD_BODY_BYTES:
            return _rejoin(parts, body)
    return b"".join(parts)


async def _rejoin(
    parts: list[bytes], rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
    async for chunk in rest:
        yield chunk
