"""Divide objects among targets: pure.

The load that this answers: requests for objects of uneven weight, each
served in a third of the time where it was served lately, by targets that
remember few objects. Every entry VM divides the objects that it has seen in
the same way, so that an object is known at one target, or two while the
first is busy, and no target has to remember many more than its part. Where
many entry VMs share the requests, each has seen other objects, and what they
divided evenly would be known at many targets; there, an object's first
target in its order is its home.
"""

from collections import Counter, OrderedDict
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
import hashlib
import heapq
import math
from typing import Final

import msgspec

SPREAD: Final = 1.15
"""How many objects more than the average a target may be home to."""
FEW_VMS: Final = 8
"""Entry VMs of a region up to which each has seen most objects within a few
seconds; an even division by more of them differs from VM to VM."""
KEPT_RANKS: Final = 8
"""Targets kept of each object's order; more are seldom out at once."""
KEPT_THINGS: Final = 2048
"""Objects that are divided; the target size has some hundreds a service."""


def rank_score(thing: str, target_id: str) -> int:
    """Return the place of a target in an object's order, highest first."""
    digest = hashlib.blake2b(
        f"{thing}\0{target_id}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


class Home(msgspec.Struct, frozen=True):
    """Name an object's target, and the one that helps out."""

    first: str
    second: str | None


def divide(
    things: Iterable[str], target_ids: Sequence[str]
) -> dict[str, Home]:
    """Return the homes of objects among some targets.

    Rendezvous hashing with a bound on the objects of each target: a target
    that joins or leaves moves few objects but its own.
    """
    ordered = sorted(things, key=_thing_score)
    most = math.ceil(SPREAD * len(ordered) / len(target_ids))
    held: Counter[str] = Counter()
    homes: dict[str, Home] = {}
    for thing in ordered:
        homes[thing] = _settle(thing, target_ids, held, most)
    return homes


def _thing_score(thing: str) -> int:
    return rank_score(thing, "")


def _target_order(thing: str, target_ids: Iterable[str]) -> list[str]:
    return sorted(
        target_ids, key=lambda name: rank_score(thing, name), reverse=True
    )


def _settle(
    thing: str, target_ids: Sequence[str], held: Counter[str], most: int
) -> Home:
    ranked = _target_order(thing, target_ids)
    first = next((name for name in ranked if held[name] < most), ranked[0])
    held[first] += 1
    second = next((name for name in ranked if name != first), None)
    return Home(first, second)


class Orders:
    """Keep the first targets of each object's order in one domain.

    A target that joins or leaves changes an order in place: ranking all
    targets of a large domain for each object anew takes a VM longer than
    serving the request.
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[str, _Order] = OrderedDict()

    def home_of(
        self, thing: str, targets: Mapping[str, object], out: Collection[str]
    ) -> Home | None:
        """Return an object's home, whatever other objects there are.

        `targets` are all of the domain, by id: the same mapping as long
        as they are the same. Those in `out` are passed over.
        """
        order = self._kept.get(thing)
        if order is None:
            order = self._kept[thing] = _Order()
            if len(self._kept) > KEPT_THINGS:
                self._kept.popitem(last=False)
        else:
            self._kept.move_to_end(thing)
        order.follow(thing, targets)
        first = None
        for name in order.names():
            if name in out:
                continue
            if first is not None:
                return Home(first, name)
            first = name
        return _rank_home(thing, targets.keys() - set(out))


class _Order:
    """Hold the first targets of an object, best first."""

    def __init__(self) -> None:
        self._targets: Mapping[str, object] = {}
        self._scored: list[tuple[int, str]] = []

    def names(self) -> Iterator[str]:
        """Yield the ids, best first."""
        return (name for _, name in self._scored)

    def follow(self, thing: str, targets: Mapping[str, object]) -> None:
        """Take over which targets there are now."""
        if targets is self._targets:
            return
        before, self._targets = self._targets, targets
        added = targets.keys() - before.keys()
        kept = [item for item in self._scored if item[1] in targets]
        if len(kept) <= KEPT_RANKS // 2:
            kept, added = [], set(targets)
        worst = kept[-1] if kept else None
        scored = ((rank_score(thing, name), name) for name in added)
        kept += (item for item in scored if worst is None or item > worst)
        self._scored = heapq.nlargest(KEPT_RANKS, kept)


def _rank_home(thing: str, target_ids: Iterable[str]) -> Home | None:
    ranked = heapq.nlargest(
        2, target_ids, key=lambda name: rank_score(thing, name)
    )
    if not ranked:
        return None
    return Home(ranked[0], ranked[1] if len(ranked) > 1 else None)


class Division:
    """Keep the division of one service's objects within one domain.

    An object that is new gets a place among the others at once; all are
    divided anew when targets come or go.
    """

    def __init__(self) -> None:
        self._targets: tuple[str, ...] = ()
        self._homes: dict[str, Home] = {}

    def home_of(
        self, thing: str, things: Mapping[str, None], targets: tuple[str, ...]
    ) -> Home:
        """Return an object's home; `things` are all objects known."""
        if targets != self._targets or (
            thing not in self._homes and self._is_outdated(things)
        ):
            self._targets = targets
            self._homes = divide(things, targets)
        home = self._homes.get(thing)
        if home is None:
            home = self._add(thing)
        return home

    def _is_outdated(self, things: Mapping[str, None]) -> bool:
        """Tell whether enough objects are new to divide all anew."""
        return len(things) >= 1.1 * len(self._homes)

    def _add(self, thing: str) -> Home:
        held = Counter(home.first for home in self._homes.values())
        count = len(self._homes) + 1
        most = math.ceil(SPREAD * count / len(self._targets))
        home = _settle(thing, self._targets, held, most)
        self._homes[thing] = home
        return home


class Things:
    """Remember the objects of one service that requests named of late."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, None] = OrderedDict()

    def note(self, thing: str) -> Mapping[str, None]:
        """Take note of an object; return all that are known."""
        self._seen[thing] = None
        self._seen.move_to_end(thing)
        if len(self._seen) > KEPT_THINGS:
            self._seen.popitem(last=False)
        return self._seen
