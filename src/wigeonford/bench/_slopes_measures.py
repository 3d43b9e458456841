"""What is measured against what, on the program's own objects."""

from collections.abc import Callable, Iterator
from functools import partial
import ipaddress
import random
from typing import Any, Final

from wigeonford.bench._slopes_fit import (
    Collector,
    held_bytes,
    processor_ms,
    Series,
)
from wigeonford.bench._slopes_objects import (
    account_rows,
    draw_blocks,
    draw_keys,
    draw_members,
    draw_pages,
    make_row,
    make_table,
    place_rows,
    ZONES,
)
from wigeonford.config_table import ConfigTable
from wigeonford.control import ApplyChange, Edit, State
from wigeonford.entry import (
    BlockTable,
    EntryConfig,
    Parents,
    Ranking,
    SpreadShape,
    TargetRegistry,
)
from wigeonford.entry._lookup_ranking import ACCOUNT_BUCKETS
from wigeonford.leases import LeaseGrantor, LeaseHolder
from wigeonford.messages.object import Member, TargetAnnounce
from wigeonford.messages.spread import (
    RosterReport,
    SpreadPull,
    SpreadUpdate,
)
from wigeonford.metrics import Metrics
from wigeonford.model import KeyRecord, pack_blocks
from wigeonford.peer import MESSAGES

Measure = Callable[[random.Random], Iterator[Series]]
MEASURES: Final[dict[str, Measure]] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Register a measure under what its sizes count."""

    def add(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return add


@measure("client_block")
def measure_blocks(rng: random.Random) -> Iterator[Series]:
    """Measure the table and the messages against client blocks."""
    found = Collector()
    for count in (4000, 8000, 16000, 24000):
        pages = draw_pages(count, rng)
        rows = tuple(make_row("client_block_pages", page) for page in pages)
        table = make_table((*place_rows(), *rows))
        whole = MESSAGES.encode(table.changes_since(0, 0.0))
        built = BlockTable((), pages)
        changed = (draw_pages(200, rng)[0], *pages[1:])
        found.add(
            count,
            snapshot_bytes=len(whole),
            config_held_bytes=held_bytes(partial(_received, whole)),
            array_bytes=built.size_bytes,
            lookup_held_bytes=held_bytes(partial(BlockTable, (), pages)),
            decode_and_apply_ms=processor_ms(partial(_received, whole), 1),
            build_ms=processor_ms(partial(BlockTable, (), pages), 1),
            rebuild_one_page_ms=processor_ms(
                partial(BlockTable, (), changed, built)
            ),
        )
    yield from found.series("client_block")


def _received(message: bytes) -> ConfigTable:
    """Return the table that a snapshot leads to, as an entry holds it."""
    table = ConfigTable().with_update(MESSAGES.decode(message))
    assert table is not None, "a snapshot leads to its digest"
    return table


@measure("find")
def measure_finds(rng: random.Random) -> Iterator[Series]:
    """Measure finds in 24,000 blocks, and answers with their ranking."""
    blocks = draw_blocks(24000, rng)
    table = BlockTable((), tuple(pack_blocks(blocks.items())))
    ranking = Ranking(_config_of(tuple(draw_members(450))))
    found = Collector()
    for count in (2000, 4000, 8000, 16000):
        drawn = rng.sample(list(blocks), count)
        addresses = [str(network.network_address) for network in drawn]
        four = [text for text in addresses if ":" not in text] * 2
        six = [text for text in addresses if ":" in text] * 4
        found.add(
            count,
            ipv4_ms=processor_ms(partial(_find_all, table, four[:count])),
            ipv6_ms=processor_ms(partial(_find_all, table, six[:count])),
            answer_ms=processor_ms(
                partial(_answer_all, table, ranking, addresses)
            ),
        )
    yield from found.series("find")


def _find_all(table: BlockTable, addresses: list[str]) -> None:
    for address in addresses:
        table.find(address)


def _answer_all(
    table: BlockTable, ranking: Ranking, addresses: list[str]
) -> None:
    for number, address in enumerate(addresses):
        ranking.find(table.find(address), f"account-{number % 500}")


def _config_of(members: tuple[Member, ...]) -> EntryConfig:
    table = make_table(tuple(place_rows()), (), members)
    roster = {member.name: member for member in members}
    return EntryConfig(1, table.objects, {}, roster)


@measure("node")
def measure_nodes(_rng: random.Random) -> Iterator[Series]:
    """Measure the roster, rankings and plans against nodes."""
    found = Collector()
    for count in (56, 112, 224, 448):
        members = tuple(draw_members(count))
        cfg = _config_of(members)
        table = make_table((), (), members)
        whole = MESSAGES.encode(table.changes_since(0, 0.0))
        parents = Parents(
            members[-1].name, members[-1].availability_zone, _no_link,
            SpreadShape(),
        )  # fmt: skip
        found.add(
            count,
            roster_bytes=len(whole),
            roster_held_bytes=held_bytes(partial(_received, whole)),
            rankings_held_bytes=held_bytes(partial(_rank_all, cfg)),
            rank_all_ms=processor_ms(partial(_rank_all, cfg)),
            plan_ms=processor_ms(partial(parents.follow, members)),
            one_member_ms=processor_ms(
                partial(_step, table, members=members[:1])
            ),
        )
    yield from found.series("node")


def _no_link(member: Member) -> Any:
    raise AssertionError(f"{member.name} is not asked")


def _rank_all(cfg: EntryConfig) -> Ranking:
    ranking = Ranking(cfg)
    for zone in ZONES:
        for number in range(ACCOUNT_BUCKETS):
            ranking.find(zone, f"account-{number}")
    return ranking


def _step(
    table: ConfigTable,
    members: tuple[Member, ...] = (),
    keys: tuple[KeyRecord, ...] = (),
) -> None:
    """Make a change of one record, pass it on and take it in."""
    source = table._copy()
    source.revision = 2
    for member in members:
        source.put_member(2, member)
    for key in keys:
        source.put_key(2, key)
    message = MESSAGES.encode(source.changes_since(1, 0.0))
    after = table.with_update(MESSAGES.decode(message))
    assert after is not None, "a delta leads to its digest"


@measure("heard_member")
def measure_heartbeats(_rng: random.Random) -> Iterator[Series]:
    """Measure messages of the tree against members heard below."""
    found = Collector()
    for count in (1, 8, 16, 32):
        names = tuple(member.name for member in draw_members(count))
        joined = tuple(draw_members(count))
        found.add(
            count,
            pull_bytes=len(MESSAGES.encode(SpreadPull(12345, names, ()))),
            report_bytes=len(MESSAGES.encode(RosterReport(names, ()))),
            description_bytes=len(MESSAGES.encode(RosterReport((), joined))),
            unchanged_bytes=len(
                MESSAGES.encode(SpreadUpdate(12345, -0.123, -0.123, None, ()))
            ),
        )
    yield from found.series("heard_member")


@measure("client_account")
def measure_accounts(_rng: random.Random) -> Iterator[Series]:
    """Measure objects, metrics and leases against client accounts."""
    found = Collector()
    for count in (50, 100, 200, 400):
        rows = tuple(account_rows(count))
        whole = MESSAGES.encode(make_table(rows).changes_since(0, 0.0))
        found.add(
            count,
            snapshot_bytes=len(whole),
            config_held_bytes=held_bytes(partial(_received, whole)),
            metrics_held_bytes=held_bytes(partial(_observe, count)),
            lease_renewals_ms=processor_ms(partial(_renew_leases, count)),
        )
    yield from found.series("client_account")


def _observe(count: int) -> Metrics:
    metrics = Metrics()
    for number in range(count):
        account = f"account-{number:05}"
        metrics.observe_request(account, "interactive", 0.01)
        metrics.observe_request(account, "bulk", 0.1)
        metrics.count_result(account, 1)
    return metrics


def _renew_leases(count: int) -> None:
    """Ask for one share of each account's rate and take the grant."""
    for _ in range(count):
        grantor = LeaseGrantor(100.0, 3.0, 0.0, takes_over=False)
        holder = LeaseHolder("entry-0001", 3.0)
        holder.accept(grantor.request(holder.ask(10.0, 0.0), 0.0))


@measure("key")
def measure_keys(rng: random.Random) -> Iterator[Series]:
    """Measure the table and a withdrawal against keys."""
    found = Collector()
    for count in (1000, 2000, 4000, 8000):
        keys = tuple(draw_keys(count, rng))
        table = make_table((), keys)
        whole = MESSAGES.encode(table.changes_since(0, 0.0))
        found.add(
            count,
            snapshot_bytes=len(whole),
            config_held_bytes=held_bytes(partial(_received, whole)),
            one_key_ms=processor_ms(partial(_step, table, keys=keys[:1])),
        )
    yield from found.series("key")


@measure("target")
def measure_targets(_rng: random.Random) -> Iterator[Series]:
    """Measure the registry and announcements against targets."""
    found = Collector()
    for count in (50, 100, 200, 400):
        sent = [_announcement(number) for number in range(count)]
        found.add(
            count,
            announcement_bytes=sum(len(MESSAGES.encode(m)) for m in sent),
            registry_held_bytes=held_bytes(partial(_register, sent)),
            announce_ms=processor_ms(partial(_register, sent)),
            sweep_ms=processor_ms(partial(_register(sent).expire, 1.0)),
        )
    yield from found.series("target")


def _announcement(number: int) -> TargetAnnounce:
    host = f"10.2.{number >> 8}.{number & 255}"
    return TargetAnnounce(
        "catalogue", host, 9000, "new", 4, 1, 3.0, 0.25, leaving=False
    )


def _register(messages: list[TargetAnnounce]) -> TargetRegistry:
    registry = TargetRegistry()
    for message in messages:
        registry.announce(MESSAGES.decode(MESSAGES.encode(message)), 0.0)
    return registry


@measure("change")
def measure_changes(_rng: random.Random) -> Iterator[Series]:
    """Measure control's state and a catch-up against changes made."""
    found = Collector()
    for count in (125, 250, 500, 1000):
        state = _changed(count)
        found.add(
            count,
            state_held_bytes=held_bytes(partial(_changed, count)),
            state_snapshot_bytes=len(state.snapshot()),
            apply_ms=processor_ms(partial(_changed, count), 1),
            catch_up_bytes=len(
                MESSAGES.encode(state.config.changes_since(1, 0.0))
            ),
        )
    yield from found.series("change")


def _changed(count: int) -> State:
    """Return a state after changes of one object each, of 50."""
    state = State()
    for number in range(count):
        name = f"account-{number % 50:05}"
        version = state.object_version("client_accounts", name)
        data = {"name": name, "rate_per_s": 1.0 + number, "burst": 20.0}
        edit = Edit("client_accounts", name, version, data)
        state.apply(ApplyChange(f"change-{number}", "op", 1.0, (edit,)))
    return state


@measure("object")
def measure_objects(_rng: random.Random) -> Iterator[Series]:
    """Measure one change at control against the objects it checks."""
    found = Collector()
    for count in (125, 250, 500, 1000):
        state = State()
        edits = tuple(
            Edit(row.kind, row.name, 0, row.data)
            for row in account_rows(count)
        )
        state.apply(ApplyChange("all", "op", 1.0, edits))
        found.add(
            count, one_change_ms=processor_ms(partial(_change_one, state))
        )
    yield from found.series("object")


def _change_one(state: State) -> None:
    name = "account-00000"
    version = state.object_version("client_accounts", name)
    data = {"name": name, "rate_per_s": 1.0 + version, "burst": 20.0}
    edit = Edit("client_accounts", name, version, data)
    state.apply(ApplyChange(f"change-{version}", "op", 1.0, (edit,)))


@measure("changed_address")
def measure_addresses(rng: random.Random) -> Iterator[Series]:
    """Measure a delta against the blocks in the page that changed."""
    found = Collector()
    for count in (32, 64, 128, 256):
        blocks = {
            ipaddress.IPv4Network((rng.getrandbits(24) << 8, 24)): ZONES[0]
            for _ in range(count)
        }
        rows = tuple(
            make_row("client_block_pages", page)
            for page in pack_blocks(blocks.items())
        )
        found.add(
            len(blocks),
            delta_bytes=len(
                MESSAGES.encode(make_table(rows).changes_since(0, 0.0))
            ),
        )
    yield from found.series("changed_address")
