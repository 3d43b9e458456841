"""Group targets by zone or region, and tell which may be home to objects.

Pure. A grouping is kept while the targets stay the same, since an entry VM
of a large fleet knows a thousand of them and chooses for each request.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from wigeonford.steer._target_book import GREY_S, GREY_SHARE, TargetRecord

UNHEARD_PART: Final = 0.6
"""What each other entry VM is thought to have sent at least, as a part of
what this one has: callers don't come to all alike."""


class Domain(msgspec.Struct, frozen=True):
    """Hold the targets of one zone or region; `slots` are all of theirs."""

    name: str
    region: str
    records: tuple[TargetRecord, ...]
    by_id: dict[str, TargetRecord]
    slots: int


class Available(msgspec.Struct, frozen=True):
    """Hold a domain and the ids of its targets that are left out now.

    `slots` are those of the other `count` targets, `use` is how many of
    them are taken, as a part. `unheard` is what other entry VMs are thought
    to have sent to each target that has not told its load.
    """

    domain: Domain
    out: frozenset[str]
    count: int
    slots: int
    use: float
    unheard: float


class Domains:
    """Keep the groupings of one service's targets."""

    def __init__(self) -> None:
        self._records: Sequence[TargetRecord] = ()
        self._kept: dict[
            tuple[bool, frozenset[str] | None, frozenset[str]],
            dict[str, Domain],
        ] = {}

    def of(
        self,
        records: Sequence[TargetRecord],
        *,
        zone_wide: bool,
        homes: frozenset[str] | None,
        evacuated: frozenset[str],
    ) -> dict[str, Domain]:
        """Return the domains by name, without targets that must not run.

        `homes` are the regions that may serve, None for any.
        """
        if records is not self._records:
            self._records = records
            self._kept.clear()
        key = (zone_wide, homes, evacuated)
        found = self._kept.get(key)
        if found is None:
            found = self._kept[key] = _group(
                [
                    record
                    for record in records
                    if record.zone not in evacuated
                    and (homes is None or record.region in homes)
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
            held[0].region,
            tuple(held),
            {record.target_id: record for record in held},
            sum(record.announced.slots for record in held),
        )
        for name, held in groups.items()
    }


def available(domain: Domain, now_s: float, vms: int) -> Available:
    """Return which targets of a domain may be home to objects now.

    `vms` is how many entry VMs send to the domain, this one included.

    Left out are those that can't be reached or are cold, and those that
    seem slow or failing: but where most of a domain's targets do, it's
    the load, and all of them stay.
    """
    out: list[TargetRecord] = []
    unsound: list[TargetRecord] = []
    for record in domain.records:
        if now_s < record.down_until_s or now_s < record.cold_until_s:
            out.append(record)
        elif now_s < record.slow_until_s or (
            record.failures > GREY_SHARE
            and now_s - record.failed_at_s < GREY_S
        ):
            unsound.append(record)
    warm = len(domain.records) - len(out)
    if 2 * (warm - len(unsound)) > warm:
        out += unsound
    out_ids = frozenset(record.target_id for record in out)
    slots = domain.slots - sum(record.announced.slots for record in out)
    in_use = [
        record
        for record in domain.records
        if (record.in_flight or record.others)
        and record.target_id not in out_ids
    ]
    sent = sum(record.in_flight for record in in_use)
    unheard = (vms - 1) * UNHEARD_PART * sent / max(1, len(domain.records))
    load = sum(record.load(now_s, unheard) for record in in_use)
    return Available(
        domain,
        out_ids,
        len(domain.records) - len(out),
        slots,
        load / slots if slots else 1.0,
        unheard,
    )
