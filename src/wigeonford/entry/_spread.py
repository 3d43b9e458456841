"""Distribution tree of the configuration: parents and heartbeats."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from wigeonford.messages.object import Member
from wigeonford.peer import PeerClient

MAX_MEMBERS_WITHOUT_TREE: Final = 16
FAN_OUT: Final = 4
SUSPECT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class SpreadShape:
    """Configure the tree: its fan-out, and the largest fleet without one."""

    max_members_without_tree: int = MAX_MEMBERS_WITHOUT_TREE
    fan_out: int = FAN_OUT


def plan_parents(
    members: Iterable[Member], name: str, zone: str, shape: SpreadShape
) -> tuple[Member, ...]:
    """Return a VM's parent and its ancestors, up to the zone's relay.

    The result is empty for the relay, the root of a zone's tree, and in a
    small fleet: these VMs pull from control. A parent's name always sorts
    before the child's, so that VMs with different rosters can't form a
    loop.
    """
    roster = {member.name: member for member in members}
    if len(roster | {name: None}) <= shape.max_members_without_tree:
        return ()
    ordered = sorted(
        {m.name for m in roster.values() if m.availability_zone == zone}
        | {name}
    )
    return tuple(
        roster[ordered[index]]
        for index in _ancestor_indexes(ordered.index(name), shape.fan_out)
    )


def _ancestor_indexes(index: int, fan_out: int) -> Iterator[int]:
    while index > 0:
        index = (index - 1) // fan_out
        yield index


class Parents:
    """Choose the parent to pull from and provide clients for parents."""

    def __init__(
        self,
        name: str,
        zone: str,
        connect: Callable[[Member], PeerClient],
        shape: SpreadShape,
    ) -> None:
        self.name = name
        self._zone = zone
        self._connect = connect
        self._shape = shape
        self._ancestors_nearest_first: tuple[Member, ...] = ()
        self._suspect_until_s: dict[Member, float] = {}
        self._clients: dict[Member, PeerClient] = {}
        self.is_flat = True

    def update_roster(self, members: Iterable[Member]) -> None:
        """Compute the parents from a roster."""
        roster = tuple(members)
        names = {member.name for member in roster} | {self.name}
        self.is_flat = len(names) <= self._shape.max_members_without_tree
        self._ancestors_nearest_first = plan_parents(
            roster, self.name, self._zone, self._shape
        )
        self._suspect_until_s = {
            member: until_s
            for member, until_s in self._suspect_until_s.items()
            if member in self._ancestors_nearest_first
        }

    def choose(self, now_s: float) -> Member | None:
        """Return the nearest parent that is not skipped, or None.

        None means that this VM pulls from control.
        """
        for member in self._ancestors_nearest_first:
            if self._suspect_until_s.get(member, now_s) <= now_s:
                return member
        return None

    def suspect(self, member: Member, now_s: float) -> None:
        """Skip a parent for `SUSPECT_S`."""
        self._suspect_until_s[member] = now_s + SUSPECT_S

    def suspect_all(self, now_s: float) -> None:
        """Skip every parent, so that this VM pulls from control."""
        for member in self._ancestors_nearest_first:
            self.suspect(member, now_s)

    def client_for(self, member: Member) -> PeerClient:
        """Return the client for a parent."""
        if member not in self._clients:
            self._clients[member] = self._connect(member)
        return self._clients[member]

    def remove_unused_clients(self) -> list[PeerClient]:
        """Remove and return the clients for VMs that are not parents."""
        former_parents = [
            m for m in self._clients if m not in self._ancestors_nearest_first
        ]
        return [self._clients.pop(member) for member in former_parents]

    def remove_all_clients(self) -> list[PeerClient]:
        """Remove and return all clients."""
        self._ancestors_nearest_first = ()
        return self.remove_unused_clients()


@dataclass(frozen=True, slots=True)
class HeartbeatBatch:
    """Hold the heartbeats and descriptions of one upstream message."""

    names: frozenset[str]
    joined: tuple[Member, ...]


class DownstreamMembers:
    """Collect heartbeats of this VM and those below it in the tree.

    Each heartbeat is sent upstream once. The description of a member is
    sent only if it is new, changed or requested.
    """

    def __init__(self) -> None:
        self._descriptions: dict[str, Member] = {}
        self._queued_heartbeats: set[str] = set()
        self._queued_descriptions: set[str] = set()

    @property
    def has_descriptions(self) -> bool:
        """Return whether a description is waiting to be sent upstream."""
        return bool(self._queued_descriptions)

    def record_member(self, member: Member) -> None:
        """Record a description; ignore one of an earlier process start."""
        previous = self._descriptions.get(member.name)
        if previous is not None and previous.generation > member.generation:
            return
        self._queued_heartbeats.add(member.name)
        if previous != member:
            self._descriptions[member.name] = member
            self._queued_descriptions.add(member.name)

    def record_heartbeats(self, names: Iterable[str]) -> tuple[str, ...]:
        """Record heartbeats; return the names without a description."""
        unknown = []
        for name in names:
            if name in self._descriptions:
                self._queued_heartbeats.add(name)
            else:
                unknown.append(name)
        return tuple(unknown)

    def queue_descriptions(self, names: Iterable[str]) -> None:
        """Queue descriptions that the upstream peer lacks."""
        self._queued_descriptions.update(
            name for name in names if name in self._descriptions
        )

    def forget(self, name: str) -> None:
        """Remove a member that stops or has left the roster."""
        self._descriptions.pop(name, None)
        self._queued_heartbeats.discard(name)
        self._queued_descriptions.discard(name)

    def retain(self, names: frozenset[str]) -> None:
        """Remove the members that are neither in `names` nor queued."""
        queued = self._queued_heartbeats | self._queued_descriptions
        for name in self._descriptions.keys() - names - queued:
            del self._descriptions[name]

    def queue_all_descriptions(self) -> None:
        """Queue all descriptions, because the upstream peer changed."""
        self._queued_descriptions.update(self._descriptions)

    def take(self) -> HeartbeatBatch:
        """Return and clear the queued heartbeats and descriptions."""
        joined = tuple(
            self._descriptions[name]
            for name in sorted(self._queued_descriptions)
        )
        batch = HeartbeatBatch(frozenset(self._queued_heartbeats), joined)
        self._queued_heartbeats.clear()
        self._queued_descriptions.clear()
        return batch

    def restore(self, batch: HeartbeatBatch) -> None:
        """Queue a batch again that could not be sent."""
        for member in batch.joined:
            if member.name in self._descriptions:
                self._queued_descriptions.add(member.name)
        self._queued_heartbeats.update(batch.names & self._descriptions.keys())
