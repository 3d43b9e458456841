"""Rank entry VMs for callers, by availability zone and account."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
import heapq
from typing import Final
import zlib

from wigeonford.entry._published import EntryConfig
from wigeonford.messages.object import Member
from wigeonford.model import AvailabilityZone, ObjectSet

MAX_RANKED_VMS: Final = 4
MAX_FROM_OWN_ZONE: Final = 2
MAX_FROM_OWN_REGION: Final = 3
ACCOUNT_BUCKETS: Final = 64


@dataclass(frozen=True, slots=True)
class RankedVM:
    """Describe an entry VM that a caller may use."""

    name: str
    availability_zone: str
    address: str


@dataclass(frozen=True, slots=True)
class _Topology:
    """Hold the inputs of rankings, compared to detect changes."""

    zones: dict[str, AvailabilityZone]
    members: dict[str, tuple[Member, ...]]
    regions: dict[str, tuple[str, ...]]


class Ranking:
    """Compute and cache rankings by zone and account bucket.

    The callers of one account in a zone are sent to the same few VMs, so
    that most of the account's rate is leased to those. Each ranking also
    lists VMs of other zones and regions, so that callers have an
    alternative when their own zone or region fails.
    """

    def __init__(
        self, config: EntryConfig, previous: "Ranking | None" = None
    ) -> None:
        self._topology = _topology(config)
        self._rankings: dict[tuple[str | None, int], tuple[RankedVM, ...]] = {}
        if previous is not None and previous._topology == self._topology:
            self._rankings = previous._rankings

    def find(self, zone: str | None, seed: str) -> tuple[RankedVM, ...]:
        """Return the entry VMs for a zone's callers, best first.

        `seed` names the client account, or the caller if that is unknown.
        """
        bucket = zlib.crc32(seed.encode()) % ACCOUNT_BUCKETS
        ranked = self._rankings.get((zone, bucket))
        if ranked is None:
            ranked = tuple(self._rank(zone, bucket))
            self._rankings[zone, bucket] = ranked
        return ranked

    def _rank(self, zone: str | None, bucket: int) -> Iterator[RankedVM]:
        tiers = list(_tiers_needed(self._tiers(zone, bucket)))
        chosen: set[str] = set()
        for tier, max_chosen in zip(
            tiers,
            (MAX_FROM_OWN_ZONE, MAX_FROM_OWN_REGION, MAX_RANKED_VMS),
            strict=False,
        ):
            for member in tier[: max(0, max_chosen - len(chosen))]:
                chosen.add(member.name)
        candidates = [member for tier in tiers for member in tier]
        for member in candidates:
            if len(chosen) >= MAX_RANKED_VMS:
                break
            chosen.add(member.name)
        for member in candidates:
            if member.name in chosen:
                yield RankedVM(
                    member.name,
                    member.availability_zone,
                    f"{member.host}:{member.port}",
                )

    def _tiers(
        self, zone: str | None, bucket: int
    ) -> Iterator[tuple[Member, ...]]:
        """Yield the best VMs of the zone, its region and other regions."""
        home = self._topology.zones.get(zone) if zone is not None else None
        if home is None:
            names = self._topology.members
            yield _least_loaded(self._members_of(names), bucket)
            return
        yield _least_loaded(self._members_of((home.name,)), bucket)
        for region in self._topology.regions[home.region]:
            zones = (
                other.name
                for other in self._topology.zones.values()
                if other.region == region and other.name != home.name
            )
            yield _least_loaded(self._members_of(zones), bucket)

    def _members_of(self, zones: Iterable[str]) -> Iterator[Member]:
        for zone in zones:
            yield from self._topology.members.get(zone, ())


def _tiers_needed(
    tiers: Iterable[tuple[Member, ...]],
) -> Iterator[tuple[Member, ...]]:
    """Yield tiers until a ranking is full and leaves the home region."""
    member_count = 0
    for tier_index, tier in enumerate(tiers):
        yield tier
        member_count += len(tier)
        if tier_index > 1 and tier and member_count >= MAX_RANKED_VMS:
            return


def _least_loaded(
    members: Iterable[Member], bucket: int
) -> tuple[Member, ...]:
    """Return the least loaded members; the bucket decides among equals."""

    def rank(member: Member) -> tuple[int, int]:
        return member.load_level, _hash_rank(bucket, member.name)

    return tuple(heapq.nsmallest(MAX_RANKED_VMS, members, key=rank))


def _hash_rank(bucket: int, name: str) -> int:
    """Return a pseudo-random rank that is stable for each bucket."""
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
        {zone: tuple(in_zone) for zone, in_zone in members.items()},
        {
            region: tuple(_region_order(config.objects, region))
            for region in sorted({zone.region for zone in zones.values()})
        },
    )


def _region_order(objects: ObjectSet, home: str) -> Iterator[str]:
    """Yield the region itself, then the others by link bandwidth."""
    bits_per_s = dict.fromkeys(objects.regions, 0.0)
    for link in objects.links.values():
        if link.from_region == home:
            bits_per_s[link.to_region] = link.bits_per_s
    yield home
    for name in sorted(bits_per_s, key=lambda name: (-bits_per_s[name], name)):
        if name != home:
            yield name
