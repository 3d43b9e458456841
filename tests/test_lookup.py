"""Look-ups: longest-prefix match, rankings and updates of both."""

from collections.abc import Iterable, Iterator
import ipaddress
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.entry import BlockTable, EntryConfig, LookupBuilder, Ranking
from wigeonford.messages.object import Member
from wigeonford.model import (
    AvailabilityZone,
    check_set,
    ClientBlock,
    ClientBlockPage,
    decode_prefixes,
    encode_prefixes,
    EntryVM,
    Link,
    ObjectSet,
    pack_blocks,
    Prefix,
    Region,
)

ZONES = ("north-a", "north-b", "south-a", "west-a")
Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@st.composite
def networks(draw: st.DrawFn) -> Network:
    """Draw prefixes from few bits, so that many are nested or adjacent."""
    if draw(st.booleans()):
        length = draw(st.integers(0, 8))
        start = draw(st.integers(0, 255)) >> (8 - length) << (24 + 8 - length)
        return ipaddress.IPv4Network((start, length))
    length = draw(st.sampled_from((0, 3, 60, 63, 64, 66, 70)))
    value = draw(st.integers(0, 255)) << 58
    start = value >> (128 - length) << (128 - length)
    return ipaddress.IPv6Network((start, length))


def find_linearly(
    rows: Iterable[tuple[Network, str]], address: str
) -> str | None:
    parsed = ipaddress.ip_address(address)
    matches = [row for row in rows if parsed in row[0]]
    if not matches:
        return None
    return max(matches, key=lambda row: row[0].prefixlen)[1]


def edges(rows: Iterable[tuple[Network, str]]) -> Iterator[str]:
    """Yield both ends of each prefix and the addresses next to them."""
    for network, _ in rows:
        bits = network.max_prefixlen
        address_type = type(network.network_address)
        for end in (network.network_address, network.broadcast_address):
            for step in (-1, 0, 1):
                value = int(end) + step
                if 0 <= value < 1 << bits:
                    yield str(address_type(value))


class BlockTableTest(unittest.TestCase):
    """Compare the table with a linear search through all prefixes."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        listed=st.dictionaries(networks(), st.sampled_from(ZONES)),
        paged=st.dictionaries(networks(), st.sampled_from(ZONES)),
    )
    def test_longest_prefix_wins(
        self, listed: dict[Network, str], paged: dict[Network, str]
    ) -> None:
        paged = {key: paged[key] for key in paged.keys() - listed.keys()}
        rows = [*listed.items(), *paged.items()]
        table = BlockTable(
            (ClientBlock(str(n), str(n), zone) for n, zone in listed.items()),
            pack_blocks(paged.items()),
        )
        for address in edges(rows):
            # The table treats an IPv4-mapped address as IPv4; the linear
            # search does not, so such addresses are skipped.
            if ipaddress.ip_address(address).version == 6 and (
                ipaddress.IPv6Address(address).ipv4_mapped
            ):
                continue
            self.assertEqual(
                table.find(address), find_linearly(rows, address), address
            )

    def test_many_pages_agree_with_the_oracle(self) -> None:
        rng = random.Random(5)
        blocks: dict[Network, str] = {}
        for _ in range(1500):
            length = rng.choice((6, 12, 16, 20, 24, 28))
            start = rng.getrandbits(length) << (32 - length)
            network = ipaddress.IPv4Network((start, length))
            blocks[network] = rng.choice(ZONES)
        pages = tuple(pack_blocks(blocks.items()))
        self.assertGreater(len(pages), 4)
        table = BlockTable((), pages)
        for address in rng.sample(list(edges(blocks.items())), 300):
            expected = find_linearly(blocks.items(), address)
            self.assertEqual(table.find(address), expected, address)

    def test_mapped_and_malformed_addresses(self) -> None:
        table = BlockTable((ClientBlock("a", "10.0.0.0/8", "north-a"),))
        cases = (
            ("10.1.2.3", "north-a"),
            ("::ffff:10.1.2.3", "north-a"),
            ("11.0.0.1", None),
            ("2001:db8::1", None),
            ("10.1.2", None),
            ("", None),
            ("\ud800", None),
            ("fe80::1%eth0", None),
        )
        for address, zone in cases:
            with self.subTest(address=address):
                self.assertEqual(table.find(address), zone)


class PageTest(unittest.TestCase):
    """Validate pages of client blocks as operators publish them."""

    def find_faults(self, *pages: ClientBlockPage) -> list[str]:
        items = [Region("north"), AvailabilityZone("north-a", "north")]
        objects = {
            ("regions", "north"): items[0],
            ("availability_zones", "north-a"): items[1],
            **{("client_block_pages", p.name): p for p in pages},
        }
        return [fault.path for fault in check_set(ObjectSet(objects))]

    def make_page(
        self, cover: str, *prefixes: Prefix, name: str = "p"
    ) -> ClientBlockPage:
        packed = encode_prefixes(4, prefixes)
        return ClientBlockPage(name, cover, ("north-a",), packed)

    def test_faults(self) -> None:
        start = 10 << 24
        valid = Prefix(start, 16, 0)
        path_prefix = "client_block_pages.p."
        cases: tuple[tuple[str, tuple[Prefix, ...], list[str]], ...] = (
            ("10.0.0.0/8", (valid,), []),
            ("10.0.0.0/33", (valid,), [path_prefix + "cover"]),
            ("11.0.0.0/8", (valid,), [path_prefix + "packed"]),
            ("10.0.0.0/24", (valid,), [path_prefix + "packed"]),
            ("10.0.0.0/8", (Prefix(start, 16, 1),), [path_prefix + "packed"]),
            (
                "10.0.0.0/8",
                (Prefix(start + 1, 16, 0),),
                [path_prefix + "packed"],
            ),
            ("10.0.0.0/8", (valid, valid), [path_prefix + "packed"]),
            ("10.0.0.0/8", (Prefix(start, 33, 0),), [path_prefix + "packed"]),
        )
        for cover, prefixes, expected in cases:
            with self.subTest(cover=cover, prefixes=prefixes):
                page = self.make_page(cover, *prefixes)
                self.assertEqual(self.find_faults(page), expected)

    def test_covers_are_disjoint(self) -> None:
        wide = self.make_page("0.0.0.0/0", name="w")
        ten = self.make_page("10.0.0.0/8", name="t")
        inner = self.make_page("10.1.0.0/16", name="i")
        self.assertEqual(self.find_faults(wide, ten), [])
        self.assertEqual(
            self.find_faults(ten, inner), ["client_block_pages.i.cover"]
        )

    def test_not_base64(self) -> None:
        page = ClientBlockPage("p", "10.0.0.0/8", ("north-a",), "!!")
        self.assertEqual(
            self.find_faults(page), ["client_block_pages.p.packed"]
        )

    def test_packed_form_is_read_back(self) -> None:
        prefixes = (Prefix(0, 8, 0), Prefix(1 << 24, 8, 3))
        packed = encode_prefixes(4, reversed(prefixes))
        self.assertEqual(tuple(decode_prefixes(4, packed)), prefixes)


def make_config(
    revision: int = 1,
    drained: tuple[str, ...] = (),
    loaded: tuple[str, ...] = (),
    per_zone: int = 3,
    blocks: Iterable[object] = (),
) -> EntryConfig:
    objects: dict[tuple[str, str], object] = {}
    for region in ("north", "south", "west"):
        objects["regions", region] = Region(region)
    objects["links", "l"] = Link("l", "north", "west", 1e9)
    members = {}
    for zone in ZONES:
        region = zone.partition("-")[0]
        objects["availability_zones", zone] = AvailabilityZone(zone, region)
        for number in range(per_zone):
            name = f"{zone}-{number}"
            objects["entry_vms", name] = EntryVM(name, zone, name in drained)
            level = int(name in loaded)
            members[name] = Member(name, zone, "127.0.0.1", 80, 81, 1, level)
    for block in blocks:
        if isinstance(block, ClientBlock):
            objects["client_blocks", block.name] = block
        elif isinstance(block, ClientBlockPage):
            objects["client_block_pages", block.name] = block
    return EntryConfig(revision, ObjectSet(objects), {}, members)


class RankingTest(unittest.TestCase):
    """Order entry VMs by distance, load, drain state and account."""

    def rank_names(
        self, cfg: EntryConfig, zone: str | None, seed: str
    ) -> list[str]:
        return [vm.name for vm in Ranking(cfg).find(zone, seed)]

    def test_distance_comes_first(self) -> None:
        names = self.rank_names(make_config(), "north-a", "acct")
        zones = [name.rpartition("-")[0] for name in names]
        self.assertEqual(zones, ["north-a", "north-a", "north-b", "west-a"])

    def test_an_account_keeps_its_vm(self) -> None:
        before = self.rank_names(make_config(), "north-a", "acct")
        unranked = set(make_config().members) - set(before)
        after = self.rank_names(
            make_config(drained=tuple(unranked)), "north-a", "acct"
        )
        self.assertEqual(after, before)

    def test_accounts_spread_over_the_zone(self) -> None:
        cfg = make_config()
        first = {
            self.rank_names(cfg, "north-a", f"a{n}")[0] for n in range(64)
        }
        self.assertEqual(len(first), 3)

    def test_loaded_and_drained(self) -> None:
        best = self.rank_names(make_config(), "north-a", "acct")[0]
        loaded = self.rank_names(
            make_config(loaded=(best,)), "north-a", "acct"
        )
        self.assertNotEqual(loaded[0], best)
        drained = self.rank_names(
            make_config(drained=(best,)), "north-a", "acct"
        )
        self.assertNotIn(best, drained)

    def test_few_members_fill_the_answer(self) -> None:
        drained = tuple(n for n in make_config().members if "south" not in n)
        names = self.rank_names(
            make_config(drained=drained), "north-a", "acct"
        )
        self.assertEqual(len(names), 3)

    def test_unknown_zone_gets_any(self) -> None:
        self.assertEqual(len(self.rank_names(make_config(), None, "acct")), 4)


class BuilderTest(unittest.IsolatedAsyncioTestCase):
    """Replace the table while look-ups continue."""

    async def test_a_drained_vm_is_left_out_at_once(self) -> None:
        builder = LookupBuilder(make_config())
        best = builder.current.answer("10.0.0.1", "a").entry_vms[0].name
        builder.follow(make_config(2, drained=(best,)))
        response = builder.current.answer("10.0.0.1", "a")
        self.assertNotIn(best, [vm.name for vm in response.entry_vms])
        self.assertEqual(response.revision, 2)

    async def test_a_large_change_is_built_aside(self) -> None:
        builder = LookupBuilder(make_config())
        rows = [
            (ipaddress.IPv4Network((number << 8, 24)), ZONES[number % 4])
            for number in range(4096)
        ]
        pages = tuple(pack_blocks(rows))
        builder.follow(make_config(2, blocks=pages))
        self.assertEqual(builder.current.answer("0.0.1.1", "a").revision, 2)
        await builder.settled()
        first = builder.current.answer("0.0.1.1", "a").entry_vms[0]
        self.assertEqual(first.availability_zone, ZONES[1])

    async def test_a_small_change_is_there_at_once(self) -> None:
        builder = LookupBuilder(make_config())
        block = ClientBlock("b", "10.0.0.0/8", "west-a")
        builder.follow(make_config(2, blocks=(block,)))
        first = builder.current.answer("10.0.0.1", "a").entry_vms[0]
        self.assertEqual(first.availability_zone, "west-a")
