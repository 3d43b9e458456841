"""Look-ups: from a caller's address to ranked entry VMs."""

import bisect
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
import ipaddress
import itertools
from typing import Final
import zlib

from wigeonford.entry._config import EntryConfig
from wigeonford.model import AvailabilityZone, ClientBlock
from wigeonford.peer import Member

LOOKUP_LIFETIME_S: Final = 5.0
MAX_ANSWERS: Final = 4

_BITS: Final[dict[int, int]] = {4: 32, 6: 128}


class BlockTable:
    """Find the longest prefix that holds an address."""

    def __init__(self, blocks: Iterable[ClientBlock]) -> None:
        self._starts: dict[tuple[int, int], list[int]] = {}
        self._zones: dict[tuple[int, int], list[str]] = {}
        rows: dict[tuple[int, int], list[tuple[int, str]]] = {}
        for block in blocks:
            network = ipaddress.ip_network(block.prefix)
            version: int = network.version
            key = (version, network.prefixlen)
            start = int(network.network_address)
            rows.setdefault(key, []).append((start, block.availability_zone))
        for key in sorted(rows, reverse=True):
            ordered = sorted(rows[key])
            self._starts[key] = [start for start, _ in ordered]
            self._zones[key] = [zone for _, zone in ordered]

    def find(self, address: str) -> str | None:
        """Return the availability zone near an address, or None."""
        parsed = ipaddress.ip_address(address)
        value = int(parsed)
        for (version, length), starts in self._starts.items():
            if version != parsed.version:
                continue
            shift = _BITS[version] - length
            start = value >> shift << shift
            index = bisect.bisect_left(starts, start)
            if index < len(starts) and starts[index] == start:
                return self._zones[version, length][index]
        return None


@dataclass(frozen=True, slots=True)
class RankedVM:
    """Name an entry VM that a caller may use."""

    name: str
    availability_zone: str
    address: str


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Answer a look-up: VMs, best first, and how long that holds."""

    entry_vms: tuple[RankedVM, ...]
    lifetime_s: float
    revision: int


class Lookup:
    """Answer look-ups from one revision of the configuration."""

    def __init__(self, config: EntryConfig) -> None:
        self._config = config
        self._blocks = BlockTable(config.objects.client_blocks.values())

    def answer(
        self, client: str, seed: str, without: str | None = None
    ) -> LookupAnswer:
        """Return the entry VMs for a caller's address, nearest first."""
        zone = self._blocks.find(client)
        zones = self._config.objects.availability_zones
        home = zones.get(zone) if zone is not None else None
        region = home.region if home is not None else None

        def rank(member: Member) -> tuple[bool, bool, int]:
            near = zones[member.availability_zone]
            return (
                near.region != region,
                near.name != zone,
                _spread(seed, member.name),
            )

        usable = (vm for vm in self._usable() if vm.name != without)
        ranked = _with_another_region(sorted(usable, key=rank), region, zones)
        return LookupAnswer(
            tuple(
                RankedVM(
                    member.name,
                    member.availability_zone,
                    f"{member.host}:{member.port}",
                )
                for member in ranked
            ),
            LOOKUP_LIFETIME_S,
            self._config.revision,
        )

    def _usable(self) -> Iterable[Member]:
        vms = self._config.objects.entry_vms
        zones = self._config.objects.availability_zones
        for member in self._config.members.values():
            vm = vms.get(member.name)
            if vm is not None and vm.drained:
                continue
            if member.availability_zone in zones:
                yield member


def _with_another_region(
    ranked: list[Member],
    region: str | None,
    zones: Mapping[str, AvailabilityZone],
) -> list[Member]:
    """Return the first ones, the last of which is of another region.

    A caller whose region is lost would be left without a VM otherwise.
    """
    chosen = ranked[:MAX_ANSWERS]
    others = (
        member
        for member in ranked[MAX_ANSWERS:]
        if zones[member.availability_zone].region != region
    )
    if all(zones[vm.availability_zone].region == region for vm in chosen):
        chosen[-1:] = [*itertools.islice(others, 1)] or chosen[-1:]
    return chosen


def _spread(seed: str, name: str) -> int:
    """Return a rank that differs by seed and is stable for each."""
    return zlib.crc32(f"{seed}/{name}".encode())
