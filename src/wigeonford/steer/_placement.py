"""Choose a target for a request: pure but for what it remembers.

The load that this answers: heavy days, on which a request for an object
that its target does not remember takes three times the work, and there is
none to spare. An object is served at its home in the region, or in the zone
where its bytes are many. Of what the region has no room for, whole objects
move to their homes in other regions, slowly. A second target helps out
where it knows the object or there is room to spare, and a request that would
wait past its objective is refused rather than make all behind it late.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

import msgspec

from wigeonford.steer._homes import (
    Division,
    FEW_VMS,
    rank_score,
    Things,
)
from wigeonford.steer._spill import first_part, Spill
from wigeonford.steer._target_book import TargetRecord

BULKY_BYTES: Final = 16384.0
"""Bytes a request from which homes stay within the zone; about where the
traffic between zones costs more than a second first touch."""
WAIT_SLOTS: Final = 3.0
"""Requests waiting for each slot beyond which a target refuses more."""
CROSS_REGION_S: Final = 0.11
"""A round trip between the farthest regions of the users' sites."""
FREE_PART: Final = 0.8
"""Part of a target's slots that may be taken when it helps out."""

SPARE_USE: Final = 0.6
"""Use of a domain's slots below which an object may be started anew at a
second target, which takes three times a warm request's work."""
LOST_PART: Final = 0.75
"""Part of a domain's targets that has to be left, or work may leave fast."""

MayUse = Callable[[TargetRecord], bool]


class Durations(msgspec.Struct, frozen=True):
    """Tell how long requests of a route run, in seconds."""

    warm_s: float
    cold_s: float


class Wish(msgspec.Struct, frozen=True):
    """Describe a request as placement sees it.

    `size_bytes` are those that go both ways. `patience_s` is how long it
    may wait for a slot in its region. `homes` are the regions it may be
    served in, None for any. `tried` are targets it has been at. `vms` is
    how many entry VMs share the region's requests.
    """

    service: str
    thing: str
    zone: str
    region: str
    size_bytes: float
    durations: Durations
    patience_s: float
    homes: frozenset[str] | None = None
    tried: frozenset[str] = frozenset()
    vms: int = 1


class Choice(msgspec.Struct, frozen=True):
    """Name the target, and why.

    `role` says what it is to the object: its home or its second home, in
    this domain or another.
    """

    record: TargetRecord
    wait_s: float
    work_s: float
    role: str


class Placement:
    """Choose targets, and keep the divisions of objects."""

    def __init__(self) -> None:
        self._things: dict[str, Things] = {}
        self._divisions: dict[tuple[str, str], Division] = {}
        self._spills: dict[tuple[str, str], Spill] = {}
        self._sound: dict[tuple[str, str], int] = {}

    def choose(
        self,
        records: Sequence[TargetRecord],
        wish: Wish,
        evacuated: frozenset[str],
        may_use_cold: MayUse,
        now_s: float,
    ) -> Choice | None:
        """Return the target for a request, or None if none has room."""
        usable = [
            record
            for record in records
            if not record.is_down(now_s)
            and record.zone not in evacuated
            and (wish.homes is None or record.region in wish.homes)
        ]
        warm = [record for record in usable if not record.is_cold(now_s)]
        trial = self._trial(usable, wish, may_use_cold, now_s)
        if trial is not None:
            return trial
        if not warm:
            return None
        things = self._things.setdefault(wish.service, Things()).note(
            wish.thing
        )
        return self._choose_warm(warm, wish, things, now_s)

    def _trial(
        self,
        usable: Iterable[TargetRecord],
        wish: Wish,
        may_use_cold: MayUse,
        now_s: float,
    ) -> Choice | None:
        """Return a cold target that is due for one of its few requests."""
        for record in usable:
            if not record.is_cold(now_s) or record.region != wish.region:
                continue
            if record.target_id in wish.tried or not may_use_cold(record):
                continue
            if record.load(now_s) < record.announced.slots * FREE_PART:
                return Choice(record, 0.0, wish.durations.cold_s, "cold")
        return None

    def _choose_warm(
        self,
        warm: Sequence[TargetRecord],
        wish: Wish,
        things: Mapping[str, None],
        now_s: float,
    ) -> Choice | None:
        domains = _domains(warm, wish, now_s)
        own, local = domains[0]
        if not local:
            return self._elsewhere(domains[1:], wish, things, now_s)
        spill = self._spill_of(wish.service, domains, now_s)
        choice = self._within(own, local, wish, things, now_s)
        use = _use(local, now_s)
        leaves = _position(wish.thing) < spill.part
        if not leaves:
            spill.note(choice is not None, use, now_s)
            return choice
        spill.note(choice is not None or use < 1.0, use, now_s)
        return self._elsewhere(domains[1:], wish, things, now_s) or choice

    def _spill_of(
        self,
        service: str,
        domains: Sequence[tuple[str, list[TargetRecord]]],
        now_s: float,
    ) -> Spill:
        domain, local = domains[0]
        key = (service, domain)
        spill = self._spills.get(key)
        if spill is None:
            slots = [_slots(records) for _, records in domains]
            part = first_part(slots[0], sum(slots), len(domains))
            spill = self._spills[key] = Spill(now_s, part)
        if len(local) < LOST_PART * self._sound.get(key, 0):
            spill.free(now_s)
        self._sound[key] = len(local)
        return spill

    def _elsewhere(
        self,
        domains: Sequence[tuple[str, list[TargetRecord]]],
        wish: Wish,
        things: Mapping[str, None],
        now_s: float,
    ) -> Choice | None:
        """Return the object's home in another domain that has room."""
        ranked = sorted(
            (item for item in domains if item[1]),
            key=lambda item: rank_score(wish.thing, item[0]),
            reverse=True,
        )
        # Domains of the own region go first.
        ranked.sort(key=lambda item: item[1][0].region != wish.region)
        for name, records in ranked:
            choice = self._within(name, records, wish, things, now_s)
            if choice is not None:
                return choice
        return None

    def _within(
        self,
        domain: str,
        records: Sequence[TargetRecord],
        wish: Wish,
        things: Mapping[str, None],
        now_s: float,
    ) -> Choice | None:
        """Return the object's home in a domain, or the one that helps."""
        by_id = {record.target_id: record for record in records}
        division = self._divisions.setdefault(
            (wish.service, domain), Division()
        )
        target_ids = tuple(sorted(by_id))
        if wish.vms <= FEW_VMS:
            home = division.home_of(wish.thing, things, target_ids)
        else:
            home = division.first_of(wish.thing, target_ids)
        patience_s = wish.patience_s
        if records[0].region != wish.region:
            patience_s -= CROSS_REGION_S
        first = by_id[home.first]
        if first.target_id not in wish.tried:
            wait_s = _wait_s(first, wish.durations, now_s)
            if wait_s is not None and wait_s <= patience_s:
                work_s = wish.durations.warm_s
                return Choice(first, wait_s, work_s, f"home in {domain}")
        second = by_id.get(home.second or "")
        if second is None or second.target_id in wish.tried:
            return None
        if wish.thing in second.warm:
            wait_s = _wait_s(second, wish.durations, now_s)
            if wait_s is not None and wait_s <= patience_s:
                work_s = wish.durations.warm_s
                return Choice(second, wait_s, work_s, f"second in {domain}")
            return None
        free = second.load(now_s) < second.announced.slots * FREE_PART
        spare = _use(records, now_s) < SPARE_USE
        if not (free and spare) or now_s < second.full_until_s:
            return None
        return Choice(
            second, 0.0, wish.durations.cold_s, f"new second in {domain}"
        )


def _position(thing: str) -> float:
    """Return where an object stands among those that leave first, 0 to 1."""
    return rank_score(thing, "leaves") / (1 << 64)


def _domains(
    records: Sequence[TargetRecord], wish: Wish, now_s: float
) -> list[tuple[str, list[TargetRecord]]]:
    """Return the domains an object has homes in, the own one first.

    Where most of a domain's targets seem slow or failing, it's the load,
    and all of them stay.
    """
    zone_wide = wish.size_bytes >= BULKY_BYTES
    own = wish.zone if zone_wide else wish.region
    domains: dict[str, list[TargetRecord]] = {own: []}
    for record in records:
        name = record.zone if zone_wide else record.region
        domains.setdefault(name, []).append(record)
    return [
        (name, _mostly_sound(held, now_s)) for name, held in domains.items()
    ]


def _mostly_sound(
    records: list[TargetRecord], now_s: float
) -> list[TargetRecord]:
    sound = [record for record in records if record.is_sound(now_s)]
    return sound if 2 * len(sound) > len(records) else records


def _use(records: Sequence[TargetRecord], now_s: float) -> float:
    return sum(record.load(now_s) for record in records) / _slots(records)


def _slots(records: Sequence[TargetRecord]) -> int:
    return sum(record.announced.slots for record in records)


def _wait_s(
    record: TargetRecord, durations: Durations, now_s: float
) -> float | None:
    """Return how long a request would wait, None if it would be refused."""
    slots = max(1, record.announced.slots)
    load = record.load(now_s)
    if load >= slots * (1 + WAIT_SLOTS) or now_s < record.full_until_s:
        return None
    # A target whose slots are full takes up the next as one ends.
    ahead = max(0.0, load + 1 - slots)
    return ahead * durations.warm_s * max(1.0, record.slowness) / slots
