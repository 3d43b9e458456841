"""Dispatch: try targets until one responds or no attempt is allowed."""

import asyncio
from dataclasses import dataclass, field
import time
from typing import Final
import uuid

from wigeonford.entry._attempt import AttemptRunner
from wigeonford.entry._decisions import Decision, DecisionRing
from wigeonford.entry._outbound import (
    AttemptFailure,
    AttemptState,
    build_rejection,
    may_retry,
    Outbound,
)
from wigeonford.entry._shifts import ShiftTracker
from wigeonford.entry._slots import SlotTable
from wigeonford.entry._suspects import PoisonRequests
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import find_header, Response
from wigeonford.invariants import Checks, Invariant
from wigeonford.leases import AttemptBudget
from wigeonford.metrics import Metrics
from wigeonford.model import Side
from wigeonford.policy import (
    HEDGE_FRACTION,
    HEDGE_RESERVE,
    OutlierEjector,
    RETRY_FRACTION,
    RETRY_RESERVE,
    TargetOffer,
)

EXPECTED_LATENCY_QUANTILE: Final = 0.9
"""Quantile of recent latencies that a request must have time left for."""

LATE_ATTEMPT_FRACTION: Final = 0.05
"""Fraction of the requests with too little time that are sent anyway."""

LATE_ATTEMPT_RESERVE: Final = 1.0
MAX_ATTEMPTS: Final = 3
REQUEST_ID_HEADER: Final = b"x-request-id"
_SERVER_ERROR: Final = 500


@dataclass(slots=True)
class _RequestProgress:
    """Hold the progress of one request through its attempts.

    `tried` holds the ids of the targets of earlier attempts. `sent` is true
    once a target may have received the request. `fresh` makes the next
    attempt open a new connection.
    """

    outbound: Outbound
    decision: Decision
    fingerprint: bytes
    tried: set[str] = field(default_factory=set)
    fresh: bool = False
    sent: bool = False


class Dispatcher:
    """Choose a target for each request and forward the request to it."""

    def __init__(
        self,
        slots: SlotTable,
        poison_requests: PoisonRequests,
        decisions: DecisionRing,
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
        ejector: OutlierEjector,
    ) -> None:
        self._slots = slots
        self._poison_requests = poison_requests
        self._decisions = decisions
        self._checks = checks
        self._metrics = metrics
        self._log = log
        self._attempts = AttemptRunner(checks)
        self._shifts = ShiftTracker(checks, log)
        self._ejector = ejector
        self._retries = AttemptBudget(RETRY_FRACTION, RETRY_RESERVE)
        self._hedges = AttemptBudget(HEDGE_FRACTION, HEDGE_RESERVE)
        self._late_attempts = AttemptBudget(
            LATE_ATTEMPT_FRACTION, LATE_ATTEMPT_RESERVE
        )

    def close(self) -> None:
        """Close idle connections."""
        self._attempts.close()

    async def forward(self, outbound: Outbound) -> Response:
        """Return a target's response; raise `RequestRejected`."""
        progress = self._start_request(outbound)
        try:
            response = await self._forward(progress)
        except RequestRejected as exc:
            progress.decision.add("refused", code=exc.code, detail=exc.detail)
            self._checks.require(
                exc.run_state is not RunState.NOT_RUN or not progress.sent,
                Invariant.NOT_RUN_IS_TRUE,
                exc.detail,
            )
            raise
        progress.decision.add("answered", detail=str(response.status))
        return response

    def _start_request(self, outbound: Outbound) -> _RequestProgress:
        request_id = find_header(outbound.headers, REQUEST_ID_HEADER)
        decision = Decision(
            request_id or uuid.uuid4().hex,
            outbound.account,
            outbound.service.name,
            outbound.method,
            outbound.target.partition("?")[0],
            time.monotonic(),
        )
        self._decisions.add(decision)
        self._retries.earn()
        self._hedges.earn()
        return _RequestProgress(outbound, decision, outbound.fingerprint())

    async def _forward(self, progress: _RequestProgress) -> Response:
        failure: AttemptFailure | None = None
        for attempt_index in range(MAX_ATTEMPTS):
            self._poison_requests.require_allowed(
                progress.fingerprint, sent=progress.sent
            )
            if attempt_index and not self._retries.spend():
                progress.decision.add("retry budget spent")
                break
            try:
                return await self._attempt_with_hedge(progress)
            except AttemptFailure as exc:
                failure = exc
                if not may_retry(progress.outbound, exc):
                    break
            except RequestRejected:
                if failure is None:
                    raise
                break
        assert failure is not None, "the loop returns unless an attempt failed"
        raise build_rejection(failure, sent=progress.sent)

    async def _attempt_with_hedge(
        self, progress: _RequestProgress
    ) -> Response:
        """Make an attempt, and a concurrent second one if it is slow."""
        latency = self._attempts.latency(progress.outbound.service.name)
        hedge_delay_s = (
            latency.hedge_after_s() if progress.outbound.is_hedgeable else None
        )
        if hedge_delay_s is None:
            return await self._attempt(progress)
        tasks = [asyncio.create_task(self._attempt(progress))]
        try:
            done, _ = await asyncio.wait(tasks, timeout=hedge_delay_s)
            if not done and self._may_hedge(progress):
                progress.decision.add("hedged")
                tasks.append(asyncio.create_task(self._attempt(progress)))
            return await _first_response(tasks)
        finally:
            await _cancel_attempts(tasks)

    def _may_hedge(self, progress: _RequestProgress) -> bool:
        service = progress.outbound.service.name
        side = Side.OLD if progress.outbound.share is not None else None
        if self._slots.has_waiters(service, side):
            return False
        if self._poison_requests.is_suspected(progress.fingerprint):
            return False
        return self._hedges.spend()

    async def _attempt(self, progress: _RequestProgress) -> Response:
        outbound = progress.outbound
        side, offer = await self._acquire_slot_by_side(progress)
        if self._would_miss_deadline(outbound):
            self._slots.release(outbound.service.name, side, offer)
            raise RequestRejected(
                Code.DEADLINE_EXCEEDED, "too little time left to dispatch"
            )
        target_id = offer.target_id
        self._checks.require(
            outbound.idempotent or not progress.sent,
            Invariant.AT_MOST_ONCE,
            f"repeated attempt, at target {target_id}",
        )
        progress.tried.add(target_id)
        progress.decision.add("attempt", target=target_id, side=side)
        flight = self._poison_requests.begin(target_id, progress.fingerprint)
        started_s = time.monotonic()

        def release() -> None:
            self._poison_requests.end(flight)
            self._slots.release(outbound.service.name, side, offer)

        fresh, progress.fresh = progress.fresh, False
        try:
            response = await self._attempts.run(
                outbound, target_id, release, fresh=fresh
            )
        except AttemptFailure as exc:
            await self._record_failure(progress, side, target_id, exc)
            raise
        except BaseException:
            progress.sent = True
            self._poison_requests.check_later(target_id, progress.fingerprint)
            raise
        self._record_success(progress, side, target_id, response, started_s)
        return response

    def _would_miss_deadline(self, outbound: Outbound) -> bool:
        """Return whether the response would most likely miss the deadline.

        A small fraction of such requests is sent anyway, so that the latency
        samples show when the targets become faster.
        """
        latency = self._attempts.latency(outbound.service.name)
        expected_s = latency.quantile(EXPECTED_LATENCY_QUANTILE)
        if expected_s is None or outbound.remaining_s >= expected_s:
            return False
        self._late_attempts.earn()
        return not self._late_attempts.spend()

    async def _acquire_slot_by_side(
        self, progress: _RequestProgress
    ) -> tuple[Side | None, TargetOffer]:
        """Return the side that the traffic split chose and a slot there.

        A request for the new side falls back to the old side when the new
        one has no free slot. The old side never falls back to the new one,
        because that could exceed the cap on the new side's traffic.
        """
        side = self._shifts.next_side(progress.outbound)
        if side is not Side.NEW:
            return side, await self._acquire_slot(progress, side)
        try:
            return side, await self._acquire_slot(progress, side)
        except RequestRejected as exc:
            progress.decision.add("new side full", side=side, code=exc.code)
            return Side.OLD, await self._acquire_slot(progress, Side.OLD)

    async def _acquire_slot(
        self, progress: _RequestProgress, side: Side | None
    ) -> TargetOffer:
        outbound = progress.outbound
        if outbound.remaining_s <= 0:
            raise RequestRejected(Code.DEADLINE_EXCEEDED)
        service = outbound.service.name
        targets = set(self._slots.targets(service, side))
        avoid = progress.tried if targets - progress.tried else set()
        return await self._slots.acquire(
            service, side, frozenset(avoid), outbound.deadline_s
        )

    async def _record_failure(
        self,
        progress: _RequestProgress,
        side: Side | None,
        target_id: str,
        exc: AttemptFailure,
    ) -> None:
        progress.sent = progress.sent or exc.state is AttemptState.SENT
        progress.decision.add(
            exc.state.value,
            target=target_id,
            side=side,
            code=exc.code,
            detail=exc.detail,
        )
        self._count_attempt(progress, exc.state)
        self._log.emit(
            Event.ATTEMPT_FAILED,
            target=target_id,
            state=exc.state.value,
            code=exc.code.number,
            detail=exc.detail,
        )
        if exc.code is Code.CONNECTION_SILENT:
            progress.fresh = True
            progress.tried.discard(target_id)
            return
        dead = (
            exc.code is Code.ANSWER_BROKEN
            and await self._poison_requests.check_crashed(
                target_id, progress.fingerprint
            )
        )
        self._shifts.observe(progress.outbound, side, False, 0.0)
        if self._ejector.record_failure(
            target_id, time.monotonic(), dead=dead
        ):
            self._log.emit(Event.TARGET_EJECTED, target=target_id)

    def _record_success(
        self,
        progress: _RequestProgress,
        side: Side | None,
        target_id: str,
        response: Response,
        started_s: float,
    ) -> None:
        self._count_attempt(progress, AttemptState.ANSWERED)
        self._ejector.record_success(target_id)
        if isinstance(response.body, bytes):
            self._poison_requests.clear(progress.fingerprint)
        ok = response.status < _SERVER_ERROR
        latency_s = time.monotonic() - started_s
        self._shifts.observe(progress.outbound, side, ok, latency_s)

    def _count_attempt(
        self, progress: _RequestProgress, state: AttemptState
    ) -> None:
        service = progress.outbound.service.name
        self._metrics.attempts.inc(
            {"service": service, "outcome": state.value}
        )


async def _first_response(tasks: list[asyncio.Task[Response]]) -> Response:
    """Return the first response, or raise an error if all attempts fail.

    An `AttemptFailure` takes precedence over a `RequestRejected`: it says
    whether the request was sent, while a rejection of one attempt says
    nothing about the concurrent one.
    """
    failures: list[AttemptFailure | RequestRejected] = []
    for task in asyncio.as_completed(tasks):
        try:
            return await task
        except (AttemptFailure, RequestRejected) as exc:
            failures.append(exc)
    raise min(failures, key=lambda exc: isinstance(exc, RequestRejected))


async def _cancel_attempts(tasks: list[asyncio.Task[Response]]) -> None:
    """Cancel the remaining attempts, which closes their connections."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
