"""Longest-prefix match of addresses in sorted arrays."""

from array import array
import bisect
from collections.abc import Iterable, Iterator, Mapping
import ipaddress
import socket
from typing import Final

from wigeonford.model import (
    ADDRESS_BITS,
    ClientBlock,
    ClientBlockPage,
    decode_prefixes,
    Prefix,
)

_LENGTH_SHIFT: Final = 8
_ZONE_MASK: Final = 0xFF
_LOW_BITS: Final = 64
_LOW_BITS_MASK: Final = (1 << _LOW_BITS) - 1
_NO_ENTRY: Final = 0
_IPV4_MAPPED_START: Final = bytes(10) + b"\xff\xff"


class RangeTable:
    """Map disjoint address ranges to a prefix length and a zone.

    Nested prefixes are flattened into disjoint ranges, so that one binary
    search finds the longest match. An entry is the prefix length shifted
    left by 8, plus the zone's index plus 1. Entry 0 marks a range outside
    of all prefixes.
    """

    __slots__ = ("_entries", "_highs", "_starts")

    def __init__(self, version: int, prefixes: Iterable[Prefix]) -> None:
        ranges = list(flatten(version, prefixes))
        self._entries = array("H", (entry for _, entry in ranges))
        self._highs: array[int] | None = None
        if version == 4:
            self._starts = array("I", (start for start, _ in ranges))
            return
        self._highs = array("Q", (start >> _LOW_BITS for start, _ in ranges))
        self._starts = array(
            "Q", (start & _LOW_BITS_MASK for start, _ in ranges)
        )

    def find(self, value: int) -> int:
        """Return the entry of an address, 0 if no prefix contains it."""
        if self._highs is None:
            index = bisect.bisect_right(self._starts, value)
        else:
            high = value >> _LOW_BITS
            first = bisect.bisect_left(self._highs, high)
            after = bisect.bisect_right(self._highs, high, first)
            low = value & _LOW_BITS_MASK
            index = bisect.bisect_right(self._starts, low, first, after)
        return self._entries[index - 1] if index else _NO_ENTRY

    @property
    def size_bytes(self) -> int:
        """Return the size of the arrays."""
        arrays = (self._entries, self._starts, self._highs or array("Q"))
        return sum(len(part) * part.itemsize for part in arrays)


def flatten(
    version: int, prefixes: Iterable[Prefix]
) -> Iterator[tuple[int, int]]:
    """Yield the start and the entry of each range, in address order."""
    bits = ADDRESS_BITS[version]
    previous = _NO_ENTRY
    for start, entry in _iterate_edges(bits, prefixes):
        if start >> bits or entry == previous:
            continue
        yield start, entry
        previous = entry


def _iterate_edges(
    bits: int, prefixes: Iterable[Prefix]
) -> Iterator[tuple[int, int]]:
    """Yield the start and entry at each edge, the last of equal starts."""
    open_ranges: list[tuple[int, int]] = []
    pending: tuple[int, int] | None = None
    ordered = sorted(prefixes, key=lambda p: (p.start, p.length))
    for prefix in ordered:
        for edge in _close_ranges(open_ranges, prefix.start):
            if pending is not None and pending[0] != edge[0]:
                yield pending
            pending = edge
        entry = (prefix.length << _LENGTH_SHIFT) | (prefix.zone + 1)
        if pending is not None and pending[0] != prefix.start:
            yield pending
        pending = (prefix.start, entry)
        after = prefix.start + (1 << (bits - prefix.length))
        open_ranges.append((after, entry))
    for edge in _close_ranges(open_ranges, 1 << bits):
        if pending is not None and pending[0] != edge[0]:
            yield pending
        pending = edge
    if pending is not None:
        yield pending


def _close_ranges(
    open_ranges: list[tuple[int, int]], until_address: int
) -> Iterator[tuple[int, int]]:
    """Remove the ranges that have ended; yield the entry after each."""
    while open_ranges and open_ranges[-1][0] <= until_address:
        after, _ = open_ranges.pop()
        entry = open_ranges[-1][1] if open_ranges else _NO_ENTRY
        yield after, entry


class _Page:
    """Hold the ranges of one page and the names of its zones."""

    __slots__ = ("ranges", "zones")

    def __init__(
        self, version: int, prefixes: Iterable[Prefix], zones: tuple[str, ...]
    ) -> None:
        self.ranges = RangeTable(version, prefixes)
        self.zones = zones


class _Family:
    """Hold the pages of an address family, sorted by start address.

    `wide` is the page that covers all addresses, `listed` the page of the
    blocks that are stored as single objects.
    """

    __slots__ = ("listed", "pages", "starts", "wide")

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.pages: list[_Page] = []
        self.wide: _Page | None = None
        self.listed: _Page | None = None

    def find(self, value: int) -> str | None:
        best = _NO_ENTRY
        zones: tuple[str, ...] = ()
        for page in self._candidates(value):
            entry = page.ranges.find(value)
            # Compare lengths: the longest match of all pages wins.
            if entry >> _LENGTH_SHIFT > best >> _LENGTH_SHIFT or not best:
                best, zones = entry, page.zones
        return zones[(best & _ZONE_MASK) - 1] if best else None

    def _candidates(self, value: int) -> Iterator[_Page]:
        if self.listed is not None:
            yield self.listed
        index = bisect.bisect_right(self.starts, value)
        if index:
            yield self.pages[index - 1]
        if self.wide is not None:
            yield self.wide


class BlockTable:
    """Map addresses to availability zones by client blocks and pages.

    Unchanged pages of a previous table are reused, so that a change only
    rebuilds the pages that it affects.
    """

    def __init__(
        self,
        blocks: Iterable[ClientBlock],
        pages: Iterable[ClientBlockPage] = (),
        previous: "BlockTable | None" = None,
    ) -> None:
        self._families = {4: _Family(), 6: _Family()}
        self._pages: dict[ClientBlockPage, _Page] = {}
        previous_pages = previous._pages if previous is not None else {}
        for version, listed in _build_listed_pages(blocks).items():
            self._families[version].listed = listed
        self._add_pages(pages, previous_pages)

    def _add_pages(
        self,
        pages: Iterable[ClientBlockPage],
        previous_pages: Mapping[ClientBlockPage, _Page],
    ) -> None:
        rows: list[tuple[int, int, _Page]] = []
        for page in pages:
            cover = ipaddress.ip_network(page.cover)
            version: int = cover.version
            built = previous_pages.get(page)
            if built is None:
                prefixes = decode_prefixes(version, page.packed)
                built = _Page(version, prefixes, page.zones)
            self._pages[page] = built
            if cover.prefixlen == 0:
                self._families[version].wide = built
                continue
            rows.append((version, int(cover.network_address), built))
        for version, start, built in sorted(rows, key=lambda row: row[:2]):
            self._families[version].starts.append(start)
            self._families[version].pages.append(built)

    def find(self, address: str) -> str | None:
        """Return the availability zone of an address, or None."""
        parsed = parse_address(address)
        if parsed is None:
            return None
        version, value = parsed
        return self._families[version].find(value)

    @property
    def size_bytes(self) -> int:
        """Return the size of all arrays."""
        pages = list(self._pages.values())
        for family in self._families.values():
            if family.listed is not None:
                pages.append(family.listed)
        return sum(page.ranges.size_bytes for page in pages)


def _build_listed_pages(blocks: Iterable[ClientBlock]) -> dict[int, _Page]:
    zone_indexes: dict[str, int] = {}
    prefixes_by_version: dict[int, list[Prefix]] = {}
    for block in blocks:
        network = ipaddress.ip_network(block.prefix)
        zone = zone_indexes.setdefault(
            block.availability_zone, len(zone_indexes)
        )
        start = int(network.network_address)
        prefix = Prefix(start, network.prefixlen, zone)
        prefixes_by_version.setdefault(network.version, []).append(prefix)
    assert len(zone_indexes) <= _ZONE_MASK, (
        "single blocks name at most 255 zones"
    )
    zones = tuple(zone_indexes)
    return {
        version: _Page(version, prefixes, zones)
        for version, prefixes in prefixes_by_version.items()
    }


def parse_address(address: str) -> tuple[int, int] | None:
    """Return the IP version and the value of an address; None if invalid.

    An IPv4-mapped IPv6 address counts as IPv4.
    """
    try:
        if ":" not in address:
            packed = socket.inet_pton(socket.AF_INET, address)
            return 4, int.from_bytes(packed)
        packed = socket.inet_pton(socket.AF_INET6, address)
    except (OSError, UnicodeError, ValueError):
        return None
    if packed.startswith(_IPV4_MAPPED_START):
        return 4, int.from_bytes(packed[len(_IPV4_MAPPED_START) :])
    return 6, int.from_bytes(packed)
