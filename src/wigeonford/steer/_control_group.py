"""What an entry VM knows of the control replicas: pure."""

from typing import Final

import msgspec

from wigeonford.messages.steering import (
    control_digest,
    EntryStatus,
    ViewNotice,
)
from wigeonford.settings import is_address

ROSTER_SOURCES: Final = 2
"""Replicas from which a VM gets rosters. Each receives the status of every
entry VM, and one may fail."""
REMOTE_DISTANCE: Final = 2
"""Distance of a replica in another region, or of one that has not replied
yet."""


class _ReplicaState(msgspec.Struct):
    """Hold what a replica has sent, and what this VM has sent to it.

    `distance` is 0 in the own zone, 1 in the own region, `REMOTE_DISTANCE`
    elsewhere. `revision` is the one that the replica last announced.
    `reported_status` is this VM's status as the replica knows it.
    """

    distance: int = REMOTE_DISTANCE
    revision: int = 0
    reported_status: EntryStatus | None = None
    is_connected: bool = False


class ControlGroup:
    """Record the replicas' addresses and distances, and the leader."""

    def __init__(self) -> None:
        self.members: frozenset[str] = frozenset()
        self._stated_members: frozenset[str] = frozenset()
        self.control_digest = 0
        self.leader: str | None = None
        self.leader_term = 0
        self._states: dict[str, _ReplicaState] = {}

    @property
    def unusable_members(self) -> frozenset[str]:
        """Return the stated addresses that are not endpoints."""
        return self._stated_members - self.members

    @property
    def connected(self) -> frozenset[str]:
        """Return the addresses of the connected replicas."""
        return frozenset(
            address
            for address, state in self._states.items()
            if state.is_connected
        )

    def _state_of(self, address: str) -> _ReplicaState:
        return self._states.setdefault(address, _ReplicaState())

    def apply(
        self, address: str, notice: ViewNotice, status: EntryStatus
    ) -> bool:
        """Apply a notice that a replica sent in reply to a status.

        Return whether the replica was disconnected before.
        """
        state = self._state_of(address)
        state.reported_status = status if notice.is_known else None
        if notice.location is not None:
            region, zone = notice.location
            state.distance = REMOTE_DISTANCE
            if region == status.region:
                state.distance = int(zone != status.availability_zone)
        state.revision = notice.revision
        was_disconnected = not state.is_connected
        state.is_connected = True
        return was_disconnected

    def update_leader(self, notice: ViewNotice) -> bool:
        """Apply the leader of a notice; return whether it is a new one."""
        if notice.leader is None or notice.term <= self.leader_term:
            return False
        if not is_address(notice.leader):
            return False
        self.leader, self.leader_term = notice.leader, notice.term
        return True

    def update_members(self, notice: ViewNotice) -> bool:
        """Apply a notice's replica addresses; return whether they changed."""
        if not notice.control or set(notice.control) == self._stated_members:
            return False
        self._stated_members = frozenset(notice.control)
        self.control_digest = control_digest(self._stated_members)
        self.members = frozenset(filter(is_address, self._stated_members))
        return True

    def mark_disconnected(self, address: str) -> bool:
        """Mark a replica disconnected; return whether it was connected."""
        state = self._state_of(address)
        was_connected, state.is_connected, state.reported_status = (
            state.is_connected,
            False,
            None,
        )
        return was_connected

    def remove(self, address: str) -> None:
        """Drop a replica that is no longer a member."""
        self._states.pop(address, None)

    def knows_status(self, address: str, status: EntryStatus) -> bool:
        """Return whether a replica knows this VM's present status."""
        return self._state_of(address).reported_status == status

    def is_roster_source(self, address: str) -> bool:
        """Return whether a replica is among the nearest connected ones."""
        return address in self._nearest()[:ROSTER_SOURCES]

    def is_nearest(self, address: str) -> bool:
        """Return whether a replica is the nearest connected one."""
        return address in self._nearest()[:1]

    def _nearest(self) -> list[str]:
        """Return the connected replicas, the nearest first."""
        return sorted(
            self.connected,
            key=lambda address: (self._state_of(address).distance, address),
        )

    def confirms(self, revision: int) -> bool:
        """Return whether a revision is the newest by a majority of replicas.

        More than half of the replicas must have announced a revision, and none
        a newer one.
        """
        revisions = [
            state.revision for state in self._states.values() if state.revision
        ]
        return (
            2 * len(revisions) > len(self.members)
            and max(revisions) <= revision
        )
