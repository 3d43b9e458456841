"""What an entry VM knows of the control replicas: pure."""

from typing import Final

import msgspec

from wigeonford.messages.steering import (
    EntryStatus,
    members_digest,
    ViewNotice,
)

ROSTER_SOURCES: Final = 2
"""Replicas that a VM has rosters of: each hears every entry VM, and one may
be lost."""
FAR: Final = 2
"""Distance of a replica in another region, or of one not heard yet."""


class _Known(msgspec.Struct):
    """Hold what was heard of a replica, and what it was told.

    `distance` is 0 in the own zone, 1 in the own region, `FAR` elsewhere.
    `told_suspicions` is the sequence up to which it knows this VM's own
    suspicions, `suspicion_revision` up to which this VM knows its.
    """

    distance: int = FAR
    revision: int = 0
    told: EntryStatus | None = None
    told_suspicions: int = 0
    suspicion_revision: int = 0
    in_touch: bool = False


class ControlGroup:
    """Keep the replicas' addresses, how near they are, and who leads."""

    def __init__(self) -> None:
        self.members: frozenset[str] = frozenset()
        self.members_digest = 0
        self.leader: str | None = None
        self.leader_term = 0
        self._known: dict[str, _Known] = {}

    @property
    def in_touch(self) -> frozenset[str]:
        """Return the addresses of the replicas in touch."""
        return frozenset(
            address for address, held in self._known.items() if held.in_touch
        )

    def _of(self, address: str) -> _Known:
        return self._known.setdefault(address, _Known())

    def take(
        self, address: str, notice: ViewNotice, status: EntryStatus
    ) -> bool:
        """Take over a notice that answers a status.

        Tell whether the replica was out of touch before.
        """
        held = self._of(address)
        held.told = status if notice.known else None
        if notice.place is not None:
            region, zone = notice.place
            held.distance = FAR
            if region == status.region:
                held.distance = int(zone != status.availability_zone)
        held.revision = notice.revision
        held.suspicion_revision = notice.suspicion_revision
        regained = not held.in_touch
        held.in_touch = True
        return regained

    def take_leader(self, notice: ViewNotice) -> bool:
        """Take over who leads; tell whether that is news."""
        if notice.leader is None or notice.term <= self.leader_term:
            return False
        self.leader, self.leader_term = notice.leader, notice.term
        return True

    def take_members(self, notice: ViewNotice) -> bool:
        """Take over the replicas' addresses; tell whether they are news."""
        if not notice.control or set(notice.control) == self.members:
            return False
        self.members = frozenset(notice.control)
        self.members_digest = members_digest(self.members)
        return True

    def lose(self, address: str) -> bool:
        """Take note that a replica does not answer; tell if that is news."""
        held = self._of(address)
        lost, held.in_touch, held.told = held.in_touch, False, None
        held.told_suspicions = 0
        return lost

    def forget(self, address: str) -> None:
        """Drop a replica that is no member any more."""
        self._known.pop(address, None)

    def knows_status(self, address: str, status: EntryStatus) -> bool:
        """Tell whether a replica was told how this VM stands."""
        return self._of(address).told == status

    def suspicions_of(self, address: str) -> tuple[int, int]:
        """Return what a replica was told, and up to where its are known."""
        held = self._of(address)
        return held.told_suspicions, held.suspicion_revision

    def note_told(self, address: str, sequence: int) -> None:
        """Take note that a replica knows this VM's own suspicions."""
        self._of(address).told_suspicions = sequence

    def wants_roster(self, address: str) -> bool:
        """Tell whether a replica is among the nearest in touch."""
        return address in self._nearest()[:ROSTER_SOURCES]

    def is_nearest(self, address: str) -> bool:
        """Tell whether a replica is the nearest one in touch."""
        return address in self._nearest()[:1]

    def _nearest(self) -> list[str]:
        """Return the replicas in touch, the nearest first."""
        return sorted(
            self.in_touch,
            key=lambda other: (self._of(other).distance, other),
        )

    def vouches_for(self, revision: int) -> bool:
        """Tell whether most replicas have told, and none something newer."""
        told = [
            held.revision for held in self._known.values() if held.revision
        ]
        return 2 * len(told) > len(self.members) and max(told) <= revision
