"""Measures of running components over loopback."""

import asyncio
from collections.abc import AsyncIterator
import logging
from pathlib import Path
import random
import socket
import tempfile
import time
from typing import Final

from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.bench._slopes_fit import Collector, Series
from wigeonford.bench._slopes_objects import (
    make_row,
    random_pages,
    region_and_zone_rows,
)
from wigeonford.bench._slopes_tree import new_change_id, TreeFleet
from wigeonford.compose import build_entry
from wigeonford.control import ApplyChange, Edit
from wigeonford.entry import SpreadShape
from wigeonford.events import configure_logging, EventLog
from wigeonford.messages.object import ObjectRow
from wigeonford.settings import Address, EntrySettings

WARM_UP_ROUNDS: Final = 4
MEASURED_ROUNDS: Final = 4
CLIENT_BLOCK_COUNT: Final = 20000
LOOKUP_COUNTS: Final = (500, 1000, 2000, 4000)
_REQUEST: Final = (
    b"GET /.wigeonford/lookup?account=%d HTTP/1.1\r\nHost: entry\r\n\r\n"
)


async def measure_relay(_rng: random.Random) -> AsyncIterator[Series]:
    """Measure a zone's relay against the number of members."""
    shape = SpreadShape(max_members_without_tree=0)
    for series in await _measure_fleets(shape, (8, 16, 24, 32), "zone_member"):
        yield series


async def _measure_fleets(
    shape: SpreadShape, sizes: tuple[int, ...], quantity: str
) -> list[Series]:
    configure_logging(level=logging.ERROR)
    collector = Collector()
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            fleet = TreeFleet(Path(folder), shape)
            await fleet.start(size)
            try:
                await _measure_fleet(fleet, size, collector)
            finally:
                await fleet.stop()
    return list(collector.series(quantity))


async def _measure_fleet(
    fleet: TreeFleet, size: int, collector: Collector
) -> None:
    relay = fleet.nodes["node-00"]
    for _ in range(WARM_UP_ROUNDS):
        await relay.follower.wait_for_update()
    bytes_before = relay.bytes_carried
    cpu_started_s = time.process_time()
    started_s = time.monotonic()
    for _ in range(MEASURED_ROUNDS):
        await relay.follower.wait_for_update()
    elapsed_s = time.monotonic() - started_s
    relay_bytes = relay.bytes_carried - bytes_before
    cpu_s = time.process_time() - cpu_started_s
    revision = await fleet.run_command(_create_region("region-x"))
    applied_after_s = await fleet.wait_until(
        fleet.applied_everywhere(revision)
    )
    now_s = time.monotonic()
    ages_s = [n.follower.confirmed_age_s(now_s) for n in fleet.nodes.values()]
    collector.add(
        size,
        relay_bytes_per_s=relay_bytes / elapsed_s,
        whole_process_ms_per_s=cpu_s / elapsed_s * 1e3,
        in_force_s=applied_after_s,
        oldest_vouch_s=max(ages_s),
    )


def _create_region(name: str) -> ApplyChange:
    edit = Edit("regions", name, 0, {"name": name})
    return ApplyChange(new_change_id(), "bench", 1.0, (edit,))


async def measure_lookups(rng: random.Random) -> AsyncIterator[Series]:
    """Measure the CPU time of look-ups over HTTP.

    The caller runs in another thread, whose CPU time is not counted.
    """
    configure_logging(level=logging.ERROR)
    collector = Collector()
    with tempfile.TemporaryDirectory() as folder:
        fleet = TreeFleet(Path(folder), SpreadShape())
        await fleet.start(0)
        pages = random_pages(CLIENT_BLOCK_COUNT, rng)
        rows = [make_row("client_block_pages", page) for page in pages]
        await fleet.run_command(
            _create_objects([*region_and_zone_rows(), *rows])
        )
        entry = build_entry(
            EntrySettings(
                "entry-1",
                "region-0-zone-0",
                BENCH_SECRETS,
                (fleet.control.peer_address,),
            ),
            EventLog(),
        )
        await entry.start()
        try:
            for count in (LOOKUP_COUNTS[0], *LOOKUP_COUNTS):
                cpu_ms = await _lookups_cpu_ms(entry.address, count)
                collector.add(count, endpoint_ms=cpu_ms)
        finally:
            await entry.stop(0.0)
            await fleet.stop()
    for series in collector.series("http_lookup"):
        # The first run is a warm-up.
        yield Series(series.name, series.sizes[1:], series.values[1:])


def _create_objects(rows: list[ObjectRow]) -> ApplyChange:
    edits = tuple(Edit(row.kind, row.name, 0, row.data) for row in rows)
    return ApplyChange(new_change_id(), "bench", 1.0, edits)


async def _lookups_cpu_ms(address: Address, count: int) -> float:
    started_s = time.thread_time()
    await asyncio.to_thread(_send_lookups, address, count)
    return (time.thread_time() - started_s) * 1e3


def _send_lookups(address: Address, count: int) -> None:
    with socket.create_connection((address.host, address.port)) as conn:
        for number in range(count):
            conn.sendall(_REQUEST % (number % 500))
            _read_response(conn)


def _read_response(conn: socket.socket) -> None:
    content = b""
    while b"\r\n\r\n" not in content:
        content += conn.recv(65536)
    head, _, body = content.partition(b"\r\n\r\n")
    lengths = [
        line.partition(b":")[2]
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    remaining_bytes = int(lengths[0]) - len(body)
    while remaining_bytes > 0:
        remaining_bytes -= len(conn.recv(65536))
