"""Rank entry VMs for callers of a zone, by account bucket."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
import heapq
from typing import Final
import zlib

from wigeonford.entry._published import EntryConfig
from wigeonford.messages.object import Member
from wigeonford.model import AvailabilityZone, ObjectSet

MAX_ANSWERS: Final = 4
MAX_OWN_ZONE: Final = 2
MAX_OWN_REGION: Final = 3
ACCOUNT_BUCKETS: Final = 64


@dataclass(frozen=True, slots=True)
class RankedVM:
    """Name an entry VM that a caller may use."""

    name: str
    availability_zone: str
    address: str


@dataclass(frozen=True, slots=True)
class _Topology:
    """Hold what rankings depend on, to tell whether it changed."""

    zones: dict[str, AvailabilityZone]
    members: dict[str, tuple[Member, ...]]
    regions: dict[str, tuple[str, ...]]


class Ranking:
    """Hand out rankings by zone and account bucket, each made once.

    One account's callers of a zone go to the same few VMs, so that its
    budget is mostly spent there. The answers reach beyond the zone and
    the region, so that a caller outlives either.
    """

    def __init__(
        self, config: EntryConfig, previous: "Ranking | None" = None
    ) -> None:
        self._topology = _topology(config)
        self._made: dict[tuple[str | None, int], tuple[RankedVM, ...]] = {}
        if previous is not None and previous._topology == self._topology:
            self._made = previous._made

    def find(self, zone: str | None, seed: str) -> tuple[RankedVM, ...]:
        """Return the entry VMs for a zone's callers, best first."""
        bucket = zlib.crc32(seed.encode()) % ACCOUNT_BUCKETS
        ranked = self._made.get((zone, bucket))
        if ranked is None:
            ranked = tuple(self._rank(zone, bucket))
            self._made[zone, bucket] = ranked
        return ranked

    def _rank(self, zone: str | None, bucket: int) -> Iterator[RankedVM]:
        tiers = list(_enough(self._tiers(zone, bucket)))
        taken: set[str] = set()
        for tier, upto in zip(
            tiers, (MAX_OWN_ZONE, MAX_OWN_REGION, MAX_ANSWERS), strict=False
        ):
            for member in tier[: max(0, upto - len(taken))]:
                taken.add(member.name)
        everyone = [member for tier in tiers for member in tier]
        for member in everyone:
            if len(taken) >= MAX_ANSWERS:
                break
            taken.add(member.name)
        for member in everyone:
            if member.name in taken:
                yield RankedVM(
                    member.name,
                    member.availability_zone,
                    f"{member.host}:{member.port}",
                )

    def _tiers(
        self, zone: str | None, bucket: int
    ) -> Iterator[tuple[Member, ...]]:
        """Yield the best of the zone, of its region and of each other."""
        home = self._topology.zones.get(zone) if zone is not None else None
        if home is None:
            names = self._topology.members
            yield _best(self._of_zones(names), bucket)
            return
        yield _best(self._of_zones((home.name,)), bucket)
        for region in self._topology.regions[home.region]:
            zones = (
                other.name
                for other in self._topology.zones.values()
                if other.region == region and other.name != home.name
            )
            yield _best(self._of_zones(zones), bucket)

    def _of_zones(self, zones: Iterable[str]) -> Iterator[Member]:
        for zone in zones:
            yield from self._topology.members.get(zone, ())


def _enough(
    tiers: Iterable[tuple[Member, ...]],
) -> Iterator[tuple[Member, ...]]:
    """Yield tiers until they fill an answer beyond the home region."""
    found = 0
    for number, tier in enumerate(tiers):
        yield tier
        found += len(tier)
        if number > 1 and tier and found >= MAX_ANSWERS:
            return


def _best(members: Iterable[Member], bucket: int) -> tuple[Member, ...]:
    """Return the least loaded, in an order that the bucket decides."""

    def rank(member: Member) -> tuple[int, int]:
        return member.load_level, _spread(bucket, member.name)

    return tuple(heapq.nsmallest(MAX_ANSWERS, members, key=rank))


def _spread(bucket: int, name: str) -> int:
    """Return a rank that differs by bucket and is stable for each."""
    return zlib.crc32(f"{bucket}/{name}".encode())


def _topology(config: EntryConfig) -> _Topology:
    zones = config.objects.availability_zones
    vms = config.objects.entry_vms
    members: dict[str, list[Member]] = {}
    for member in config.members.values():
        vm = vms.get(member.name)
        if vm is not None and vm.drained:
            continue
        if member.availability_zone in zones:
            members.setdefault(member.availability_zone, []).append(member)
    return _Topology(
        zones,
        {zone: tuple(found) for zone, found in members.items()},
        {
            region: tuple(_region_order(config.objects, region))
            for region in sorted({zone.region for zone in zones.values()})
        },
    )


def _region_order(objects: ObjectSet, home: str) -> Iterator[str]:
    """Yield the region itself, then the others by their link to it."""
    bits_per_s = dict.fromkeys(objects.regions, 0.0)
    for link in objects.links.values():
        if link.from_region == home:
            bits_per_s[link.to_region] = link.bits_per_s
    yield home
    for name in sorted(bits_per_s, key=lambda name: (-bits_per_s[name], name)):
        if name != home:
            yield name
