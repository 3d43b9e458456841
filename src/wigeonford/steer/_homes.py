"""Assign objects to home targets: pure.

A target serves a request for an object that it remembers, a warm object, in a
third of the time, and it remembers only a few objects. Requests per object
differ widely. So each object has a home target, and a second one that serves
it while the first is busy. All entry VMs assign the recent objects in the same
way, and no target gets many more objects than the average.

Where many entry VMs share the requests, each has seen other objects, so their
even assignments would differ and an object would become warm at many targets.
There, an object's home is the first target of its rendezvous ranking.
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

MAX_LOAD_FACTOR: Final = 1.15
"""Objects that a target may be home to, as a multiple of the average."""
MAX_DIVIDING_VMS: Final = 8
"""Entry VMs of a region up to which each has seen most objects within a few
seconds. With more of them, even assignments differ from VM to VM."""
RANKED_TARGETS: Final = 8
"""Targets kept of each object's ranking; more are seldom excluded at once."""
MAX_OBJECTS: Final = 2048
"""Objects remembered for each service; a fleet of the target size has some
hundreds for each."""


def rank_score(object_id: str, target_id: str) -> int:
    """Return the rendezvous score of a target for an object.

    The target with the highest score is the first in the object's ranking.
    """
    digest = hashlib.blake2b(
        f"{object_id}\0{target_id}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


class Home(msgspec.Struct, frozen=True):
    """Name an object's home target, and the one used when that is busy."""

    first: str
    second: str | None


def assign_homes(
    object_ids: Iterable[str], target_ids: Sequence[str]
) -> dict[str, Home]:
    """Return the homes of objects among some targets.

    Rendezvous hashing with bounded loads: when a target joins or leaves, few
    objects move besides its own.
    """
    ordered = sorted(object_ids, key=_object_score)
    max_objects = math.ceil(MAX_LOAD_FACTOR * len(ordered) / len(target_ids))
    object_counts: Counter[str] = Counter()
    homes: dict[str, Home] = {}
    for object_id in ordered:
        homes[object_id] = _assign_home(
            object_id, target_ids, object_counts, max_objects
        )
    return homes


def _object_score(object_id: str) -> int:
    return rank_score(object_id, "")


def _rank_targets(object_id: str, target_ids: Iterable[str]) -> list[str]:
    return sorted(
        target_ids,
        key=lambda target_id: rank_score(object_id, target_id),
        reverse=True,
    )


def _assign_home(
    object_id: str,
    target_ids: Sequence[str],
    object_counts: Counter[str],
    max_objects: int,
) -> Home:
    ranked = _rank_targets(object_id, target_ids)
    first = next(
        (
            target_id
            for target_id in ranked
            if object_counts[target_id] < max_objects
        ),
        ranked[0],
    )
    object_counts[first] += 1
    second = next(
        (target_id for target_id in ranked if target_id != first), None
    )
    return Home(first, second)


class ObjectRankings:
    """Cache the first targets of each object's ranking in one domain.

    When a target joins or leaves, the cached rankings are updated. Ranking all
    targets of a large domain anew for each object takes longer than serving
    the request.
    """

    def __init__(self) -> None:
        self._rankings: OrderedDict[str, _ObjectRanking] = OrderedDict()

    def home_of(
        self,
        object_id: str,
        targets: Mapping[str, object],
        excluded_ids: Collection[str],
    ) -> Home | None:
        """Return an object's home, independent of all other objects.

        `targets` are all of the domain, by id. It must be the same mapping as
        long as the targets are the same. Targets in `excluded_ids` are
        skipped.
        """
        ranking = self._rankings.get(object_id)
        if ranking is None:
            ranking = self._rankings[object_id] = _ObjectRanking()
            if len(self._rankings) > MAX_OBJECTS:
                self._rankings.popitem(last=False)
        else:
            self._rankings.move_to_end(object_id)
        ranking.update(object_id, targets)
        first = None
        for target_id in ranking.target_ids():
            if target_id in excluded_ids:
                continue
            if first is not None:
                return Home(first, target_id)
            first = target_id
        return _rank_home(object_id, targets.keys() - set(excluded_ids))


class _ObjectRanking:
    """Hold the first targets of an object's ranking, best first."""

    def __init__(self) -> None:
        self._targets: Mapping[str, object] = {}
        self._scored: list[tuple[int, str]] = []

    def target_ids(self) -> Iterator[str]:
        """Yield the target ids, best first."""
        return (target_id for _, target_id in self._scored)

    def update(self, object_id: str, targets: Mapping[str, object]) -> None:
        """Update the ranking to the present targets."""
        if targets is self._targets:
            return
        previous, self._targets = self._targets, targets
        added = targets.keys() - previous.keys()
        remaining = [item for item in self._scored if item[1] in targets]
        if len(remaining) <= RANKED_TARGETS // 2:
            remaining, added = [], set(targets)
        worst = remaining[-1] if remaining else None
        scored = (
            (rank_score(object_id, target_id), target_id)
            for target_id in added
        )
        remaining += (item for item in scored if worst is None or item > worst)
        self._scored = heapq.nlargest(RANKED_TARGETS, remaining)


def _rank_home(object_id: str, target_ids: Iterable[str]) -> Home | None:
    ranked = heapq.nlargest(
        2, target_ids, key=lambda target_id: rank_score(object_id, target_id)
    )
    if not ranked:
        return None
    return Home(ranked[0], ranked[1] if len(ranked) > 1 else None)


class HomeAssignment:
    """Cache the homes of one service's objects within one domain.

    A new object is assigned without moving others. All objects are assigned
    anew when the targets change, or when many objects are new.
    """

    def __init__(self) -> None:
        self._targets: tuple[str, ...] = ()
        self._homes: dict[str, Home] = {}

    def home_of(
        self,
        object_id: str,
        object_ids: Mapping[str, None],
        targets: tuple[str, ...],
    ) -> Home:
        """Return an object's home; `object_ids` are all objects known."""
        if targets != self._targets or (
            object_id not in self._homes
            and self._needs_reassignment(object_ids)
        ):
            self._targets = targets
            self._homes = assign_homes(object_ids, targets)
        home = self._homes.get(object_id)
        if home is None:
            home = self._add(object_id)
        return home

    def _needs_reassignment(self, object_ids: Mapping[str, None]) -> bool:
        """Return whether a tenth more objects are known than are assigned."""
        return len(object_ids) >= 1.1 * len(self._homes)

    def _add(self, object_id: str) -> Home:
        object_counts = Counter(home.first for home in self._homes.values())
        count = len(self._homes) + 1
        max_objects = math.ceil(MAX_LOAD_FACTOR * count / len(self._targets))
        home = _assign_home(
            object_id, self._targets, object_counts, max_objects
        )
        self._homes[object_id] = home
        return home


class RecentObjects:
    """Remember the objects of one service that recent requests named."""

    def __init__(self) -> None:
        self._seen: OrderedDict[str, None] = OrderedDict()

    def record(self, object_id: str) -> Mapping[str, None]:
        """Record an object; return all that are remembered."""
        self._seen[object_id] = None
        self._seen.move_to_end(object_id)
        if len(self._seen) > MAX_OBJECTS:
            self._seen.popitem(last=False)
        return self._seen
