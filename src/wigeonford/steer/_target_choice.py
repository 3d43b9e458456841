"""Choose targets by what this VM knows of them."""

from collections.abc import Callable, Mapping
from typing import Final

from wigeonford.deployment import Route
from wigeonford.messages.steering import EntryStatus
from wigeonford.steer._cold import ColdRateLimiter, ColdSenders
from wigeonford.steer._entries import Neighbours
from wigeonford.steer._placement import Choice, Placement, PlacementRequest
from wigeonford.steer._request import RequestContext
from wigeonford.steer._retry_after import capacity_wait_s
from wigeonford.steer._route_stats import RouteStats
from wigeonford.steer._target_limits import TargetLimits
from wigeonford.steer._target_records import TargetRecord, TargetRecords
from wigeonford.steer._view import View

MIN_WAIT_FRACTION: Final = 0.25
"""Fraction of a warm request's duration that any request may wait for a slot;
estimates of the wait are no more accurate."""


class TargetChooser:
    """Choose targets, and spend the tokens of cold and limited ones."""

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        view: Callable[[], View | None],
        entries: Callable[[], Mapping[str, EntryStatus]],
        target_records: TargetRecords,
        target_limits: TargetLimits,
        stats_of: Callable[[Route], RouteStats],
        clock: Callable[[], float],
    ) -> None:
        self._status = status
        self._view = view
        self._target_records = target_records
        self._target_limits = target_limits
        self._stats_of = stats_of
        self._clock = clock
        self._neighbours = Neighbours(status, entries, clock)
        self._placement = Placement()
        self._cold_rates = ColdRateLimiter()
        self._cold_senders = ColdSenders(entries)

    def drop_removed_targets(self, view: View) -> None:
        """Drop the state of targets that a new view removed or replaced."""
        self._cold_rates.remove(view.removed)
        self._target_limits.apply_targets(view.changed, view.removed)

    def is_limited(self, record: TargetRecord) -> bool:
        """Return whether a target states a limit of its request rate."""
        return record.target_id in self._target_limits.limited_ids

    def spend_tokens(self, record: TargetRecord) -> float | None:
        """Take the tokens for a request; return the target's limit, if any."""
        if record.is_cold(self._clock()):
            self._cold_rates.spend(record.target_id)
        limit_per_s = self._target_limits.limit_per_s(record.target_id)
        if limit_per_s is not None:
            self._target_limits.spend(record.target_id)
        return limit_per_s

    def count_targets(self, ctx: RequestContext) -> int:
        """Return how many targets of a request's service accept requests."""
        return len(self._target_records.targets_of(ctx.service))

    def has_unreached(self, ctx: RequestContext) -> bool:
        """Return whether failures keep a request from some target."""
        now_s = self._clock()
        return any(
            record.is_doubted(now_s)
            for record in self._target_records.targets_of(ctx.service)
        )

    def capacity_wait_s(self, ctx: RequestContext) -> float:
        """Return how long until a target has free capacity for a request."""
        now_s = self._clock()
        records = self._target_records.targets_of(ctx.service)
        limited_ids = self._target_limits.limited_ids
        return capacity_wait_s(
            records,
            self._stats_of(ctx.route).warm_s,
            now_s,
            {
                record.target_id: self._target_limits.wait_s(record, now_s)
                for record in (records if limited_ids else ())
                if record.target_id in limited_ids
            },
        )

    def choose(self, ctx: RequestContext) -> Choice | None:
        """Return the target for a request, None if none has free capacity."""
        now_s = self._clock()
        status = self._status()
        view = self._view() or ctx.view
        stats = self._stats_of(ctx.route)
        request = PlacementRequest(
            ctx.service,
            ctx.req.object_id or ctx.req.request_id,
            status.availability_zone,
            status.region,
            stats.size_bytes,
            stats.durations,
            self._max_wait_s(ctx, now_s),
            ctx.allowed_regions,
            frozenset(ctx.tried),
            self._neighbours.count(),
            self._target_limits.limited_ids,
            *self._classify_limited(ctx, now_s),
        )
        records = self._target_records.targets_of(ctx.service)

        def has_token(record: TargetRecord) -> bool:
            return self._target_limits.has_token(record, now_s)

        choice = self._placement.choose(
            records,
            request,
            view.evacuated,
            lambda record: self._may_use_restricted(ctx, record, now_s),
            now_s,
            has_token,
        )
        if choice is not None or not request.limited_ids:
            return choice
        # No other target has free capacity.
        return self._placement.choose_limited(
            records, request, view.evacuated, has_token, now_s
        )

    def _classify_limited(
        self, ctx: RequestContext, now_s: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the ids of the closed and of the tight targets."""
        limits = self._target_limits
        if not limits.limited_ids:
            return frozenset(), frozenset()
        warm_s = self._stats_of(ctx.route).warm_s
        limited = [
            record
            for record in self._target_records.targets_of(ctx.service)
            if record.target_id in limits.limited_ids
        ]
        return (
            frozenset(
                record.target_id
                for record in limited
                if not limits.is_sender(record, now_s)
            ),
            frozenset(
                record.target_id
                for record in limited
                if limits.is_tight(record, warm_s, now_s)
            ),
        )

    def _max_wait_s(self, ctx: RequestContext, now_s: float) -> float:
        """Return how long a request may wait for a slot.

        A longer wait would exceed the route's latency objective.
        """
        stats = self._stats_of(ctx.route)
        used_s = now_s - ctx.req.arrived_at_s
        spare_s = ctx.route.objective_s - used_s - stats.warm_s
        return max(MIN_WAIT_FRACTION * stats.warm_s, spare_s)

    def _may_use_restricted(
        self, ctx: RequestContext, record: TargetRecord, now_s: float
    ) -> bool:
        """Return whether a cold or tight target may get the request.

        A tight one gets requests for objects that it remembers, and any once
        a token is idle.
        """
        if record.is_cold(now_s) and not self._may_use_cold(
            ctx, record, now_s
        ):
            return False
        if not self.is_limited(record):
            return True
        return self._target_limits.has_token(record, now_s) and (
            ctx.req.object_id in record.warm_objects
            or self._target_limits.is_token_idle(record, now_s)
        )

    def _may_use_cold(
        self, ctx: RequestContext, record: TargetRecord, now_s: float
    ) -> bool:
        service = ctx.view.services.get(record.announced.service)
        name = self._status().name
        if service is None or not self._cold_senders.may_send(
            name, record, now_s
        ):
            return False
        if service.cold_per_s <= 0:
            return True
        return self._cold_rates.may_send(
            record.target_id, service.cold_per_s, now_s
        )
