"""Generated configuration objects and members for the slopes bench.

A slope is how fast a cost, such as memory or CPU time, grows with the number
of objects.
"""

from collections.abc import Iterator
import ipaddress
import random
from typing import Any, Final

import msgspec

from wigeonford.config_table import ConfigTable
from wigeonford.messages.object import Member, ObjectRow
from wigeonford.model import ClientBlockPage, KeyRecord, pack_blocks

ZONES: Final = tuple(f"region-{n % 6}-zone-{n // 6}" for n in range(14))
IPV6_FRACTION: Final = 0.3
# Repeated lengths are drawn more often.
_V4_PREFIX_LENGTHS: Final = (12, 16, 18, 20, 22, 24, 24, 24)
_V6_PREFIX_LENGTHS: Final = (32, 40, 44, 48, 48, 48, 56, 64)

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def random_blocks(count: int, rng: random.Random) -> dict[Network, str]:
    """Return random, possibly nested prefixes with their zones."""
    blocks: dict[Network, str] = {}
    while len(blocks) < count:
        blocks[_random_network(rng)] = rng.choice(ZONES)
    return blocks


def _random_network(rng: random.Random) -> Network:
    if rng.random() < IPV6_FRACTION:
        length = rng.choice(_V6_PREFIX_LENGTHS)
        # The first four bits are 0010, as in 2000::/4.
        network_address = (2 << 124) | rng.getrandbits(length - 4) << (
            128 - length
        )
        return ipaddress.IPv6Network((network_address, length))
    length = rng.choice(_V4_PREFIX_LENGTHS)
    network_address = rng.getrandbits(length) << (32 - length)
    return ipaddress.IPv4Network((network_address, length))


def random_pages(
    count: int, rng: random.Random
) -> tuple[ClientBlockPage, ...]:
    """Return pages that together hold `count` random blocks."""
    return tuple(pack_blocks(random_blocks(count, rng).items()))


def make_members(count: int) -> Iterator[Member]:
    """Yield members, distributed evenly over all zones."""
    for number in range(count):
        zone = ZONES[number % len(ZONES)]
        name = f"entry-{number:04}"
        yield Member(name, zone, "10.1.2.3", 8080, 8081, number + 1)


def make_row(kind: str, config_object: Any) -> ObjectRow:
    """Return a configuration object as a row of the configuration table."""
    return ObjectRow(
        kind, config_object.name, 1, msgspec.to_builtins(config_object)
    )


def region_and_zone_rows() -> Iterator[ObjectRow]:
    """Yield the rows of the regions and the zones."""
    for number in range(6):
        name = f"region-{number}"
        yield ObjectRow("regions", name, 1, {"name": name})
    for zone in ZONES:
        region = zone.rpartition("-zone-")[0]
        data: dict[str, object] = {"name": zone, "region": region}
        yield ObjectRow("availability_zones", zone, 1, data)


def account_rows(count: int) -> Iterator[ObjectRow]:
    """Yield the rows of client accounts."""
    for number in range(count):
        name = f"account-{number:05}"
        data: dict[str, object] = {
            "name": name,
            "rate_per_s": 10.0,
            "burst": 20.0,
        }
        yield ObjectRow("client_accounts", name, 1, data)


def random_keys(count: int, rng: random.Random) -> Iterator[KeyRecord]:
    """Yield key records of one account with random digests."""
    for number in range(count):
        yield KeyRecord(f"{number:012x}", "account-00000", rng.randbytes(32))


def make_table(
    rows: tuple[ObjectRow, ...] = (),
    keys: tuple[KeyRecord, ...] = (),
    members: tuple[Member, ...] = (),
) -> ConfigTable:
    """Return a table that holds the given records at revision 1."""
    table = ConfigTable()
    for row in rows:
        table.put_row(1, row)
    for key in keys:
        table.put_key(1, key)
    for member in members:
        table.put_member(1, member)
    table.update_objects(rows)
    table.revision = 1
    return table
