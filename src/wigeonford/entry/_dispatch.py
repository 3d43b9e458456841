"""Dispatch: attempts at targets until one answers or none may be tried."""

import asyncio
from dataclasses import dataclass, field
import time
from typing import Final
import uuid

from wigeonford.entry._attempt import Attempts
from wigeonford.entry._decisions import Decision, DecisionRing
from wigeonford.entry._outbound import (
    AttemptFailure,
    AttemptState,
    may_retry,
    Outbound,
    refusal,
)
from wigeonford.entry._shifts import Shifts
from wigeonford.entry._slots import SlotTable
from wigeonford.entry._suspects import Suspects
from wigeonford.errors import Code, RequestRefused, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import find_header, Response
from wigeonford.invariants import Checks, Invariant
from wigeonford.leases import AttemptBudget
from wigeonford.metrics import Metrics
from wigeonford.model import Side
from wigeonford.policy import (
    Ejection,
    HEDGE_PART,
    HEDGE_RESERVE,
    RETRY_PART,
    RETRY_RESERVE,
    TargetOffer,
)

TYPICAL_QUANTILE: Final = 0.9
LATE_PART: Final = 0.05
LATE_RESERVE: Final = 1.0
MAX_ATTEMPTS: Final = 3
REQUEST_ID_HEADER: Final = b"x-request-id"
_SERVER_ERROR: Final = 500


@dataclass(slots=True)
class _Run:
    """Follow the attempts of one request."""

    outbound: Outbound
    decision: Decision
    fingerprint: bytes
    tried: set[str] = field(default_factory=set)
    fresh: bool = False
    sent: bool = False


class Dispatcher:
    """Choose targets and forward requests to them."""

    def __init__(
        self,
        slots: SlotTable,
        suspects: Suspects,
        decisions: DecisionRing,
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
        ejection: Ejection,
    ) -> None:
        self._slots = slots
        self._suspects = suspects
        self._decisions = decisions
        self._checks = checks
        self._metrics = metrics
        self._log = log
        self._attempts = Attempts(checks)
        self._shifts = Shifts(checks, log)
        self._ejection = ejection
        self._retries = AttemptBudget(RETRY_PART, RETRY_RESERVE)
        self._hedges = AttemptBudget(HEDGE_PART, HEDGE_RESERVE)
        self._late = AttemptBudget(LATE_PART, LATE_RESERVE)

    def close(self) -> None:
        """Close idle connections."""
        self._attempts.close()

    async def forward(self, outbound: Outbound) -> Response:
        """Return a target's answer; raise `RequestRefused`."""
        run = self._begin(outbound)
        try:
            response = await self._forward(run)
        except RequestRefused as exc:
            run.decision.add("refused", code=exc.code, detail=exc.detail)
            self._checks.require(
                exc.run_state is not RunState.NOT_RUN or not run.sent,
                Invariant.NOT_RUN_IS_TRUE,
                exc.detail,
            )
            raise
        run.decision.add("answered", detail=str(response.status))
        return response

    def _begin(self, outbound: Outbound) -> _Run:
        given = find_header(outbound.headers, REQUEST_ID_HEADER)
        decision = Decision(
            given or uuid.uuid4().hex,
            outbound.account,
            outbound.service.name,
            outbound.method,
            outbound.target.partition("?")[0],
            time.monotonic(),
        )
        self._decisions.add(decision)
        self._retries.earn()
        self._hedges.earn()
        return _Run(outbound, decision, outbound.fingerprint())

    async def _forward(self, run: _Run) -> Response:
        failure: AttemptFailure | None = None
        for number in range(MAX_ATTEMPTS):
            self._suspects.require_allowed(run.fingerprint, sent=run.sent)
            if number and not self._retries.spend():
                run.decision.add("retry budget spent")
                break
            try:
                return await self._attempt_hedged(run)
            except AttemptFailure as exc:
                failure = exc
                if not may_retry(run.outbound, exc):
                    break
            except RequestRefused:
                if failure is None:
                    raise
                break
        assert failure is not None, "a loop without failure returns"
        raise refusal(failure, sent=run.sent)

    async def _attempt_hedged(self, run: _Run) -> Response:
        """Make an attempt, and a second one beside it if it is slow."""
        latency = self._attempts.latency(run.outbound.service.name)
        after_s = latency.hedge_after_s() if run.outbound.hedgeable else None
        if after_s is None:
            return await self._attempt(run)
        tasks = [asyncio.create_task(self._attempt(run))]
        try:
            done, _ = await asyncio.wait(tasks, timeout=after_s)
            if not done and self._may_hedge(run):
                run.decision.add("hedged")
                tasks.append(asyncio.create_task(self._attempt(run)))
            return await _first_answer(tasks)
        finally:
            await _discard(tasks)

    def _may_hedge(self, run: _Run) -> bool:
        service = run.outbound.service.name
        side = Side.OLD if run.outbound.share is not None else None
        if self._slots.is_short(service, side):
            return False
        return self._hedges.spend()

    async def _attempt(self, run: _Run) -> Response:
        outbound = run.outbound
        side, offer = await self._acquire(run)
        if self._comes_too_late(outbound):
            self._slots.release(outbound.service.name, side, offer)
            raise RequestRefused(Code.DEADLINE_EXCEEDED, "before dispatch")
        target_id = offer.target_id
        self._checks.require(
            outbound.idempotent or not run.sent,
            Invariant.AT_MOST_ONCE,
            f"another attempt at {target_id}",
        )
        run.tried.add(target_id)
        run.decision.add("attempt", target=target_id, side=side)
        self._suspects.begin(target_id, run.fingerprint)
        started_s = time.monotonic()

        def release() -> None:
            self._suspects.end(target_id, run.fingerprint)
            self._slots.release(outbound.service.name, side, offer)

        fresh, run.fresh = run.fresh, False
        try:
            response = await self._attempts.run(
                outbound, target_id, release, fresh=fresh
            )
        except AttemptFailure as exc:
            await self._failed(run, side, target_id, exc)
            raise
        except BaseException:
            run.sent = True
            raise
        self._succeeded(run, side, target_id, response, started_s)
        return response

    def _comes_too_late(self, outbound: Outbound) -> bool:
        """Tell whether the answer would most likely miss the deadline.

        Some go out all the same, so that faster targets are noticed.
        """
        latency = self._attempts.latency(outbound.service.name)
        typical_s = latency.quantile(TYPICAL_QUANTILE)
        if typical_s is None or outbound.left_s >= typical_s:
            return False
        self._late.earn()
        return not self._late.spend()

    async def _acquire(self, run: _Run) -> tuple[Side | None, TargetOffer]:
        """Return the side in turn and a slot there, or at the old side.

        The old side never fails over to the new one, which has its cap.
        """
        side = self._shifts.next_side(run.outbound)
        if side is not Side.NEW:
            return side, await self._slot(run, side)
        try:
            return side, await self._slot(run, side)
        except RequestRefused as exc:
            run.decision.add("new side full", side=side, code=exc.code)
            return Side.OLD, await self._slot(run, Side.OLD)

    async def _slot(self, run: _Run, side: Side | None) -> TargetOffer:
        outbound = run.outbound
        if outbound.left_s <= 0:
            raise RequestRefused(Code.DEADLINE_EXCEEDED)
        service = outbound.service.name
        targets = set(self._slots.targets(service, side))
        avoid = run.tried if targets - run.tried else set()
        return await self._slots.acquire(
            service, side, frozenset(avoid), outbound.deadline_s
        )

    async def _failed(
        self,
        run: _Run,
        side: Side | None,
        target_id: str,
        exc: AttemptFailure,
    ) -> None:
        run.sent = run.sent or exc.state is AttemptState.SENT
        run.decision.add(
            exc.state.value,
            target=target_id,
            side=side,
            code=exc.code,
            detail=exc.detail,
        )
        self._count(run, exc.state)
        self._log.emit(
            Event.ATTEMPT_FAILED,
            target=target_id,
            state=exc.state.value,
            code=exc.code.number,
            detail=exc.detail,
        )
        if exc.code is Code.CONNECTION_SILENT:
            run.fresh = True
            run.tried.discard(target_id)
            return
        dead = exc.code is Code.ANSWER_BROKEN and await self._suspects.broken(
            target_id, run.fingerprint
        )
        self._shifts.observe(run.outbound, side, False, 0.0)
        if self._ejection.failed(target_id, time.monotonic(), dead=dead):
            self._log.emit(Event.TARGET_EJECTED, target=target_id)

    def _succeeded(
        self,
        run: _Run,
        side: Side | None,
        target_id: str,
        response: Response,
        started_s: float,
    ) -> None:
        self._count(run, AttemptState.ANSWERED)
        self._ejection.succeeded(target_id)
        if isinstance(response.body, bytes):
            self._suspects.clear(run.fingerprint)
        ok = response.status < _SERVER_ERROR
        latency_s = time.monotonic() - started_s
        self._shifts.observe(run.outbound, side, ok, latency_s)

    def _count(self, run: _Run, state: AttemptState) -> None:
        service = run.outbound.service.name
        self._metrics.attempts.inc(
            {"service": service, "outcome": state.value}
        )


async def _first_answer(tasks: list[asyncio.Task[Response]]) -> Response:
    """Return the first answer, else raise a failure.

    One that says how far an attempt came goes before a refusal, which
    tells nothing of the attempt beside it.
    """
    failures: list[AttemptFailure | RequestRefused] = []
    for task in asyncio.as_completed(tasks):
        try:
            return await task
        except (AttemptFailure, RequestRefused) as exc:
            failures.append(exc)
    raise min(failures, key=lambda exc: isinstance(exc, RequestRefused))


async def _discard(tasks: list[asyncio.Task[Response]]) -> None:
    """Cancel attempts that lost, which closes their connections."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
