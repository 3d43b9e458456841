"""Measures of memory, message sizes and CPU time against object counts."""

from collections.abc import Callable, Iterator
from functools import partial
import ipaddress
import random
from typing import Any, Final

from wigeonford.bench._slopes_fit import (
    Collector,
    min_cpu_ms,
    retained_bytes,
    Series,
)
from wigeonford.bench._slopes_objects import (
    account_rows,
    make_members,
    make_row,
    make_table,
    random_blocks,
    random_keys,
    random_pages,
    region_and_zone_rows,
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


def register_measure(name: str) -> Callable[[Measure], Measure]:
    """Register a measure under the name of what its sizes count."""

    def decorate(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return decorate


@register_measure("client_block")
def measure_blocks(rng: random.Random) -> Iterator[Series]:
    """Measure tables and snapshots against the number of client blocks."""
    collector = Collector()
    for count in (4000, 8000, 16000, 24000):
        pages = random_pages(count, rng)
        rows = tuple(make_row("client_block_pages", page) for page in pages)
        table = make_table((*region_and_zone_rows(), *rows))
        snapshot = MESSAGES.encode(table.changes_since(0, 0.0))
        block_table = BlockTable((), pages)
        changed = (random_pages(200, rng)[0], *pages[1:])
        collector.add(
            count,
            snapshot_bytes=len(snapshot),
            config_held_bytes=retained_bytes(
                partial(_apply_snapshot, snapshot)
            ),
            array_bytes=block_table.size_bytes,
            lookup_held_bytes=retained_bytes(partial(BlockTable, (), pages)),
            decode_and_apply_ms=min_cpu_ms(
                partial(_apply_snapshot, snapshot), 1
            ),
            build_ms=min_cpu_ms(partial(BlockTable, (), pages), 1),
            rebuild_one_page_ms=min_cpu_ms(
                partial(BlockTable, (), changed, block_table)
            ),
        )
    yield from collector.series("client_block")


def _apply_snapshot(snapshot: bytes) -> ConfigTable:
    """Return the configuration table that an encoded snapshot yields."""
    table = ConfigTable().with_update(MESSAGES.decode(snapshot))
    assert table is not None, "a snapshot matches its digest"
    return table


@register_measure("find")
def measure_block_lookups(rng: random.Random) -> Iterator[Series]:
    """Measure look-ups in 24,000 blocks, without and with ranking."""
    blocks = random_blocks(24000, rng)
    table = BlockTable((), tuple(pack_blocks(blocks.items())))
    ranking = Ranking(_make_config(tuple(make_members(450))))
    collector = Collector()
    for count in (2000, 4000, 8000, 16000):
        sampled = rng.sample(list(blocks), count)
        addresses = [str(network.network_address) for network in sampled]
        ipv4_addresses = [text for text in addresses if ":" not in text] * 2
        ipv6_addresses = [text for text in addresses if ":" in text] * 4
        collector.add(
            count,
            ipv4_ms=min_cpu_ms(
                partial(_look_up_all, table, ipv4_addresses[:count])
            ),
            ipv6_ms=min_cpu_ms(
                partial(_look_up_all, table, ipv6_addresses[:count])
            ),
            answer_ms=min_cpu_ms(
                partial(_rank_all_addresses, table, ranking, addresses)
            ),
        )
    yield from collector.series("find")


def _look_up_all(table: BlockTable, addresses: list[str]) -> None:
    for address in addresses:
        table.find(address)


def _rank_all_addresses(
    table: BlockTable, ranking: Ranking, addresses: list[str]
) -> None:
    for number, address in enumerate(addresses):
        ranking.find(table.find(address), f"account-{number % 500}")


def _make_config(members: tuple[Member, ...]) -> EntryConfig:
    table = make_table(tuple(region_and_zone_rows()), (), members)
    roster = {member.name: member for member in members}
    return EntryConfig(1, table.objects, {}, roster)


@register_measure("node")
def measure_nodes(_rng: random.Random) -> Iterator[Series]:
    """Measure rosters, rankings and tree plans against the VM count."""
    collector = Collector()
    for count in (56, 112, 224, 448):
        members = tuple(make_members(count))
        cfg = _make_config(members)
        table = make_table((), (), members)
        snapshot = MESSAGES.encode(table.changes_since(0, 0.0))
        parents = Parents(
            members[-1].name, members[-1].availability_zone, _reject_connect,
            SpreadShape(),
        )  # fmt: skip
        collector.add(
            count,
            roster_bytes=len(snapshot),
            roster_held_bytes=retained_bytes(
                partial(_apply_snapshot, snapshot)
            ),
            rankings_held_bytes=retained_bytes(partial(_fill_ranking, cfg)),
            rank_all_ms=min_cpu_ms(partial(_fill_ranking, cfg)),
            plan_ms=min_cpu_ms(partial(parents.update_roster, members)),
            one_member_ms=min_cpu_ms(
                partial(_apply_delta, table, members=members[:1])
            ),
        )
    yield from collector.series("node")


def _reject_connect(member: Member) -> Any:
    raise AssertionError(f"connected to {member.name} while planning")


def _fill_ranking(cfg: EntryConfig) -> Ranking:
    ranking = Ranking(cfg)
    for zone in ZONES:
        for number in range(ACCOUNT_BUCKETS):
            ranking.find(zone, f"account-{number}")
    return ranking


def _apply_delta(
    table: ConfigTable,
    members: tuple[Member, ...] = (),
    keys: tuple[KeyRecord, ...] = (),
) -> None:
    """Encode a change of one record and apply it to the table."""
    source = table._copy()
    source.revision = 2
    for member in members:
        source.put_member(2, member)
    for key in keys:
        source.put_key(2, key)
    message = MESSAGES.encode(source.changes_since(1, 0.0))
    updated = table.with_update(MESSAGES.decode(message))
    assert updated is not None, "a delta matches its digest"


@register_measure("heard_member")
def measure_tree_messages(_rng: random.Random) -> Iterator[Series]:
    """Measure spread tree messages against the members that they list."""
    collector = Collector()
    for count in (1, 8, 16, 32):
        names = tuple(member.name for member in make_members(count))
        joined = tuple(make_members(count))
        collector.add(
            count,
            pull_bytes=len(MESSAGES.encode(SpreadPull(12345, names, ()))),
            report_bytes=len(MESSAGES.encode(RosterReport(names, ()))),
            description_bytes=len(MESSAGES.encode(RosterReport((), joined))),
            unchanged_bytes=len(
                MESSAGES.encode(SpreadUpdate(12345, -0.123, -0.123, None, ()))
            ),
        )
    yield from collector.series("heard_member")


@register_measure("client_account")
def measure_accounts(_rng: random.Random) -> Iterator[Series]:
    """Measure snapshots, metrics and leases against the account count."""
    collector = Collector()
    for count in (50, 100, 200, 400):
        rows = tuple(account_rows(count))
        snapshot = MESSAGES.encode(make_table(rows).changes_since(0, 0.0))
        collector.add(
            count,
            snapshot_bytes=len(snapshot),
            config_held_bytes=retained_bytes(
                partial(_apply_snapshot, snapshot)
            ),
            metrics_held_bytes=retained_bytes(partial(_make_metrics, count)),
            lease_renewals_ms=min_cpu_ms(partial(_renew_leases, count)),
        )
    yield from collector.series("client_account")


def _make_metrics(count: int) -> Metrics:
    metrics = Metrics()
    for number in range(count):
        account = f"account-{number:05}"
        metrics.observe_request(account, "interactive", 0.01)
        metrics.observe_request(account, "bulk", 0.1)
        metrics.count_result(account, 1)
    return metrics


def _renew_leases(count: int) -> None:
    """Renew the lease of one quota fraction for each account."""
    for _ in range(count):
        grantor = LeaseGrantor(100.0, 3.0, 0.0, takes_over=False)
        holder = LeaseHolder("entry-0001", 3.0)
        holder.accept(grantor.request(holder.next_request(10.0, 0.0), 0.0))


@register_measure("key")
def measure_keys(rng: random.Random) -> Iterator[Series]:
    """Measure the table and a one-key delta against the number of keys."""
    collector = Collector()
    for count in (1000, 2000, 4000, 8000):
        keys = tuple(random_keys(count, rng))
        table = make_table((), keys)
        snapshot = MESSAGES.encode(table.changes_since(0, 0.0))
        collector.add(
            count,
            snapshot_bytes=len(snapshot),
            config_held_bytes=retained_bytes(
                partial(_apply_snapshot, snapshot)
            ),
            one_key_ms=min_cpu_ms(partial(_apply_delta, table, keys=keys[:1])),
        )
    yield from collector.series("key")


@register_measure("target")
def measure_targets(_rng: random.Random) -> Iterator[Series]:
    """Measure the registry and announcements against the target count."""
    collector = Collector()
    for count in (50, 100, 200, 400):
        announcements = [_make_announcement(number) for number in range(count)]
        collector.add(
            count,
            announcement_bytes=sum(
                len(MESSAGES.encode(m)) for m in announcements
            ),
            registry_held_bytes=retained_bytes(
                partial(_make_registry, announcements)
            ),
            announce_ms=min_cpu_ms(partial(_make_registry, announcements)),
            sweep_ms=min_cpu_ms(
                partial(_make_registry(announcements).expire, 1.0)
            ),
        )
    yield from collector.series("target")


def _make_announcement(number: int) -> TargetAnnounce:
    host = f"10.2.{number >> 8}.{number & 255}"
    return TargetAnnounce(
        "catalogue", host, 9000, "new", 4, 1, 3.0, 0.25, leaving=False
    )


def _make_registry(messages: list[TargetAnnounce]) -> TargetRegistry:
    registry = TargetRegistry()
    for message in messages:
        registry.announce(MESSAGES.decode(MESSAGES.encode(message)), 0.0)
    return registry


@register_measure("change")
def measure_changes(_rng: random.Random) -> Iterator[Series]:
    """Measure control state and catch-up delta against the change count."""
    collector = Collector()
    for count in (125, 250, 500, 1000):
        state = _state_after_changes(count)
        collector.add(
            count,
            state_held_bytes=retained_bytes(
                partial(_state_after_changes, count)
            ),
            state_snapshot_bytes=len(state.snapshot()),
            apply_ms=min_cpu_ms(partial(_state_after_changes, count), 1),
            catch_up_bytes=len(
                MESSAGES.encode(state.config.changes_since(1, 0.0))
            ),
        )
    yield from collector.series("change")


def _state_after_changes(count: int) -> State:
    """Return a control state after changes to 50 accounts in rotation."""
    state = State()
    for number in range(count):
        name = f"account-{number % 50:05}"
        version = state.object_version("client_accounts", name)
        data = {"name": name, "rate_per_s": 1.0 + number, "burst": 20.0}
        edit = Edit("client_accounts", name, version, data)
        state.apply(ApplyChange(f"change-{number}", "op", 1.0, (edit,)))
    return state


@register_measure("object")
def measure_objects(_rng: random.Random) -> Iterator[Series]:
    """Measure one change at control against the objects it validates."""
    collector = Collector()
    for count in (125, 250, 500, 1000):
        state = State()
        edits = tuple(
            Edit(row.kind, row.name, 0, row.data)
            for row in account_rows(count)
        )
        state.apply(ApplyChange("all", "op", 1.0, edits))
        collector.add(
            count, one_change_ms=min_cpu_ms(partial(_apply_one_change, state))
        )
    yield from collector.series("object")


def _apply_one_change(state: State) -> None:
    name = "account-00000"
    version = state.object_version("client_accounts", name)
    data = {"name": name, "rate_per_s": 1.0 + version, "burst": 20.0}
    edit = Edit("client_accounts", name, version, data)
    state.apply(ApplyChange(f"change-{version}", "op", 1.0, (edit,)))


@register_measure("changed_address")
def measure_addresses(rng: random.Random) -> Iterator[Series]:
    """Measure a delta against the number of blocks in the changed page."""
    collector = Collector()
    for count in (32, 64, 128, 256):
        blocks = {
            ipaddress.IPv4Network((rng.getrandbits(24) << 8, 24)): ZONES[0]
            for _ in range(count)
        }
        rows = tuple(
            make_row("client_block_pages", page)
            for page in pack_blocks(blocks.items())
        )
        collector.add(
            len(blocks),
            delta_bytes=len(
                MESSAGES.encode(make_table(rows).changes_since(0, 0.0))
            ),
        )
    yield from collector.series("changed_address")
