"""Group targets by zone or region, and find those that can be homes.

Pure. A home is the target that serves the requests for an object. A grouping
is cached as long as the targets stay the same, because an entry VM of a large
fleet has a thousand targets and uses the grouping for each request.
"""

from collections.abc import Collection, Sequence
from typing import Final

import msgspec

from wigeonford.steer._target_records import (
    FAILING_RATIO,
    FAILING_S,
    TargetRecord,
)

OTHER_VM_LOAD_FRACTION: Final = 0.6
"""Estimated load that each other entry VM causes, as a fraction of this VM's
own load. It is below 1 because callers don't spread evenly over entry VMs."""


class Domain(msgspec.Struct, frozen=True):
    """Hold the targets of one zone or region, and the sum of their slots."""

    name: str
    region: str
    records: tuple[TargetRecord, ...]
    by_id: dict[str, TargetRecord]
    slots: int


class AvailableTargets(msgspec.Struct, frozen=True):
    """Hold a domain and the ids of the targets that are excluded now.

    `count` and `slots` are those of the targets that are not excluded;
    `utilization` is the fraction of these slots in use. `unreported_load` is
    the estimated load that other entry VMs cause at each target that has not
    reported its own.
    """

    domain: Domain
    excluded_ids: frozenset[str]
    count: int
    slots: int
    utilization: float
    unreported_load: float


class Domains:
    """Group the targets of one service, and cache the groupings."""

    def __init__(self) -> None:
        self._records: Sequence[TargetRecord] = ()
        self._cache: dict[
            tuple[bool, frozenset[str] | None, frozenset[str]],
            dict[str, Domain],
        ] = {}

    def group_targets(
        self,
        records: Sequence[TargetRecord],
        *,
        zone_wide: bool,
        allowed_regions: frozenset[str] | None,
        evacuated: frozenset[str],
    ) -> dict[str, Domain]:
        """Return the domains by name, without targets in evacuated zones.

        `records` must be the same sequence as long as the targets are the
        same. `allowed_regions` are the regions that may serve, None for any.
        """
        if records is not self._records:
            self._records = records
            self._cache.clear()
        key = (zone_wide, allowed_regions, evacuated)
        found = self._cache.get(key)
        if found is None:
            found = self._cache[key] = _group(
                [
                    record
                    for record in records
                    if record.zone not in evacuated
                    and (
                        allowed_regions is None
                        or record.region in allowed_regions
                    )
                ],
                zone_wide=zone_wide,
            )
        return found


def _group(
    records: Sequence[TargetRecord], *, zone_wide: bool
) -> dict[str, Domain]:
    groups: dict[str, list[TargetRecord]] = {}
    for record in records:
        name = record.zone if zone_wide else record.region
        groups.setdefault(name, []).append(record)
    return {
        name: Domain(
            name,
            members[0].region,
            tuple(members),
            {record.target_id: record for record in members},
            sum(record.announced.slots for record in members),
        )
        for name, members in groups.items()
    }


def find_available(
    domain: Domain,
    now_s: float,
    vm_count: int,
    closed_ids: Collection[str] = (),
    tight_ids: Collection[str] = (),
) -> AvailableTargets:
    """Return which targets of a domain may be home to objects now.

    `vm_count` is how many entry VMs send to the domain, this one included.
    `closed_ids` are the targets to which this VM must not send, `tight_ids`
    those whose stated limit is far below what they could serve.

    Unreachable, cold and closed targets are excluded. Slow, failing and tight
    targets are excluded too, unless they are at least half of the others: then
    the load is the cause, and none of them is excluded.
    """
    excluded: list[TargetRecord] = []
    unhealthy: list[TargetRecord] = []
    for record in domain.records:
        if (
            now_s < record.down_until_s
            or now_s < record.cold_until_s
            or record.target_id in closed_ids
        ):
            excluded.append(record)
        elif (
            now_s < record.slow_until_s
            or record.target_id in tight_ids
            or (
                record.failure_ratio > FAILING_RATIO
                and now_s - record.failed_at_s < FAILING_S
            )
        ):
            unhealthy.append(record)
    warm = len(domain.records) - len(excluded)
    if 2 * (warm - len(unhealthy)) > warm:
        excluded += unhealthy
    excluded_ids = frozenset(record.target_id for record in excluded)
    slots = domain.slots - sum(record.announced.slots for record in excluded)
    in_use = [
        record
        for record in domain.records
        if (record.in_flight or record.other_load)
        and record.target_id not in excluded_ids
    ]
    own_load = sum(record.in_flight for record in in_use)
    unreported_load = (
        (vm_count - 1)
        * OTHER_VM_LOAD_FRACTION
        * own_load
        / max(1, len(domain.records))
    )
    load = sum(record.load(now_s, unreported_load) for record in in_use)
    return AvailableTargets(
        domain,
        excluded_ids,
        len(domain.records) - len(excluded),
        slots,
        load / slots if slots else 1.0,
        unreported_load,
    )
