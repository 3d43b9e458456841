"""Pages of client blocks: many prefixes packed into one named object."""

import base64
import binascii
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
import functools
import ipaddress
from typing import Final

from wigeonford.errors import Fault
from wigeonford.model._kinds import ClientBlockPage

MAX_PAGE_BLOCKS: Final = 256
MAX_PAGE_ZONES: Final = 255
ADDRESS_BITS: Final[dict[int, int]] = {4: 32, 6: 128}

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class Prefix:
    """Hold one prefix of a page.

    `start` is its first address as an integer, `length` its length in bits
    and `zone` an index into the zones of the page.
    """

    start: int
    length: int
    zone: int


def encode_prefixes(version: int, prefixes: Iterable[Prefix]) -> str:
    """Return prefixes, sorted, in the packed form of a page."""
    width = ADDRESS_BITS[version] // 8
    ordered = sorted(
        prefixes, key=lambda prefix: (prefix.start, prefix.length)
    )
    content = b"".join(
        prefix.start.to_bytes(width) + bytes((prefix.length, prefix.zone))
        for prefix in ordered
    )
    return base64.b64encode(content).decode()


def decode_prefixes(version: int, packed: str) -> Iterator[Prefix]:
    """Yield the prefixes of a page; raise `ValueError` if malformed."""
    width = ADDRESS_BITS[version] // 8
    content = base64.b64decode(packed, validate=True)
    if len(content) % (width + 2):
        raise ValueError("the last prefix is truncated")
    for offset in range(0, len(content), width + 2):
        end = offset + width
        start = int.from_bytes(content[offset:end])
        yield Prefix(start, content[end], content[end + 1])


def pack_blocks(
    blocks: Iterable[tuple[Network, str]],
) -> Iterator[ClientBlockPage]:
    """Yield pages that hold pairs of a prefix and a zone name.

    A cover is halved until it has at most `MAX_PAGE_BLOCKS` prefixes.
    Prefixes too wide for a half go to a page that covers the whole address
    space.
    """
    by_version: dict[int, list[tuple[int, int, str]]] = {4: [], 6: []}
    for network, zone in blocks:
        row = (int(network.network_address), network.prefixlen, zone)
        by_version[network.version].append(row)
    for version, rows in by_version.items():
        if rows:
            yield from _pack_version(version, sorted(rows))


def _pack_version(
    version: int, rows: list[tuple[int, int, str]]
) -> Iterator[ClientBlockPage]:
    wide_rows: list[tuple[int, int, str]] = []
    stack = [(0, 0, rows)]
    while stack:
        start, length, block_rows = stack.pop()
        narrower_rows = [row for row in block_rows if row[1] > length]
        if len(block_rows) <= MAX_PAGE_BLOCKS or not narrower_rows:
            if length and block_rows:
                yield _make_page(version, start, length, block_rows)
            else:
                wide_rows.extend(block_rows)
            continue
        wide_rows.extend(row for row in block_rows if row[1] <= length)
        half = 1 << (ADDRESS_BITS[version] - length - 1)
        middle_start = start + half
        low_rows = [row for row in narrower_rows if row[0] < middle_start]
        high_rows = [row for row in narrower_rows if row[0] >= middle_start]
        stack.append((start, length + 1, low_rows))
        stack.append((middle_start, length + 1, high_rows))
    if wide_rows:
        yield _make_page(version, 0, 0, wide_rows)


def _make_page(
    version: int, start: int, length: int, rows: list[tuple[int, int, str]]
) -> ClientBlockPage:
    cover = f"{format_address(version, start)}/{length}"
    zones = tuple(sorted({zone for _, _, zone in rows}))
    zone_indices = {zone: index for index, zone in enumerate(zones)}
    prefixes = (
        Prefix(address, bits, zone_indices[zone])
        for address, bits, zone in rows
    )
    name = f"v{version}-{start:0{ADDRESS_BITS[version] // 4}x}-{length}"
    packed = encode_prefixes(version, prefixes)
    return ClientBlockPage(name, cover, zones, packed)


def format_address(version: int, value: int) -> str:
    """Return an address as text."""
    if version == 4:
        return str(ipaddress.IPv4Address(value))
    return str(ipaddress.IPv6Address(value))


def check_pages(pages: Iterable[ClientBlockPage]) -> Iterator[Fault]:
    """Yield the faults of each page and of their covers together.

    Covers must be disjoint, except for the page that covers the whole
    address space, so that a look-up reads at most two pages.
    """
    covers: list[tuple[int, int, int, str]] = []
    for page in pages:
        path = f"client_block_pages.{page.name}"
        problem = _find_page_problem(page.cover, page.packed, len(page.zones))
        if problem is not None:
            field, wanted = problem
            value = getattr(page, field)
            yield Fault(f"{path}.{field}", repr(value)[:60], wanted)
            continue
        cover = ipaddress.ip_network(page.cover)
        start = int(cover.network_address)
        covers.append((cover.version, start, cover.prefixlen, page.name))
    yield from _check_covers(sorted(covers))


def _check_covers(
    covers: list[tuple[int, int, int, str]],
) -> Iterator[Fault]:
    last_addresses: dict[int, int] = {}
    wide_versions: set[int] = set()
    for version, start, length, name in covers:
        path = f"client_block_pages.{name}.cover"
        text = f"{format_address(version, start)}/{length}"
        if length == 0:
            if version in wide_versions:
                yield Fault(path, text, "on only one page")
            wide_versions.add(version)
            continue
        if start <= last_addresses.get(version, -1):
            yield Fault(path, text, "disjoint from other covers")
        end = start + (1 << (ADDRESS_BITS[version] - length)) - 1
        last_addresses[version] = max(end, last_addresses.get(version, -1))


@functools.lru_cache(maxsize=4096)
def _find_page_problem(
    cover: str, packed: str, zone_count: int
) -> tuple[str, str] | None:
    """Return the name of a wrong field and its expected value, or None.

    The result is cached by content, since a change of the set leaves nearly
    every page unchanged.
    """
    try:
        network = ipaddress.ip_network(cover)
    except ValueError:
        return "cover", "an address prefix"
    try:
        prefixes = tuple(decode_prefixes(network.version, packed))
    except (ValueError, binascii.Error):
        return "packed", "packed prefixes"
    if len(prefixes) > MAX_PAGE_BLOCKS and network.prefixlen:
        return "packed", f"at most {MAX_PAGE_BLOCKS} prefixes"
    return _find_prefix_problem(network, prefixes, zone_count)


def _find_prefix_problem(
    network: Network, prefixes: tuple[Prefix, ...], zone_count: int
) -> tuple[str, str] | None:
    bits = ADDRESS_BITS[network.version]
    first = int(network.network_address)
    last = int(network.broadcast_address)
    previous = (-1, -1)
    for prefix in prefixes:
        if not network.prefixlen <= prefix.length <= bits:
            return "packed", "prefixes at least as long as the cover"
        if prefix.start % (1 << (bits - prefix.length)):
            return (
                "packed",
                "prefixes whose address bits past their length are zero",
            )
        if not first <= prefix.start <= last:
            return "packed", "prefixes inside the cover"
        if (prefix.start, prefix.length) <= previous:
            return "packed", "sorted prefixes without duplicates"
        if prefix.zone >= zone_count:
            return "packed", "indices into the zones"
        previous = (prefix.start, prefix.length)
    return None
