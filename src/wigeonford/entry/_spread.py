"""The tree that spreads configuration: parents and heard members."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from wigeonford.messages.object import Member
from wigeonford.peer import PeerClient

FLAT_MEMBERS: Final = 16
FAN_OUT: Final = 4
SUSPECT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class SpreadShape:
    """Set the fan-out, and up to how many members there is no tree."""

    flat_members: int = FLAT_MEMBERS
    fan_out: int = FAN_OUT


def plan_parents(
    members: Iterable[Member], name: str, zone: str, shape: SpreadShape
) -> tuple[Member, ...]:
    """Return a VM's parent and that one's parents, up to the relay.

    Empty for the relay of a zone and in a small fleet: both pull from
    control. A parent's name always sorts before the child's, so that no
    two rosters, however different, can lead to a loop.
    """
    roster = {member.name: member for member in members}
    if len(roster | {name: None}) <= shape.flat_members:
        return ()
    ordered = sorted(
        {m.name for m in roster.values() if m.availability_zone == zone}
        | {name}
    )
    return tuple(
        roster[ordered[index]]
        for index in _ancestors(ordered.index(name), shape.fan_out)
    )


def _ancestors(index: int, fan_out: int) -> Iterator[int]:
    while index > 0:
        index = (index - 1) // fan_out
        yield index


class Parents:
    """Choose the parent to pull from and keep the links to parents."""

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
        self._line: tuple[Member, ...] = ()
        self._suspect_until_s: dict[Member, float] = {}
        self._links: dict[Member, PeerClient] = {}
        self.is_flat = True

    def follow(self, members: Iterable[Member]) -> None:
        """Plan anew from a roster."""
        roster = tuple(members)
        names = {member.name for member in roster} | {self.name}
        self.is_flat = len(names) <= self._shape.flat_members
        self._line = plan_parents(roster, self.name, self._zone, self._shape)
        self._suspect_until_s = {
            member: until_s
            for member, until_s in self._suspect_until_s.items()
            if member in self._line
        }

    def choose(self, now_s: float) -> Member | None:
        """Return the nearest parent not under suspicion; None: control."""
        for member in self._line:
            if self._suspect_until_s.get(member, now_s) <= now_s:
                return member
        return None

    def suspect(self, member: Member, now_s: float) -> None:
        """Pass over a parent that was silent."""
        self._suspect_until_s[member] = now_s + SUSPECT_S

    def suspect_all(self, now_s: float) -> None:
        """Pass over every parent, and so pull from control."""
        for member in self._line:
            self.suspect(member, now_s)

    def link(self, member: Member) -> PeerClient:
        """Return the link to a parent."""
        if member not in self._links:
            self._links[member] = self._connect(member)
        return self._links[member]

    def unused(self) -> list[PeerClient]:
        """Give up the links to VMs that are parents no longer."""
        gone = [m for m in self._links if m not in self._line]
        return [self._links.pop(member) for member in gone]

    def all_links(self) -> list[PeerClient]:
        """Give up every link."""
        self._line = ()
        return self.unused()


@dataclass(frozen=True, slots=True)
class HeardBatch:
    """Hold what goes upward with one message."""

    names: frozenset[str]
    joined: tuple[Member, ...]


class MembersBelow:
    """Pass heartbeats of the members below upward, each once.

    A description goes up only when it is new, changed or asked for.
    """

    def __init__(self) -> None:
        self._known: dict[str, Member] = {}
        self._names: set[str] = set()
        self._joined: set[str] = set()

    @property
    def must_describe(self) -> bool:
        """Tell whether a description waits to go upward."""
        return bool(self._joined)

    def describe(self, member: Member) -> None:
        """Take a description; one of an older start is ignored."""
        held = self._known.get(member.name)
        if held is not None and held.generation > member.generation:
            return
        self._names.add(member.name)
        if held != member:
            self._known[member.name] = member
            self._joined.add(member.name)

    def hear(self, names: Iterable[str]) -> tuple[str, ...]:
        """Take heartbeats; return the names that have no description."""
        unknown = []
        for name in names:
            if name in self._known:
                self._names.add(name)
            else:
                unknown.append(name)
        return tuple(unknown)

    def wanted(self, names: Iterable[str]) -> None:
        """Describe members again that the one above lacks."""
        self._joined.update(name for name in names if name in self._known)

    def forget(self, name: str) -> None:
        """Drop a member that is about to stop."""
        self._known.pop(name, None)
        self._names.discard(name)
        self._joined.discard(name)

    def keep(self, names: frozenset[str]) -> None:
        """Drop the members that are neither in `names` nor waiting."""
        waiting = self._names | self._joined
        for name in self._known.keys() - names - waiting:
            del self._known[name]

    def everything(self) -> None:
        """Describe every member again, for one above that is new."""
        self._joined.update(self._known)

    def take(self) -> HeardBatch:
        """Return what waits to go upward, and start anew."""
        joined = tuple(self._known[name] for name in sorted(self._joined))
        batch = HeardBatch(frozenset(self._names), joined)
        self._names.clear()
        self._joined.clear()
        return batch

    def put_back(self, batch: HeardBatch) -> None:
        """Keep what did not arrive for the next message."""
        for member in batch.joined:
            if member.name in self._known:
                self._joined.add(member.name)
        self._names.update(batch.names & self._known.keys())
