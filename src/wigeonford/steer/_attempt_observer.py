"""Update the statistics of targets and routes after each attempt."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Final

import msgspec

from wigeonford.deployment import Route
from wigeonford.events import Event, EventLog
from wigeonford.http import Response
from wigeonford.metrics import Metrics
from wigeonford.steer._attempt import AttemptResult, Outcome, TargetConnections
from wigeonford.steer._request import (
    RequestContext,
    ResponseFacts,
    TargetRunState,
)
from wigeonford.steer._route_stats import RouteStats
from wigeonford.steer._target_limits import TargetLimits
from wigeonford.steer._target_records import TargetRecord, TargetRecords

FULL_PAUSE_S: Final = 0.1
"""How long a target that rejected a request as full gets no other."""
UNREADABLE_LIMIT_LOG_INTERVAL_S: Final = 10.0
"""A target that states an unreadable limit does so in each response."""
MAX_LOGGED_LIMIT_CHARS: Final = 40


class SentAttempt(msgspec.Struct, frozen=True):
    """Hold the state of a target when an attempt at it was made."""

    record: TargetRecord
    began_s: float
    load: float
    was_warm: bool


class AttemptObserver:
    """Update the records of targets and the averages of routes."""

    def __init__(
        self,
        target_records: TargetRecords,
        target_limits: TargetLimits,
        target_connections: TargetConnections,
        metrics: Metrics,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._target_records = target_records
        self._target_limits = target_limits
        self._target_connections = target_connections
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._stats: dict[str, RouteStats] = {}
        self._unreadable_logged_at_s = float("-inf")

    def stats_of(self, route: Route) -> RouteStats:
        """Return the averages of a route."""
        stats = self._stats.get(route.name)
        if stats is None:
            stats = self._stats[route.name] = RouteStats.initial(route)
        return stats

    def record_attempt(
        self, ctx: RequestContext, sent: SentAttempt, result: AttemptResult
    ) -> None:
        """Record what an attempt's result shows of its target."""
        now_s = self._clock()
        record = sent.record
        self._metrics.attempts.inc(
            {"service": ctx.service, "outcome": result.outcome.value}
        )
        if record.target_id in self._target_limits.limited_ids:
            self._metrics.limited_attempts.inc({"service": ctx.service})
        facts = result.facts
        if facts is not None:
            self._record_facts(record, facts, now_s)
            self._record_limit(sent, facts, now_s)
        if result.outcome is Outcome.WITHDRAWN:
            return
        service = ctx.view.services.get(record.announced.service)
        cold_s = service.cold_start_s if service else 0.0
        if result.outcome is Outcome.NOT_SENT:
            pause_s = record.mark_down(now_s, cold_s)
            self._log.emit(
                Event.TARGET_DOWN,
                target=record.target_id,
                pause_s=round(pause_s, 2),
                detail=result.detail,
            )
            return
        if result.outcome is Outcome.WRONG_TARGET:
            record.mark_down(now_s, cold_s)
            self._target_connections.close_idle_to(record.announced.address)
            self._log.emit(
                Event.TARGET_DOWN,
                target=record.target_id,
                detail="another target has its address",
            )
            return
        failed = result.outcome in (Outcome.BROKEN, Outcome.NOT_RUN)
        response = result.response
        if response is not None and response.status >= 500:
            failed = True
        record.record_result(failed, now_s)
        if result.outcome is Outcome.NOT_RUN:
            record.pause(FULL_PAUSE_S, now_s)
        if not failed and record.mark_up(now_s, cold_s):
            self._log.emit(Event.TARGET_BACK, target=record.target_id)
        if response is not None and not failed:
            self._record_duration(ctx, sent, response, now_s - sent.began_s)

    async def time_stream(
        self, route: Route, body: AsyncIterator[bytes], began_s: float
    ) -> AsyncIterator[bytes]:
        """Yield a streamed body; record the time until its end."""
        try:
            async for chunk in body:
                yield chunk
            took_s = self._clock() - began_s
            self.stats_of(route).record_response(took_s)
        finally:
            if isinstance(body, AsyncGenerator):
                await body.aclose()

    def _record_facts(
        self, record: TargetRecord, facts: ResponseFacts, now_s: float
    ) -> None:
        if facts.running is not None:
            record.record_load(facts.running, facts.waiting or 0, now_s)
        if facts.pause_s > 0:
            record.pause(facts.pause_s, now_s)
            self._log.emit(
                Event.TARGET_PAUSED,
                target=record.target_id,
                pause_s=round(facts.pause_s, 2),
            )
        if facts.is_draining and not record.is_draining:
            self._target_records.mark_draining(record)
            self._log.emit(
                Event.TARGET_LEAVING,
                target=record.target_id,
                born_ms=record.announced.born_ms,
            )

    def _record_limit(
        self, sent: SentAttempt, facts: ResponseFacts, now_s: float
    ) -> None:
        """Record the limit that a response states.

        An unreadable one confirms the previous one.
        """
        record = sent.record
        previous_per_s = self._target_limits.limit_per_s(record.target_id)
        limit_per_s = facts.limit_per_s
        if facts.unreadable_limit is not None:
            self._log_unreadable_limit(record, facts.unreadable_limit, now_s)
            if limit_per_s is None:
                limit_per_s = previous_per_s
        # Only a response that is the target's own shows that a limit ended.
        is_own = facts.is_complete or facts.run is TargetRunState.NOT_RUN
        if record.is_gone or (limit_per_s is None and not is_own):
            return
        if not self._target_limits.record_response(
            record.target_id,
            record.announced.born_ms,
            limit_per_s,
            sent.began_s,
            now_s,
        ):
            return
        event = Event.TARGET_LIMITED
        if limit_per_s is None:
            event = Event.TARGET_UNLIMITED
        self._log.emit(
            event,
            target=record.target_id,
            limit_per_s=limit_per_s,
            previous_per_s=previous_per_s,
        )

    def _log_unreadable_limit(
        self, record: TargetRecord, text: str, now_s: float
    ) -> None:
        since_s = now_s - self._unreadable_logged_at_s
        if since_s < UNREADABLE_LIMIT_LOG_INTERVAL_S:
            return
        self._unreadable_logged_at_s = now_s
        self._log.emit(
            Event.TARGET_LIMIT_UNREADABLE,
            target=record.target_id,
            stated=text[:MAX_LOGGED_LIMIT_CHARS],
        )

    def _record_duration(
        self,
        ctx: RequestContext,
        sent: SentAttempt,
        response: Response,
        took_s: float,
    ) -> None:
        record = sent.record
        if ctx.req.object_id:
            record.record_served(ctx.req.object_id)
        stats = self.stats_of(ctx.route)
        if isinstance(response.body, bytes):
            stats.record_response(took_s)
        if sent.load > record.announced.slots:
            return
        size = sum(
            len(body)
            for body in (ctx.body, response.body)
            if isinstance(body, bytes)
        )
        expected_s = stats.warm_s if sent.was_warm else stats.cold_s
        ratio = took_s / max(0.001, expected_s)
        if sent.was_warm and record.record_slowness(ratio, self._clock()):
            self._log.emit(
                Event.TARGET_SLOW,
                target=record.target_id,
                took_s=round(took_s, 3),
                usual_s=round(expected_s, 3),
            )
        stats.record(took_s, size, was_warm=sent.was_warm)
