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
    """Place one prefix; `zone` indexes the zones of its page."""

    start: int
    length: int
    zone: int


def encode_prefixes(version: int, prefixes: Iterable[Prefix]) -> str:
    """Return prefixes in the packed form of a page, sorted."""
    width = ADDRESS_BITS[version] // 8
    ordered = sorted(prefixes, key=lambda p: (p.start, p.length))
    content = b"".join(
        p.start.to_bytes(width) + bytes((p.length, p.zone)) for p in ordered
    )
    return base64.b64encode(content).decode()


def decode_prefixes(version: int, packed: str) -> Iterator[Prefix]:
    """Yield the prefixes of a page; raise `ValueError` if malformed."""
    width = ADDRESS_BITS[version] // 8
    content = base64.b64decode(packed, validate=True)
    if len(content) % (width + 2):
        raise ValueError("not whole prefixes")
    for at in range(0, len(content), width + 2):
        end = at + width
        start = int.from_bytes(content[at:end])
        yield Prefix(start, content[end], content[end + 1])


def pack_blocks(
    blocks: Iterable[tuple[Network, str]],
) -> Iterator[ClientBlockPage]:
    """Yield pages that hold prefixes with the names of their zones.

    A cover is halved until its page fits; prefixes wider than the halves
    go to the page of the whole address space.
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
    wide: list[tuple[int, int, str]] = []
    stack = [(0, 0, rows)]
    while stack:
        start, length, part = stack.pop()
        inside = [row for row in part if row[1] > length]
        if len(part) <= MAX_PAGE_BLOCKS or not inside:
            if length and part:
                yield _make_page(version, start, length, part)
            else:
                wide.extend(part)
            continue
        wide.extend(row for row in part if row[1] <= length)
        half = 1 << (ADDRESS_BITS[version] - length - 1)
        middle = start + half
        low = [row for row in inside if row[0] < middle]
        high = [row for row in inside if row[0] >= middle]
        stack.append((start, length + 1, low))
        stack.append((middle, length + 1, high))
    if wide:
        yield _make_page(version, 0, 0, wide)


def _make_page(
    version: int, start: int, length: int, rows: list[tuple[int, int, str]]
) -> ClientBlockPage:
    cover = f"{address_text(version, start)}/{length}"
    zones = tuple(sorted({zone for _, _, zone in rows}))
    index = {zone: number for number, zone in enumerate(zones)}
    prefixes = (Prefix(at, bits, index[zone]) for at, bits, zone in rows)
    name = f"v{version}-{start:0{ADDRESS_BITS[version] // 4}x}-{length}"
    packed = encode_prefixes(version, prefixes)
    return ClientBlockPage(name, cover, zones, packed)


def address_text(version: int, value: int) -> str:
    """Return the text of an address."""
    if version == 4:
        return str(ipaddress.IPv4Address(value))
    return str(ipaddress.IPv6Address(value))


def check_pages(pages: Iterable[ClientBlockPage]) -> Iterator[Fault]:
    """Yield faults of pages, alone and against one another.

    Covers are disjoint but for the page of the whole address space, so
    that a look-up reads at most two pages.
    """
    covers: list[tuple[int, int, int, str]] = []
    for page in pages:
        path = f"client_block_pages.{page.name}"
        problem = _page_problem(page.cover, page.packed, len(page.zones))
        if problem is not None:
            field, wanted = problem
            shown = getattr(page, field)
            yield Fault(f"{path}.{field}", repr(shown)[:60], wanted)
            continue
        cover = ipaddress.ip_network(page.cover)
        start = int(cover.network_address)
        covers.append((cover.version, start, cover.prefixlen, page.name))
    yield from _check_covers(sorted(covers))


def _check_covers(
    covers: list[tuple[int, int, int, str]],
) -> Iterator[Fault]:
    ends: dict[int, int] = {}
    wide: set[int] = set()
    for version, start, length, name in covers:
        path = f"client_block_pages.{name}.cover"
        text = f"{address_text(version, start)}/{length}"
        if length == 0:
            if version in wide:
                yield Fault(path, text, "on only one page")
            wide.add(version)
            continue
        if start <= ends.get(version, -1):
            yield Fault(path, text, "disjoint from other covers")
        end = start + (1 << (ADDRESS_BITS[version] - length)) - 1
        ends[version] = max(end, ends.get(version, -1))


@functools.lru_cache(maxsize=4096)
def _page_problem(
    cover: str, packed: str, zones: int
) -> tuple[str, str] | None:
    """Return the wrong field and what it should be, or None.

    Cached by content, since one change leaves nearly every page alone.
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
    return _prefix_problem(network, prefixes, zones)


def _prefix_problem(
    network: Network, prefixes: tuple[Prefix, ...], zones: int
) -> tuple[str, str] | None:
    bits = ADDRESS_BITS[network.version]
    first = int(network.network_address)
    last = int(network.broadcast_address)
    previous = (-1, -1)
    for prefix in prefixes:
        if not network.prefixlen <= prefix.length <= bits:
            return "packed", "prefixes at least as long as the cover"
        if prefix.start % (1 << (bits - prefix.length)):
            return "packed", "prefixes without bits past their length"
        if not first <= prefix.start <= last:
            return "packed", "prefixes inside the cover"
        if (prefix.start, prefix.length) <= previous:
            return "packed", "prefixes in order, each once"
        if prefix.zone >= zones:
            return "packed", "indices into the zones"
        previous = (prefix.start, prefix.length)
    return None
