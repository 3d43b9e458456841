"""Targets as they announce themselves: pure, and the same on replicas."""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Final

import msgspec
from msgspec.structs import replace

MAX_TOMBSTONES: Final = 20000
"""Targets remembered after they left; a day of the target size starts
fewer."""


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a target says of itself.

    `born_ms` is the Unix time of its start and orders its incarnations;
    `sequence` orders what one incarnation says. `cold_s` is how much
    longer it stays cold.
    """

    target_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    software: str
    slots: int
    leaving: bool
    cold_s: float


class Target(msgspec.Struct, frozen=True):
    """Hold a target and the revision that last changed it."""

    revision: int
    announced: Announcement


class Applied(StrEnum):
    """Say what an announcement did."""

    CHANGED = "changed"
    SAME = "same"
    STALE = "stale"
    CONFLICT = "conflict"


_COLD_SLACK_S: Final = 0.75
"""Least change of the cold time worth a record; half an interval of
announcements."""


class TargetTable:
    """Order announcements by incarnation and sequence.

    A target that left stays known by its incarnation, so that a late
    announcement doesn't bring it back. One address belongs to the target
    that was started last.
    """

    def __init__(
        self,
        targets: Iterable[Target] = (),
        tombstones: Iterable[tuple[str, int, int]] = (),
    ) -> None:
        self._targets = {held.announced.target_id: held for held in targets}
        self._by_address = {
            held.announced.address: held.announced.target_id
            for held in self._targets.values()
        }
        # By id: the revision at which it left, and its incarnation.
        self._tombstones = {
            name: (revision, born_ms) for name, revision, born_ms in tombstones
        }

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def get(self, target_id: str) -> Target | None:
        """Return a target, or None."""
        return self._targets.get(target_id)

    def tombstones(self) -> Iterator[tuple[str, int, int]]:
        """Yield id, revision and incarnation of each target that left."""
        for name, (revision, born_ms) in self._tombstones.items():
            yield name, revision, born_ms

    def judge(self, said: Announcement, cold_left_s: float) -> Applied:
        """Return what an announcement would do.

        `cold_left_s` is how long the target is believed to stay cold.
        """
        gone = self._tombstones.get(said.target_id)
        if gone is not None and said.born_ms <= gone[1]:
            return Applied.STALE
        held = self._targets.get(said.target_id)
        if held is not None and said.born_ms <= held.announced.born_ms:
            return self._judge_known(held.announced, said, cold_left_s)
        other = self._by_address.get(said.address)
        if other is not None and other != said.target_id:
            holder = self._targets[other].announced
            if holder.born_ms > said.born_ms:
                return Applied.STALE
        return Applied.CHANGED

    def _judge_known(
        self, held: Announcement, said: Announcement, cold_left_s: float
    ) -> Applied:
        if said.born_ms < held.born_ms or said.sequence < held.sequence:
            return Applied.STALE
        fixed = replace(
            said,
            sequence=held.sequence,
            leaving=held.leaving,
            cold_s=held.cold_s,
            slots=held.slots,
            software=held.software,
        )
        if fixed != held:
            return Applied.CONFLICT
        if held.leaving and not said.leaving:
            return Applied.STALE
        same_cold = abs(said.cold_s - cold_left_s) <= _COLD_SLACK_S
        if said.leaving == held.leaving and same_cold:
            return Applied.SAME
        return Applied.CHANGED

    def put(self, revision: int, said: Announcement) -> bool:
        """Take over an announcement; tell whether it changed anything."""
        judged = self.judge(said, -1.0)
        if judged not in (Applied.CHANGED, Applied.SAME):
            return False
        other = self._by_address.get(said.address)
        if other is not None and other != said.target_id:
            self.remove(revision, other)
        held = self._targets.get(said.target_id)
        if held is not None and held.announced.address != said.address:
            self._by_address.pop(held.announced.address, None)
        self._tombstones.pop(said.target_id, None)
        self._targets[said.target_id] = Target(revision, said)
        self._by_address[said.address] = said.target_id
        return True

    def remove(self, revision: int, target_id: str) -> bool:
        """Remove a target for good; tell whether it was known."""
        held = self._targets.pop(target_id, None)
        if held is None:
            return False
        address = held.announced.address
        if self._by_address.get(address) == target_id:
            del self._by_address[address]
        self._tombstones[target_id] = (revision, held.announced.born_ms)
        if len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        return True

    def changed_since(self, revision: int) -> Iterator[Target]:
        """Yield the targets that changed after a revision."""
        return (held for held in self if held.revision > revision)

    def removed_since(self, revision: int) -> Iterator[str]:
        """Yield the ids of targets that left after a revision."""
        for name, (left_at, _) in self._tombstones.items():
            if left_at > revision:
                yield name
