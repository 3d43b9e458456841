"""Choose a target for a request: pure but for what it remembers.

The load that this answers: heavy days, on which a request for an object
that its target does not remember takes three times the work, and there is
none to spare. An object is served at its home in the region, or in the zone
where its bytes are many. Of what the region has no room for, whole objects
move to their homes in other regions, slowly. A second target helps out
where it knows the object or there is room to spare, and a request that would
wait past its objective is refused rather than make all behind it late.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import msgspec

from wigeonford.steer._domains import Available, available, Domain, Domains
from wigeonford.steer._homes import (
    Division,
    FEW_VMS,
    Home,
    Orders,
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


class _Service:
    """Hold what is kept of one service."""

    def __init__(self) -> None:
        self.things = Things()
        self.domains = Domains()
        self.divisions: dict[str, Division] = {}
        self.orders: dict[str, Orders] = {}
        self.spills: dict[str, Spill] = {}
        self.counts: dict[str, int] = {}


class Placement:
    """Choose targets, and keep the divisions of objects."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def choose(
        self,
        records: Sequence[TargetRecord],
        wish: Wish,
        evacuated: frozenset[str],
        may_use_cold: MayUse,
        now_s: float,
    ) -> Choice | None:
        """Return the target for a request, or None if none has room.

        `records` are all targets of the service: the same sequence as
        long as they are the same.
        """
        kept = self._services.get(wish.service)
        if kept is None:
            kept = self._services[wish.service] = _Service()
        zone_wide = wish.size_bytes >= BULKY_BYTES
        domains = kept.domains.of(
            records,
            zone_wide=zone_wide,
            homes=wish.homes,
            evacuated=evacuated,
        )
        trial = _trial(domains, wish, may_use_cold, now_s)
        if trial is not None:
            return trial
        return _Search(kept, wish, domains, now_s).choose(
            wish.zone if zone_wide else wish.region
        )


def _trial(
    domains: Mapping[str, Domain],
    wish: Wish,
    may_use_cold: MayUse,
    now_s: float,
) -> Choice | None:
    """Return a cold target that is due for one of its few requests."""
    for domain in domains.values():
        if domain.region != wish.region:
            continue
        for record in domain.records:
            if now_s >= record.cold_until_s or record.is_down(now_s):
                continue
            if record.target_id in wish.tried or record.is_paused(now_s):
                continue
            if not may_use_cold(record):
                continue
            if record.load(now_s) < record.announced.slots * FREE_PART:
                return Choice(record, 0.0, wish.durations.cold_s, "cold")
    return None


class _Search:
    """Look for the target of one request among the domains."""

    def __init__(
        self,
        kept: _Service,
        wish: Wish,
        domains: Mapping[str, Domain],
        now_s: float,
    ) -> None:
        self._kept = kept
        self._wish = wish
        self._domains = domains
        self._now_s = now_s
        self._available: dict[str, Available] = {}

    def choose(self, own: str) -> Choice | None:
        """Return the choice; `own` names the caller's domain."""
        if not any(
            self._look(domain).count for domain in self._domains.values()
        ):
            return None
        things = self._kept.things.note(self._wish.thing)
        domain = self._domains.get(own)
        local = self._look(domain) if domain is not None else None
        if local is None or not local.count:
            return self._elsewhere(own, things)
        spill = self._spill_of(local)
        choice = self._within(local, things)
        leaves = _position(self._wish.thing) < spill.part
        if not leaves:
            spill.note(choice is not None, local.use, self._now_s)
            return choice
        has_room = choice is not None or local.use < 1.0
        spill.note(has_room, local.use, self._now_s)
        return self._elsewhere(own, things) or choice

    def _look(self, domain: Domain) -> Available:
        found = self._available.get(domain.name)
        if found is None:
            found = available(domain, self._now_s, self._wish.vms)
            self._available[domain.name] = found
        return found

    def _spill_of(self, local: Available) -> Spill:
        name = local.domain.name
        spill = self._kept.spills.get(name)
        if spill is None:
            slots = [self._look(item).slots for item in self._domains.values()]
            part = first_part(local.slots, sum(slots), len(slots))
            spill = self._kept.spills[name] = Spill(self._now_s, part)
        if local.count < LOST_PART * self._kept.counts.get(name, 0):
            spill.free(self._now_s)
        self._kept.counts[name] = local.count
        return spill

    def _elsewhere(
        self, own: str, things: Mapping[str, None]
    ) -> Choice | None:
        """Return the object's home in another domain that has room.

        Domains of the own region go first.
        """
        wish = self._wish
        others = [
            domain
            for domain in self._domains.values()
            if domain.name != own and self._look(domain).count
        ]
        others.sort(
            key=lambda domain: (
                domain.region == wish.region,
                rank_score(wish.thing, domain.name),
            ),
            reverse=True,
        )
        for domain in others:
            choice = self._within(self._look(domain), things)
            if choice is not None:
                return choice
        return None

    def _home_of(
        self, place: Available, things: Mapping[str, None]
    ) -> Home | None:
        wish = self._wish
        domain = place.domain
        if wish.vms > FEW_VMS:
            orders = self._kept.orders.setdefault(domain.name, Orders())
            return orders.home_of(wish.thing, domain.by_id, place.out)
        division = self._kept.divisions.setdefault(domain.name, Division())
        names = tuple(sorted(domain.by_id.keys() - place.out))
        return division.home_of(wish.thing, things, names)

    def _within(
        self, place: Available, things: Mapping[str, None]
    ) -> Choice | None:
        """Return the object's home in a domain, or the one that helps."""
        wish = self._wish
        name = place.domain.name
        home = self._home_of(place, things)
        if home is None:
            return None
        patience_s = wish.patience_s
        if place.domain.region != wish.region:
            patience_s -= CROSS_REGION_S
        warm_s = wish.durations.warm_s
        first = place.domain.by_id[home.first]
        if first.target_id not in wish.tried:
            wait_s = self._wait_s(first, place.unheard)
            if wait_s is not None and wait_s <= patience_s:
                return Choice(first, wait_s, warm_s, f"home in {name}")
        second = place.domain.by_id.get(home.second or "")
        if second is None or second.target_id in wish.tried:
            return None
        if wish.thing in second.warm:
            wait_s = self._wait_s(second, place.unheard)
            if wait_s is not None and wait_s <= patience_s:
                return Choice(second, wait_s, warm_s, f"second in {name}")
            return None
        load = second.load(self._now_s, place.unheard)
        free = load < second.announced.slots * FREE_PART
        spare = place.use < SPARE_USE
        if not (free and spare) or second.is_paused(self._now_s):
            return None
        return Choice(
            second, 0.0, wish.durations.cold_s, f"new second in {name}"
        )

    def _wait_s(self, record: TargetRecord, unheard: float) -> float | None:
        """Return how long a request would wait, None if refused."""
        slots = max(1, record.announced.slots)
        load = record.load(self._now_s, unheard)
        if load >= slots * (1 + WAIT_SLOTS) or record.is_paused(self._now_s):
            return None
        # A target whose slots are full takes up the next as one ends.
        ahead = max(0.0, load + 1 - slots)
        warm_s = self._wish.durations.warm_s
        return ahead * warm_s * max(1.0, record.slowness) / slots


def _position(thing: str) -> float:
    """Return where an object stands among those that leave first, 0 to 1."""
    return rank_score(thing, "leaves") / (1 << 64)
