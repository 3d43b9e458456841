"""Memory that an entry VM needs to stream a large body each way."""

import argparse
import asyncio
from collections.abc import AsyncIterator
import dataclasses
import gc
import hashlib
import logging
from pathlib import Path
import tempfile
import tracemalloc
from typing import Any, Final

import msgspec

from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._report import Report
from wigeonford.bench._settings import (
    BENCH_SECRETS,
    Deployment,
    load_deployment,
    StandIns,
)
from wigeonford.entry import Announcement
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import (
    ClientConnection,
    fetch,
    Headers,
    HttpServer,
    Request,
    Response,
)
from wigeonford.model import ObjectSet
from wigeonford.settings import Address, CallerLimits

PROBE_PATH: Final = "/archive/probe"
PROBE_PAUSE_S: Final = 0.1
MEBIBYTE: Final = 1 << 20
LIMIT_MB: Final = 16.0
CHUNK_BYTES: Final = 65536
CONNECT_TIMEOUT_S: Final = 5.0
SAMPLE_S: Final = 0.02
SERVICE: Final = "archive"
_STATUS: Final = Path("/proc/self/status")


async def run(args: argparse.Namespace) -> Report:
    """Stream a body up and down; fail above the limit or if it is cut.

    Caller and target make and drop chunks in this process, so that both
    figures bound the entry VM's own from above.
    """
    configure_logging(level=logging.CRITICAL)
    size = int(args.megabytes * MEBIBYTE)
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(_one_entry(), Path(folder), EventLog())
        await fleet.start()
        target = HttpServer(_Target(size).handle, CallerLimits(), EventLog())
        address = await target.start(Address())
        try:
            await _announce(fleet, address)
            await _until_taken(fleet)
            data = {
                "megabytes": args.megabytes,
                "limit_mb": LIMIT_MB,
                "upload": await _measured(fleet, size, upload=True),
                "download": await _measured(fleet, size, upload=False),
            }
        finally:
            await fleet.stop()
            await target.stop(1.0)
    passed = all(
        data[way]["whole"] and data[way]["traced_peak_mb"] < LIMIT_MB
        for way in ("upload", "download")
    )
    return Report(data, passed)


def _one_entry() -> Deployment:
    """Return a deployment with one entry VM and no stand-ins."""
    deployment = load_deployment("guild")
    first = next(iter(deployment.objects.entry_vms))
    objects = {
        key: item
        for key, item in deployment.objects.objects.items()
        if key[0] not in ("entry_vms", "shares") or key == ("entry_vms", first)
    }
    return dataclasses.replace(
        deployment, objects=ObjectSet(objects), stand_ins=StandIns()
    )


class _Target:
    """Take an upload and answer with its digest, or send a body."""

    def __init__(self, size: int) -> None:
        self._size = size

    async def handle(self, request: Request) -> Response:
        if request.path == PROBE_PATH:
            return Response(200, ((b"content-length", b"0"),))
        if request.method == "GET":
            length = (b"content-length", str(self._size).encode())
            return Response(200, (length,), _chunks(self._size))
        digest = await _digest(request.body)
        length = (b"content-length", str(len(digest)).encode())
        return Response(200, (length,), digest)


async def _chunks(size: int) -> AsyncIterator[bytes]:
    """Yield numbered chunks."""
    for start in range(0, size, CHUNK_BYTES):
        length = min(CHUNK_BYTES, size - start)
        yield (start.to_bytes(8) * (length // 8 + 1))[:length]


async def _digest(body: AsyncIterator[bytes]) -> bytes:
    found = hashlib.sha256()
    async for chunk in body:
        found.update(chunk)
    return found.hexdigest().encode()


async def _announce(fleet: LocalFleet, address: Address) -> None:
    content = Announcement(
        service=SERVICE,
        host=address.host,
        port=address.port,
        slots=4,
        sequence=1,
        lease_s=30.0,
        first=True,
    )
    secret = f"Bearer {BENCH_SECRETS.target}".encode()
    response = await fetch(
        next(iter(fleet.entry_addresses().values())),
        "POST",
        "/.wigeonford/targets",
        ((b"authorization", secret),),
        msgspec.json.encode(content),
    )
    assert response.status == 200, "the target is announced"


async def _until_taken(fleet: LocalFleet) -> None:
    """Return once the entry VM holds a slot of the target."""
    entry = next(iter(fleet.entry_addresses().values()))
    while True:
        response = await fetch(
            entry, "GET", PROBE_PATH, _head(fleet, entry, 0)[1:2]
        )
        if response.status == 200:
            return
        await asyncio.sleep(PROBE_PAUSE_S)


async def _measured(
    fleet: LocalFleet, size: int, *, upload: bool
) -> dict[str, Any]:
    gc.collect()
    idle_rss = _rss_bytes()
    rss = _PeakRss()
    sampling = asyncio.create_task(rss.run())
    whole = await _transfer(fleet, size, upload=upload)
    sampling.cancel()
    await asyncio.gather(sampling, return_exceptions=True)
    gc.collect()
    tracemalloc.start()
    idle, _ = tracemalloc.get_traced_memory()
    traced_whole = await _transfer(fleet, size, upload=upload)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "whole": whole and traced_whole,
        "traced_peak_mb": round((peak - idle) / MEBIBYTE, 2),
        "rss_peak_mb": round((rss.peak - idle_rss) / MEBIBYTE, 2),
    }


async def _transfer(fleet: LocalFleet, size: int, *, upload: bool) -> bool:
    """Send or fetch a body through the entry VM; tell if it was whole."""
    entry = next(iter(fleet.entry_addresses().values()))
    conn = await ClientConnection.open(entry, CONNECT_TIMEOUT_S)
    expected = await _digest(_chunks(size))
    try:
        if upload:
            head = _head(fleet, entry, size)
            response = await conn.exchange(
                "POST", "/archive/scans/1", head, _chunks(size)
            )
        else:
            head = _head(fleet, entry, 0)
            response = await conn.exchange("GET", "/archive/1", head)
        assert not isinstance(response.body, bytes), "clients stream"
        if not upload:
            return await _digest(response.body) == expected
        return b"".join([part async for part in response.body]) == expected
    finally:
        conn.close()


def _head(fleet: LocalFleet, entry: Address, size: int) -> Headers:
    key = next(iter(fleet.keys.values()))
    return (
        (b"host", str(entry).encode()),
        (b"authorization", f"Bearer {key}".encode()),
        (b"content-length", str(size).encode()),
    )


class _PeakRss:
    """Sample this process's resident size."""

    def __init__(self) -> None:
        self.peak = _rss_bytes()

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.peak = max(self.peak, _rss_bytes())
            await asyncio.sleep(SAMPLE_S)


def _rss_bytes() -> int:
    for line in _STATUS.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the kernel states VmRSS")
