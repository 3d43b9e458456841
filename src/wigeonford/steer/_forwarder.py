"""Serve a request: admit it, choose targets, make attempts."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import random
import time
from typing import Final

from wigeonford.errors import Code, code_of, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import Response
from wigeonford.leases import AttemptBudget
from wigeonford.messages.steering import EntryStatus
from wigeonford.metrics import Metrics
from wigeonford.settings import RetryBounds
from wigeonford.steer._admission import Admission, build_draining_error
from wigeonford.steer._attempt import (
    Attempt,
    AttemptResult,
    Outcome,
    TargetConnections,
    UNRUN,
    UNSENT,
)
from wigeonford.steer._attempt_observer import AttemptObserver, SentAttempt
from wigeonford.steer._crash_watch import CrashWatch
from wigeonford.steer._loans import LoanBatcher
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._relay import RelaySender
from wigeonford.steer._relay_wire import RelayOrder
from wigeonford.steer._request import RelayResult, RequestContext, SteerRequest
from wigeonford.steer._retry_after import retry_after_s
from wigeonford.steer._shutdown import NO_SHUTDOWN, ShutdownPlan
from wigeonford.steer._target_choice import TargetChooser
from wigeonford.steer._target_limits import TargetLimits
from wigeonford.steer._target_records import TargetRecord, TargetRecords
from wigeonford.steer._view import View
from wigeonford.suspects import SuspectTable

RETRY_RATIO_FRACTION: Final = 0.5
"""Fraction of the fleet's retry ratio that a request earns. What the requests
of the window before have earned may be spent at once."""
RETRY_SLACK_FRACTION: Final = 0.4
"""Fraction of the fleet's retry slack that the reserves of all entry VMs add
up to."""
MAX_UNREACHED_TARGETS: Final = 4
"""Targets and entry VMs that may be unreachable or removed before a request is
rejected."""
CRASH_WITNESSES: Final = 2
"""Targets near one that crashed that are asked for a connection; one of them
may have crashed at the same moment."""
_OTHER_RELAY_CODES: Final = frozenset(
    {Code.RELAY_UNREACHED, Code.DRAINING, Code.CONFIG_STALE}
)
"""Rejections by another entry VM that say nothing of the others."""


class Forwarder:
    """Serve requests by forwarding them to targets.

    The state is this VM's own; the pure modules of this package make the
    decisions.
    """

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        view: Callable[[], View | None],
        entries: Callable[[], Mapping[str, EntryStatus]],
        target_records: TargetRecords,
        target_limits: TargetLimits,
        rates: AccountRates,
        loans: LoanBatcher,
        suspects: SuspectTable,
        target_connections: TargetConnections,
        retry_bounds: RetryBounds,
        metrics: Metrics,
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        is_in_contact: Callable[[], bool] = lambda: True,
        relay: RelaySender | None = None,
    ) -> None:
        self._relay = relay
        self._view = view
        self._entries = entries
        self._target_connections = target_connections
        self._observer = AttemptObserver(
            target_records,
            target_limits,
            target_connections,
            metrics,
            log,
            clock,
        )
        self._crash_watch = CrashWatch(
            suspects,
            target_connections,
            metrics,
            log,
            clock,
            lambda record: target_records.pick_witnesses(
                record, CRASH_WITNESSES, rng
            ),
            *(() if relay is None else (relay.is_reached_elsewhere,)),
        )
        self._admission = Admission(
            view,
            rates,
            loans,
            self._observer.stats_of,
            log,
            rng,
            clock,
            is_in_contact,
        )
        self._retry_bounds = retry_bounds
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._clock = clock
        self._chooser = TargetChooser(
            status,
            view,
            entries,
            target_records,
            target_limits,
            self._observer.stats_of,
            clock,
        )
        self._retry_budgets: dict[str, AttemptBudget] = {}
        self._shutdown = NO_SHUTDOWN
        self._unfinished: set[asyncio.Timeout] = set()
        self._unanswered: dict[asyncio.Timeout, RequestContext] = {}

    def drop_removed_targets(self, view: View) -> None:
        """Drop the state of targets that a new view removed or replaced."""
        self._chooser.drop_removed_targets(view)

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Reject what can't be finished from now on."""
        self._shutdown = plan
        self._admission.begin_shutdown(plan)

    def end_unfinished(self) -> int:
        """Answer the requests that are left at the end of a shutdown.

        Return how many there are.
        """
        for limit in self._unfinished:
            if not limit.expired():
                limit.reschedule(self._clock())
        return len(self._unfinished)

    async def close(self) -> None:
        """End the background tasks."""
        await self._crash_watch.close()

    async def forward(self, req: SteerRequest) -> Response:
        """Return a target's response; raise `RequestRejected`."""
        _, response = await self._serve(req, self._admission.admit(req))
        return response

    async def forward_relayed(
        self, req: SteerRequest, order: RelayOrder
    ) -> tuple[Response, RelayResult]:
        """Return a target's response to a request of another entry VM.

        The request is not passed on to a third one. Raise `RequestRejected`.
        """
        ctx, response = await self._serve(
            req, self._admission.admit_relayed(req, order)
        )
        return response, RelayResult(sent=ctx.sent, target_id=ctx.target_id)

    async def _serve(
        self, req: SteerRequest, admission: Awaitable[RequestContext]
    ) -> tuple[RequestContext, Response]:
        began_s = self._clock()
        ctx: RequestContext | None = None
        try:
            async with asyncio.timeout(None) as limit:
                self._unfinished.add(limit)
                try:
                    ctx = await admission
                    response = await self._run_attempts(ctx)
                finally:
                    self._unfinished.discard(limit)
        except RequestRejected as exc:
            self._record_rejection(req, ctx, exc)
            raise
        except TimeoutError:
            if not limit.expired():
                raise
            error = _build_shutdown_error(ctx)
            self._record_rejection(req, ctx, error)
            raise error from None
        except (asyncio.CancelledError, ConnectionResetError):
            is_closed_here = self._clock() >= self._shutdown.close_at_s
            self._log.emit(
                Event.REQUEST_FAILED,
                request=req.request_id,
                reason="this VM closed the connection at the end of its stop"
                if is_closed_here
                else "the caller left",
                sent=ctx.sent if ctx else 0,
            )
            raise
        self._metrics.observe_request(
            ctx.account.name if ctx.account else "",
            ctx.route.kind.value,
            self._clock() - began_s,
        )
        return ctx, response

    def _record_rejection(
        self,
        req: SteerRequest,
        ctx: RequestContext | None,
        exc: RequestRejected,
    ) -> None:
        exc.sent = ctx.sent if ctx else 0
        account = ctx.account if ctx else None
        self._metrics.count_result(
            account.name if account else "", exc.code.number
        )
        view = self._view()
        self._log.emit(
            Event.REQUEST_FAILED,
            request=req.request_id,
            code=exc.code.number,
            reason=exc.code.name,
            detail=exc.detail,
            run=exc.run_state.value,
            retry_after_s=exc.retry_after_s,
            route=ctx.route.name if ctx else None,
            service=ctx.service if ctx else None,
            account=account.name if account else None,
            sent=ctx.sent if ctx else 0,
            tried=sorted(ctx.tried) if ctx else [],
            relays=sorted(ctx.relays) if ctx else [],
            revision=view.revision if view else None,
            version=view.deployment.version if view else None,
            took_s=round(self._clock() - req.arrived_at_s, 3),
        )

    async def _run_attempts(self, ctx: RequestContext) -> Response:
        if not ctx.relay_origin:
            self._retry_budget_of(ctx.service).earn(self._clock())
        try:
            while self._clock() < ctx.deadline_s:
                response = await self._make_attempt(ctx)
                if response is not None:
                    return response
        except TimeoutError:
            raise self._build_timeout_error(ctx) from None
        except RequestRejected as exc:
            if not ctx.is_attempt_running:
                raise
            # The caller's body broke off after a target got a part of it.
            raise RequestRejected(
                exc.code, exc.detail, run_state=RunState.UNKNOWN
            ) from exc
        raise self._build_timeout_error(ctx)

    def _build_timeout_error(self, ctx: RequestContext) -> RequestRejected:
        if ctx.is_attempt_running or ctx.may_have_run:
            return RequestRejected(Code.ANSWER_TIMEOUT, ctx.detail)
        return RequestRejected(
            Code.NO_CAPACITY, ctx.detail or "the time limit has passed"
        )

    async def _make_attempt(self, ctx: RequestContext) -> Response | None:
        """Make an attempt; return the response, None to try again.

        It is made through another entry VM if this one reaches no target. Once
        some were asked in vain, nothing is gained by trying targets here.
        """
        if self._relay is not None and self._relay.should_relay(ctx):
            via = self._relay.choose(ctx)
            if via is not None:
                return await self._make_relayed_attempt(ctx, via)
            if ctx.relays:
                raise self._build_rejection(ctx)
        await self._require_no_quarantine(ctx)
        choice = self._chooser.choose(ctx)
        if choice is None:
            if self._relay is not None and self._chooser.has_unreached(ctx):
                via = self._relay.choose(ctx)
                if via is not None:
                    return await self._make_relayed_attempt(ctx, via)
            raise self._build_rejection(ctx)
        self._check_can_finish(ctx, choice.wait_s, choice.work_s)
        record = choice.record
        began_s = self._clock()
        ctx.tried.add(record.target_id)
        was_warm = ctx.req.object_id in record.warm_objects
        record.in_flight += 1
        sent_attempt = SentAttempt(
            record, began_s, record.load(began_s), was_warm
        )
        limit_per_s = self._chooser.spend_tokens(record)
        self._log.emit(
            Event.REQUEST_PLACED,
            request=ctx.req.request_id,
            target=record.target_id,
            route=ctx.route.name,
            account=ctx.account_name,
            attempt=ctx.sent + ctx.unreached_count + 1,
            load=round(sent_attempt.load, 1),
            wait_s=round(choice.wait_s, 3),
            work_s=round(choice.work_s, 3),
            why=choice.role,
            limit_per_s=limit_per_s,
            revision=ctx.view.revision,
        )
        running_since_s = self._observer.stats_of(ctx.route).running_since_s
        running_since_s[id(ctx)] = began_s
        flight = self._crash_watch.begin(record, ctx.request_fingerprint)
        attempt = Attempt(
            ctx.req,
            record,
            ctx.account_name,
            ctx.body,
            ctx.deadline_s,
            lambda: (
                limit_per_s is not None or not self._chooser.is_limited(record)
            ),
            ctx.begin_sending,
            self._relay is not None and self._relay.needs_proof(ctx),
        )
        try:
            result, is_cut = await self._send_unless_cut(ctx, attempt)
        except BaseException as exc:
            if ctx.is_attempt_running:
                self._crash_watch.abandon(flight, record)
            else:
                self._crash_watch.withdraw(flight)
            self._log.emit(
                Event.ATTEMPT_ABANDONED,
                request=ctx.req.request_id,
                fingerprint=ctx.request_fingerprint.hex(),
                target=record.target_id,
                detail=type(exc).__name__,
                took_s=round(self._clock() - began_s, 3),
            )
            raise
        finally:
            record.in_flight -= 1
            del running_since_s[id(ctx)]
        ctx.is_attempt_running = False
        self._observer.record_attempt(ctx, sent_attempt, result)
        ctx.may_have_run |= result.outcome is Outcome.BROKEN
        if is_cut:
            self._crash_watch.withdraw(flight)
        else:
            await self._crash_watch.settle(flight, record, result)
        ctx.has_paid_retry = is_cut and not ctx.relay_origin
        response = self._handle_result(ctx, record, result, began_s)
        if response is None or isinstance(response.body, bytes):
            return response
        stream = self._crash_watch.watch_stream(
            flight,
            record,
            response.status,
            self._observer.time_stream(ctx.route, response.body, began_s),
        )
        return Response(response.status, response.headers, stream)

    async def _send_unless_cut(
        self, ctx: RequestContext, attempt: Attempt
    ) -> tuple[AttemptResult, bool]:
        """Return an attempt's result; tell if `repeat_unanswered` ended it.

        Raise `TimeoutError` if the time limit passes before the response.
        """
        try:
            async with asyncio.timeout(None) as limit:
                self._unanswered[limit] = ctx
                try:
                    return await self._target_connections.send(attempt), False
                finally:
                    del self._unanswered[limit]
        except TimeoutError:
            if not limit.expired():
                raise
            detail = "this VM reaches no target"
            return AttemptResult(Outcome.BROKEN, detail=detail), True

    def repeat_unanswered(self) -> None:
        """End the attempts that can be made again through other entry VMs.

        The retry budget pays for them at once; what it doesn't cover waits on,
        as its response may still arrive. The VM of origin repeats a request
        that it relayed.
        """
        for limit, ctx in self._unanswered.items():
            if limit.expired() or not self._is_repeatable(ctx):
                continue
            if ctx.relay_origin or self._retry_budget_of(ctx.service).spend(
                self._clock()
            ):
                limit.reschedule(asyncio.get_running_loop().time())

    def _is_repeatable(self, ctx: RequestContext) -> bool:
        return (
            ctx.route.kind.is_idempotent
            and isinstance(ctx.body, bytes)
            and ctx.sent + 1 < ctx.route.attempts
        )

    def _check_can_finish(
        self, ctx: RequestContext, wait_s: float = 0.0, work_s: float = 0.0
    ) -> None:
        """Raise `RequestRejected` if a request would outlast the shutdown."""
        try:
            self._admission.check_can_finish(
                ctx.route, ctx.deadline_s, wait_s, work_s
            )
        except RequestRejected:
            if ctx.may_have_run:
                raise self._build_rejection(ctx) from None
            raise

    async def _make_relayed_attempt(
        self, ctx: RequestContext, via: TargetRecord
    ) -> Response | None:
        """Have another entry VM make attempts; return None to try again."""
        assert self._relay is not None, "a relay was chosen"
        self._check_can_finish(ctx)
        began_s = self._clock()
        self._log.emit(
            Event.REQUEST_RELAYED,
            request=ctx.req.request_id,
            via=via.target_id,
            route=ctx.route.name,
            account=ctx.account_name,
            unreached=ctx.not_reached_count,
            in_flight=via.in_flight,
        )
        result = await self._relay.send(ctx, via)
        ctx.is_attempt_running = False
        self._metrics.relayed.inc({"outcome": result.outcome.value})
        relayed = result.facts.relayed if result.facts else None
        if relayed is None:
            if result.outcome is Outcome.BROKEN:
                ctx.may_have_run = True
            return self._handle_result(ctx, via, result, began_s)
        ctx.sent = relayed.sent
        if not relayed.is_rejected:
            self._relay.record_served(relayed.target_id)
            return self._handle_result(ctx, via, result, began_s)
        ctx.detail = f"{via.target_id}: {relayed.detail}"
        self._log.emit(
            Event.ATTEMPT_FAILED,
            request=ctx.req.request_id,
            via=via.target_id,
            code=relayed.code,
            run=relayed.run_state.value,
            detail=relayed.detail,
            took_s=round(self._clock() - began_s, 3),
        )
        code = code_of(relayed.code)
        if code in _OTHER_RELAY_CODES and relayed.run_state is (
            RunState.NOT_RUN
        ):
            if code is Code.RELAY_UNREACHED:
                self._relay.record_unreached(ctx, via)
            if isinstance(ctx.body, bytes):
                return None
            code = Code.NO_CAPACITY
        if relayed.run_state is not RunState.NOT_RUN:
            ctx.may_have_run = True
            if self._may_repeat(ctx, is_unrun=False):
                return None
        if ctx.may_have_run:
            raise self._build_rejection(ctx)
        raise RequestRejected(
            code,
            ctx.detail,
            retry_after_s=relayed.retry_after_s,
            run_state=relayed.run_state,
        )

    async def _require_no_quarantine(self, ctx: RequestContext) -> None:
        """Raise `RequestRejected` for a request that has to wait."""
        standing = self._crash_watch.standing(ctx.request_fingerprint)
        if standing.wait_s <= 0:
            if await self._crash_watch.may_try(ctx.request_fingerprint):
                return
            standing = self._crash_watch.standing(ctx.request_fingerprint)
        crashes = standing.describe_crashes(self._clock())
        detail = f"request {ctx.request_fingerprint.hex()}: {crashes}"
        if ctx.may_have_run:
            raise RequestRejected(
                Code.ANSWER_BROKEN, detail, run_state=RunState.UNKNOWN
            )
        raise RequestRejected(
            Code.QUARANTINED, detail, retry_after_s=standing.wait_s
        )

    def _handle_result(
        self,
        ctx: RequestContext,
        record: TargetRecord,
        result: AttemptResult,
        began_s: float,
    ) -> Response | None:
        """Return the response, None to try again; raise `RequestRejected`."""
        if result.outcome in UNSENT:
            ctx.unreached_count += 1
            ctx.not_reached_count += result.outcome is Outcome.NOT_SENT
        elif result.facts is None or result.facts.relayed is None:
            ctx.sent += 1
        ctx.detail = f"{record.target_id}: {result.detail}"
        if result.outcome is Outcome.ANSWERED:
            assert result.response is not None, "ANSWERED has a response"
            ctx.target_id = record.target_id
            self._log.emit(
                Event.REQUEST_ANSWERED,
                request=ctx.req.request_id,
                target=record.target_id,
                status=result.response.status,
                took_s=round(self._clock() - began_s, 3),
                since_arrival_s=round(self._clock() - ctx.req.arrived_at_s, 3),
            )
            return result.response
        self._log.emit(
            Event.ATTEMPT_FAILED,
            request=ctx.req.request_id,
            fingerprint=ctx.request_fingerprint.hex(),
            target=record.target_id,
            outcome=result.outcome.value,
            detail=result.detail,
            reused=result.reused,
            took_s=round(self._clock() - began_s, 3),
        )
        if not self._may_retry(ctx, result):
            raise self._build_rejection(ctx)
        return None

    def _may_retry(self, ctx: RequestContext, result: AttemptResult) -> bool:
        """Return whether another attempt is allowed, and spend its budget."""
        if result.outcome in UNSENT:
            return ctx.unreached_count < MAX_UNREACHED_TARGETS
        if ctx.has_paid_retry:
            ctx.has_paid_retry = False
            return True
        return self._may_repeat(ctx, is_unrun=result.outcome in UNRUN)

    def _may_repeat(self, ctx: RequestContext, *, is_unrun: bool) -> bool:
        """Return whether a target may get a request again; spend a retry."""
        if not isinstance(ctx.body, bytes):
            return False
        if not is_unrun and not ctx.route.kind.is_idempotent:
            return False
        if ctx.sent >= ctx.route.attempts:
            return False
        stats = self._observer.stats_of(ctx.route)
        if ctx.deadline_s - self._clock() < stats.warm_s:
            return False
        return self._retry_budget_of(ctx.service).spend(self._clock())

    def _build_rejection(self, ctx: RequestContext) -> RequestRejected:
        """Return the error for a request that gets no further attempt."""
        if ctx.may_have_run:
            return RequestRejected(
                Code.ANSWER_BROKEN,
                ctx.detail,
                run_state=RunState.UNKNOWN,
            )
        targets = self._chooser.count_targets(ctx)
        wait_s = self._chooser.capacity_wait_s(ctx)
        code = Code.NO_CAPACITY if targets else Code.NO_TARGET
        if ctx.relay_origin and self._chooser.has_unreached(ctx):
            code = Code.RELAY_UNREACHED
        return RequestRejected(
            code,
            ctx.detail or f"{targets} targets accept requests",
            retry_after_s=retry_after_s(wait_s, self._rng),
        )

    def _retry_budget_of(self, service: str) -> AttemptBudget:
        """Return a service's budget, with this VM's part of the reserve."""
        bounds = self._retry_bounds
        vm_count = max(1, len(self._entries()))
        reserve = max(1.0, bounds.slack * RETRY_SLACK_FRACTION / vm_count)
        budget = self._retry_budgets.get(service)
        if budget is None:
            ratio = bounds.ratio * RETRY_RATIO_FRACTION
            budget = self._retry_budgets[service] = AttemptBudget(
                ratio, reserve, bounds.window_s
            )
        budget.limit_reserve(reserve)
        return budget


def _build_shutdown_error(ctx: RequestContext | None) -> RequestRejected:
    """Return the error for a request that a shutdown ends."""
    if ctx is not None and (ctx.is_attempt_running or ctx.may_have_run):
        return RequestRejected(
            Code.ANSWER_TIMEOUT, "the target was at work when this VM stopped"
        )
    return build_draining_error("this VM stops")
