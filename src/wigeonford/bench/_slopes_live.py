"""What is measured on running parts over loopback."""

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
from wigeonford.bench._slopes_objects import draw_pages, make_row, place_rows
from wigeonford.bench._slopes_tree import new_id, TreeFleet
from wigeonford.compose import build_entry
from wigeonford.control import ApplyChange, Edit
from wigeonford.entry import SpreadShape
from wigeonford.events import configure_logging, EventLog
from wigeonford.messages.object import ObjectRow
from wigeonford.settings import Address, EntrySettings

SETTLE_ROUNDS: Final = 4
ROUNDS: Final = 4
LOOKUP_BLOCKS: Final = 20000
LOOKUPS: Final = (500, 1000, 2000, 4000)
_REQUEST: Final = (
    b"GET /.wigeonford/lookup?account=%d HTTP/1.1\r\nHost: entry\r\n\r\n"
)


async def measure_zone(_rng: random.Random) -> AsyncIterator[Series]:
    """Measure a relay against the members of its zone."""
    shape = SpreadShape(flat_members=0)
    for series in await _measure_fleets(shape, (8, 16, 24, 32), "zone_member"):
        yield series


async def _measure_fleets(
    shape: SpreadShape, sizes: tuple[int, ...], per: str
) -> list[Series]:
    configure_logging(level=logging.ERROR)
    found = Collector()
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            fleet = TreeFleet(Path(folder), shape)
            await fleet.start(size)
            try:
                await _watch(fleet, size, found)
            finally:
                await fleet.stop()
    return list(found.series(per))


async def _watch(fleet: TreeFleet, size: int, found: Collector) -> None:
    relay = fleet.nodes["node-00"]
    for _ in range(SETTLE_ROUNDS):
        await relay.follower.renewed()
    before = relay.bytes_carried
    processor_s = time.process_time()
    began_s = time.monotonic()
    for _ in range(ROUNDS):
        await relay.follower.renewed()
    passed_s = time.monotonic() - began_s
    carried = relay.bytes_carried - before
    spent_s = time.process_time() - processor_s
    revision = await fleet.propose(_change("region-x"))
    taken_s = await fleet.settle(fleet.in_force(revision))
    now_s = time.monotonic()
    ages_s = [n.follower.vouch_age_s(now_s) for n in fleet.nodes.values()]
    found.add(
        size,
        relay_bytes_per_s=carried / passed_s,
        whole_process_ms_per_s=spent_s / passed_s * 1e3,
        in_force_s=taken_s,
        oldest_vouch_s=max(ages_s),
    )


def _change(name: str) -> ApplyChange:
    edit = Edit("regions", name, 0, {"name": name})
    return ApplyChange(new_id(), "bench", 1.0, (edit,))


async def measure_endpoint(rng: random.Random) -> AsyncIterator[Series]:
    """Measure the processor time of look-ups over HTTP.

    The caller runs in a thread of its own and is not counted.
    """
    configure_logging(level=logging.ERROR)
    found = Collector()
    with tempfile.TemporaryDirectory() as folder:
        fleet = TreeFleet(Path(folder), SpreadShape())
        await fleet.start(0)
        pages = draw_pages(LOOKUP_BLOCKS, rng)
        rows = [make_row("client_block_pages", page) for page in pages]
        await fleet.propose(_publish([*place_rows(), *rows]))
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
            for count in (LOOKUPS[0], *LOOKUPS):
                spent_ms = await _look_up(entry.address, count)
                found.add(count, endpoint_ms=spent_ms)
        finally:
            await entry.stop(0.0)
            await fleet.stop()
    for series in found.series("http_lookup"):
        # The first run warms up.
        yield Series(series.name, series.sizes[1:], series.values[1:])


def _publish(rows: list[ObjectRow]) -> ApplyChange:
    edits = tuple(Edit(row.kind, row.name, 0, row.data) for row in rows)
    return ApplyChange(new_id(), "bench", 1.0, edits)


async def _look_up(address: Address, count: int) -> float:
    before_s = time.thread_time()
    await asyncio.to_thread(_call, address, count)
    return (time.thread_time() - before_s) * 1e3


def _call(address: Address, count: int) -> None:
    with socket.create_connection((address.host, address.port)) as conn:
        for number in range(count):
            conn.sendall(_REQUEST % (number % 500))
            _read_answer(conn)


def _read_answer(conn: socket.socket) -> None:
    content = b""
    while b"\r\n\r\n" not in content:
        content += conn.recv(65536)
    head, _, body = content.partition(b"\r\n\r\n")
    lengths = [
        line.partition(b":")[2]
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    left = int(lengths[0]) - len(body)
    while left > 0:
        left -= len(conn.recv(65536))
