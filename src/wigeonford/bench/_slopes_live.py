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
from wigeonford.peer import ObjectRow
from wigeonford.settings import Address, EntrySettings

WATCH_S: Final = 3.0
CHANGES: Final = 3
LOOKUP_BLOCKS: Final = 20000
LOOKUPS: Final = (500, 1000, 2000, 4000)
_SHAPE: Final = SpreadShape(flat_members=0)
_REQUEST: Final = (
    b"GET /.wigeonford/lookup?account=%d HTTP/1.1\r\nHost: entry\r\n\r\n"
)


async def measure_tree(_rng: random.Random) -> AsyncIterator[Series]:
    """Measure a relay and the time to be in force against its children."""
    configure_logging(level=logging.ERROR)
    found = Collector()
    for children in (1, 2, 4, 8):
        with tempfile.TemporaryDirectory() as folder:
            fleet = TreeFleet(Path(folder), _SHAPE)
            await fleet.start(children + 1)
            try:
                await _watch(fleet, children, found)
            finally:
                await fleet.stop()
    for series in found.series("child"):
        yield series


async def _watch(fleet: TreeFleet, children: int, found: Collector) -> None:
    relay = fleet.nodes["node-00"]
    leaf = fleet.nodes[f"node-{children:02}"]
    before = relay.bytes_carried
    processor_s = time.process_time()
    pulls = leaf.counts["SpreadPull"]
    began_s = time.monotonic()
    await asyncio.sleep(WATCH_S)
    passed_s = time.monotonic() - began_s
    carried = relay.bytes_carried - before
    spent_s = time.process_time() - processor_s
    pulled = leaf.counts["SpreadPull"] - pulls
    slowest_s = 0.0
    for number in range(CHANGES):
        revision = await fleet.propose(_change(f"region-{number}"))
        taken_s = await fleet.settle(fleet.in_force(revision))
        slowest_s = max(slowest_s, taken_s)
    found.add(
        children,
        relay_bytes_per_s=carried / passed_s,
        whole_process_ms_per_s=spent_s / passed_s * 1e3,
        pulls_per_s_of_a_child=pulled / passed_s,
        slowest_in_force_s=slowest_s,
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
