"""Choose a target for a request: pure, with state kept in memory.

Under overload, no capacity can be wasted, and a request for an object that its
target doesn't remember takes three times the work. So each object is served at
its home target in the region, or in the zone if its requests are large. When a
region has no free capacity, objects move to their homes in other regions one
by one, slowly. A second target serves an object if it is warm there, or if
there is spare capacity. A request that would wait past its latency objective
is rejected, so that it doesn't delay those behind it.

A target that states a limit of its request rate gets a request only for a
token. With a limit far below what it could serve, it is no home, unless the
same holds for half of the targets: then it gets requests at its rate,
preferably for objects that it still remembers.
"""

from collections.abc import (
    Callable,
    Collection,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Final

import msgspec

from wigeonford.steer._domains import (
    AvailableTargets,
    Domain,
    Domains,
    find_available,
)
from wigeonford.steer._homes import (
    Home,
    HomeAssignment,
    MAX_DIVIDING_VMS,
    ObjectRankings,
    rank_score,
    RecentObjects,
)
from wigeonford.steer._spill import initial_fraction, Spill
from wigeonford.steer._target_records import TargetRecord

BULKY_BYTES: Final = 16384.0
"""Bytes per request from which homes stay within the zone. From about this
size, the traffic between zones costs more than warming the object up in a
second zone."""
MAX_QUEUED_PER_SLOT: Final = 3.0
"""Requests waiting for each slot beyond which a target rejects more."""
CROSS_REGION_RTT_S: Final = 0.11
"""A round trip between the regions that are farthest apart."""
MAX_TARGET_UTILIZATION: Final = 0.8
"""Utilization of a target's slots below which it may get a request that it
serves cold."""

MAX_DOMAIN_UTILIZATION: Final = 0.6
"""Utilization of a domain's slots below which an object may be made warm at
its second target; its first request there takes three times the work."""
MIN_REMAINING_FRACTION: Final = 0.75
"""If fewer of a domain's targets than this fraction are left, objects may move
to other domains fast."""

TargetFilter = Callable[[TargetRecord], bool]
"""Return whether a target may get the request now."""


class Durations(msgspec.Struct, frozen=True):
    """Hold the typical durations of a route's requests, in seconds."""

    warm_s: float
    cold_s: float


class PlacementRequest(msgspec.Struct, frozen=True):
    """Describe a request as far as placement needs it.

    `size_bytes` counts both directions. `max_wait_s` is how long the request
    may wait for a slot in its region. `allowed_regions` are the regions that
    may serve it, None for any. `tried` are the targets of earlier attempts.
    `vm_count` is how many entry VMs share the region's requests.
    `limited_ids` are the targets that state a limit of their request rate.
    Of these, `closed_ids` are those to which this VM must not send, and
    `tight_ids` those that could serve far more than their limit.
    """

    service: str
    object_id: str
    zone: str
    region: str
    size_bytes: float
    durations: Durations
    max_wait_s: float
    allowed_regions: frozenset[str] | None = None
    tried: frozenset[str] = frozenset()
    vm_count: int = 1
    limited_ids: Collection[str] = ()
    closed_ids: Collection[str] = ()
    tight_ids: Collection[str] = ()


class Choice(msgspec.Struct, frozen=True):
    """Name the chosen target, and the reason.

    `role` says whether the target is the object's home or second home and in
    which domain, or that the target is cold or limited.
    """

    record: TargetRecord
    wait_s: float
    work_s: float
    role: str


class _ServiceState:
    """Hold the state of one service."""

    def __init__(self) -> None:
        self.recent_objects = RecentObjects()
        self.domains = Domains()
        self.assignments: dict[str, HomeAssignment] = {}
        self.rankings: dict[str, ObjectRankings] = {}
        self.spills: dict[str, Spill] = {}
        self.available_counts: dict[str, int] = {}


class Placement:
    """Choose targets, and keep the state that the choices need."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}

    def choose(
        self,
        records: Sequence[TargetRecord],
        request: PlacementRequest,
        evacuated: frozenset[str],
        may_use_restricted: TargetFilter,
        now_s: float,
        has_token: TargetFilter = lambda _: True,
    ) -> Choice | None:
        """Return the target for a request, None if none has free capacity.

        `records` are all targets of the service. It must be the same sequence
        as long as the targets are the same. Cold and tight targets that
        `may_use_restricted` allows are chosen first. `has_token` tells whether
        a limited target accepts a request now.
        """
        state = self._state_of(request.service)
        domains = _group(state, records, request, evacuated)
        search = _Search(state, request, domains, has_token, now_s)
        for record in search.find_restricted():
            if may_use_restricted(record):
                return _restricted_choice(record, request)
        return search.choose(
            request.zone if _is_zone_wide(request) else request.region
        )

    def choose_limited(
        self,
        records: Sequence[TargetRecord],
        request: PlacementRequest,
        evacuated: frozenset[str],
        has_token: TargetFilter,
        now_s: float,
    ) -> Choice | None:
        """Return any limited target that accepts a request now, or None.

        Those of the own region come first. Cold ones are left out.
        """
        state = self._state_of(request.service)
        domains = _group(state, records, request, evacuated)
        for is_own_region in (True, False):
            for domain in domains.values():
                if (domain.region == request.region) is not is_own_region:
                    continue
                for record in domain.records:
                    if (
                        record.target_id in request.limited_ids
                        and now_s >= record.cold_until_s
                        and _has_free_slots(record, request, now_s)
                        and has_token(record)
                    ):
                        return _restricted_choice(record, request)
        return None

    def _state_of(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        return state


def _is_zone_wide(request: PlacementRequest) -> bool:
    return request.size_bytes >= BULKY_BYTES


def _group(
    state: _ServiceState,
    records: Sequence[TargetRecord],
    request: PlacementRequest,
    evacuated: frozenset[str],
) -> Mapping[str, Domain]:
    return state.domains.group_targets(
        records,
        zone_wide=_is_zone_wide(request),
        allowed_regions=request.allowed_regions,
        evacuated=evacuated,
    )


def _has_free_slots(
    record: TargetRecord, request: PlacementRequest, now_s: float
) -> bool:
    if record.is_down(now_s) or record.is_paused(now_s):
        return False
    if record.target_id in request.tried:
        return False
    max_load = record.announced.slots * MAX_TARGET_UTILIZATION
    return record.load(now_s) < max_load


def _restricted_choice(
    record: TargetRecord, request: PlacementRequest
) -> Choice:
    durations = request.durations
    if record.target_id not in request.limited_ids:
        return Choice(record, 0.0, durations.cold_s, "cold")
    is_warm = request.object_id in record.warm_objects
    work_s = durations.warm_s if is_warm else durations.cold_s
    return Choice(record, 0.0, work_s, "limited")


class _Search:
    """Choose the target of one request among the domains."""

    def __init__(
        self,
        state: _ServiceState,
        request: PlacementRequest,
        domains: Mapping[str, Domain],
        has_token: TargetFilter,
        now_s: float,
    ) -> None:
        self._state = state
        self._has_token = has_token
        self._request = request
        self._domains = domains
        self._now_s = now_s
        self._available: dict[str, AvailableTargets] = {}

    def find_restricted(self) -> Iterator[TargetRecord]:
        """Yield the region's targets that get requests without being homes.

        These are cold and tight targets that have free slots.
        """
        request, now_s = self._request, self._now_s
        for domain in self._domains.values():
            if domain.region != request.region:
                continue
            excluded_tight_ids: Collection[str] = ()
            if request.tight_ids:
                excluded_ids = self._available_in(domain).excluded_ids
                excluded_tight_ids = excluded_ids.intersection(
                    request.tight_ids
                )
            for record in domain.records:
                is_restricted = (
                    now_s < record.cold_until_s
                    or record.target_id in excluded_tight_ids
                )
                if is_restricted and _has_free_slots(record, request, now_s):
                    yield record

    def choose(self, own_domain: str) -> Choice | None:
        """Return the choice; `own_domain` is the domain of the entry VM."""
        if not any(
            self._available_in(domain).count
            for domain in self._domains.values()
        ):
            return None
        object_ids = self._state.recent_objects.record(self._request.object_id)
        domain = self._domains.get(own_domain)
        local = self._available_in(domain) if domain is not None else None
        if local is None or not local.count:
            return self._choose_elsewhere(own_domain, object_ids)
        spill = self._get_spill(local)
        choice = self._choose_within(local, object_ids)
        is_spilled = _spill_position(self._request.object_id) < spill.fraction
        if not is_spilled:
            spill.record_request(
                choice is not None, local.utilization, self._now_s
            )
            return choice
        has_capacity = choice is not None or local.utilization < 1.0
        spill.record_request(has_capacity, local.utilization, self._now_s)
        return self._choose_elsewhere(own_domain, object_ids) or choice

    def _available_in(self, domain: Domain) -> AvailableTargets:
        found = self._available.get(domain.name)
        if found is None:
            found = find_available(
                domain,
                self._now_s,
                self._request.vm_count,
                self._request.closed_ids,
                self._request.tight_ids,
            )
            self._available[domain.name] = found
        return found

    def _get_spill(self, local: AvailableTargets) -> Spill:
        name = local.domain.name
        spill = self._state.spills.get(name)
        if spill is None:
            slots = [
                self._available_in(item).slots
                for item in self._domains.values()
            ]
            fraction = initial_fraction(local.slots, sum(slots), len(slots))
            spill = self._state.spills[name] = Spill(self._now_s, fraction)
        if (
            local.count
            < MIN_REMAINING_FRACTION
            * self._state.available_counts.get(name, 0)
        ):
            spill.allow_fast_change(self._now_s)
        self._state.available_counts[name] = local.count
        return spill

    def _choose_elsewhere(
        self, own_domain: str, object_ids: Mapping[str, None]
    ) -> Choice | None:
        """Return a target in another domain that has free capacity.

        Domains of the own region are tried first.
        """
        request = self._request
        others = [
            domain
            for domain in self._domains.values()
            if domain.name != own_domain and self._available_in(domain).count
        ]
        others.sort(
            key=lambda domain: (
                domain.region == request.region,
                rank_score(request.object_id, domain.name),
            ),
            reverse=True,
        )
        for domain in others:
            choice = self._choose_within(
                self._available_in(domain), object_ids
            )
            if choice is not None:
                return choice
        return None

    def _home_of(
        self, available: AvailableTargets, object_ids: Mapping[str, None]
    ) -> Home | None:
        request = self._request
        domain = available.domain
        if request.vm_count > MAX_DIVIDING_VMS:
            rankings = self._state.rankings.setdefault(
                domain.name, ObjectRankings()
            )
            return rankings.home_of(
                request.object_id, domain.by_id, available.excluded_ids
            )
        assignment = self._state.assignments.setdefault(
            domain.name, HomeAssignment()
        )
        target_ids = tuple(
            sorted(domain.by_id.keys() - available.excluded_ids)
        )
        return assignment.home_of(request.object_id, object_ids, target_ids)

    def _choose_within(
        self, available: AvailableTargets, object_ids: Mapping[str, None]
    ) -> Choice | None:
        """Return the object's home or second home in a domain."""
        request = self._request
        name = available.domain.name
        home = self._home_of(available, object_ids)
        if home is None:
            return None
        max_wait_s = request.max_wait_s
        if available.domain.region != request.region:
            max_wait_s -= CROSS_REGION_RTT_S
        warm_s = request.durations.warm_s
        first = available.domain.by_id[home.first]
        is_first_open = self._is_open(first)
        if first.target_id not in request.tried and is_first_open:
            wait_s = self._wait_s(first, available.unreported_load)
            if wait_s is not None and wait_s <= max_wait_s:
                return Choice(first, wait_s, warm_s, f"home in {name}")
        second = available.domain.by_id.get(home.second or "")
        if (
            second is None
            or second.target_id in request.tried
            or not self._is_open(second)
        ):
            return None
        if request.object_id in second.warm_objects:
            wait_s = self._wait_s(second, available.unreported_load)
            if wait_s is not None and wait_s <= max_wait_s:
                return Choice(second, wait_s, warm_s, f"second in {name}")
            return None
        load = second.load(self._now_s, available.unreported_load)
        has_free_slots = load < second.announced.slots * MAX_TARGET_UTILIZATION
        # A home that has reached its limit leaves no other choice.
        has_headroom = (
            available.utilization < MAX_DOMAIN_UTILIZATION or not is_first_open
        )
        if not (has_free_slots and has_headroom) or second.is_paused(
            self._now_s
        ):
            return None
        return Choice(
            second, 0.0, request.durations.cold_s, f"new second in {name}"
        )

    def _is_open(self, record: TargetRecord) -> bool:
        """Return whether a target's limit, if any, allows the request."""
        is_limited = record.target_id in self._request.limited_ids
        return not is_limited or self._has_token(record)

    def _wait_s(
        self, record: TargetRecord, unreported_load: float
    ) -> float | None:
        """Return the estimated wait, None if the target would reject."""
        slots = max(1, record.announced.slots)
        load = record.load(self._now_s, unreported_load)
        if load >= slots * (1 + MAX_QUEUED_PER_SLOT) or record.is_paused(
            self._now_s
        ):
            return None
        # A target with full slots starts the next request when one ends.
        queued = max(0.0, load + 1 - slots)
        warm_s = self._request.durations.warm_s
        return queued * warm_s * max(1.0, record.slowness) / slots


def _spill_position(object_id: str) -> float:
    """Return an object's position, 0 to 1, in the order of spilling over."""
    return rank_score(object_id, "leaves") / (1 << 64)
