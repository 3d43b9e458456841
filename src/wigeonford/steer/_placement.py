"""Choose a target for a request: pure.

The load that this answers: objects of uneven weight, far more of them than
one target remembers, on targets of few slots, where a request for an
object that the target has served lately takes a third of the time. So each
object has a home among the targets of a region, or of a zone where its
bytes are many, and leaves it only when waiting there takes longer than
starting anew elsewhere.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
import hashlib
from typing import Final

from wigeonford.steer._target_book import TargetRecord

BULKY_BYTES: Final = 4096.0
"""Bytes a request from which homes stay within the zone; about where the
traffic between zones costs more than a second first touch."""
HOMES: Final = 3
"""How many targets in the order of an object are weighed by cost."""
WAIT_SLOTS: Final = 3.0
"""Requests waiting for each slot beyond which a target refuses more."""
CROSS_REGION_S: Final = 0.11
"""A round trip between the farthest regions of the users' sites."""
CROSS_ZONE_S: Final = 0.003
"""A round trip between zones."""
REGION_WEIGHT_S: Final = 0.05
"""What a crossing between regions weighs beyond its time, so that a short
wait is no reason to leave the region."""
BYTE_WEIGHT_S: Final = 1e-5
"""What a byte between zones weighs; it makes 60 kB weigh as much as a
first touch."""
ORDER_CACHE: Final = 4096
"""Objects whose order of targets is kept; larger than a site has."""


@dataclass(frozen=True, slots=True)
class Durations:
    """Tell how long requests of a route run, in seconds."""

    warm_s: float
    cold_s: float


@dataclass(frozen=True, slots=True)
class Wish:
    """Describe a request as placement sees it.

    `size_bytes` are those that go both ways. `homes` are the regions it
    may be served in, None for any. `tried` are targets it has been at.
    """

    thing: str
    zone: str
    region: str
    size_bytes: float
    durations: Durations
    homes: frozenset[str] | None = None
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the target, and why: what it was thought to take.

    `weight_s` is what the way there weighs beyond its time.
    """

    record: TargetRecord
    wait_s: float
    work_s: float
    weight_s: float
    crosses: str
    rank: int

    @property
    def finish_s(self) -> float:
        """Return how long the request is thought to take."""
        return self.wait_s + self.work_s

    @property
    def cost_s(self) -> float:
        """Return what choices are compared by."""
        return self.finish_s + self.weight_s


def rank_score(thing: str, target_id: str) -> int:
    """Return the place of a target in an object's order, highest first."""
    digest = hashlib.blake2b(
        f"{thing}\0{target_id}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


class ObjectOrder:
    """Keep each object's order of a service's targets."""

    def __init__(self) -> None:
        self._revision = -1
        self._orders: dict[tuple[str, str], list[TargetRecord]] = {}

    def of(
        self,
        thing: str,
        service: str,
        records: Sequence[TargetRecord],
        revision: int,
    ) -> list[TargetRecord]:
        """Return the targets in the order of an object."""
        if revision != self._revision or len(self._orders) > ORDER_CACHE:
            self._orders.clear()
            self._revision = revision
        key = (service, thing)
        order = self._orders.get(key)
        if order is None:
            order = sorted(
                records,
                key=lambda record: rank_score(thing, record.target_id),
                reverse=True,
            )
            self._orders[key] = order
        return order


MayUse = Callable[[TargetRecord], bool]


def choose(
    order: Sequence[TargetRecord],
    wish: Wish,
    evacuated: frozenset[str],
    may_use_cold: MayUse,
    now_s: float,
) -> Choice | None:
    """Return the best target for a request, or None if there is none.

    The order is that of the request's object. Each tier has a home of its
    own for the object; of the first few with room in each tier, the one
    that takes least is chosen.
    """
    usable = [
        record
        for record in order
        if record.target_id not in wish.tried
        and not record.is_down(now_s)
        and record.zone not in evacuated
        and (wish.homes is None or record.region in wish.homes)
        and (not record.is_cold(now_s) or may_use_cold(record))
    ]
    sound = [record for record in usable if not record.is_grey(now_s)]
    for pool in (sound, usable):
        choices = (
            choice
            for tier in _tiers(pool, wish)
            for choice in _homes(tier, wish, now_s)
        )
        best = min(choices, key=_cost, default=None)
        if best is not None:
            return best
    return None


def _cost(choice: Choice) -> float:
    return choice.cost_s


def _tiers(
    records: Sequence[TargetRecord], wish: Wish
) -> Iterator[Iterator[TargetRecord]]:
    bulky = wish.size_bytes >= BULKY_BYTES
    if bulky:
        yield (record for record in records if record.zone == wish.zone)
    yield (
        record
        for record in records
        if record.region == wish.region
        and not (bulky and record.zone == wish.zone)
    )
    yield (record for record in records if record.region != wish.region)


def _homes(
    tier: Iterator[TargetRecord], wish: Wish, now_s: float
) -> Iterator[Choice]:
    """Yield the first few choices of a tier that have room."""
    found = 0
    for rank, record in enumerate(tier):
        choice = _weigh(record, rank, wish, now_s)
        if choice is not None:
            yield choice
            found += 1
            if found == HOMES:
                return


def _weigh(
    record: TargetRecord, rank: int, wish: Wish, now_s: float
) -> Choice | None:
    """Return what a target would take, or None if it would refuse."""
    slots = max(1, record.announced.slots)
    load = record.load(now_s)
    if load >= slots * (1 + WAIT_SLOTS) or now_s < record.full_until_s:
        return None
    durations = wish.durations
    is_warm = rank == 0 or wish.thing in record.warm
    slowness = max(1.0, record.slowness)
    work_s = (durations.warm_s if is_warm else durations.cold_s) * slowness
    # A target whose slots are full takes up the next as one ends.
    ahead = max(0.0, load + 1 - slots)
    wait_s = ahead * durations.warm_s * slowness / slots
    crosses, weight_s = "", 0.0
    if record.region != wish.region:
        crosses = "region"
        work_s += CROSS_REGION_S
        weight_s = REGION_WEIGHT_S + BYTE_WEIGHT_S * wish.size_bytes
    elif record.zone != wish.zone:
        crosses = "zone"
        work_s += CROSS_ZONE_S
        weight_s = BYTE_WEIGHT_S * wish.size_bytes
    return Choice(record, wait_s, work_s, weight_s, crosses, rank)
