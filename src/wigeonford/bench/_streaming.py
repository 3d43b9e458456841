"""Measure the memory that streaming a large body takes, each way."""

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
PROBE_INTERVAL_S: Final = 0.1
BYTES_PER_MIB: Final = 1 << 20
TRACED_PEAK_LIMIT_MB: Final = 16.0
CHUNK_BYTES: Final = 65536
CONNECT_TIMEOUT_S: Final = 5.0
SAMPLE_INTERVAL_S: Final = 0.02
SERVICE: Final = "archive"
_PROC_STATUS: Final = Path("/proc/self/status")


async def run(args: argparse.Namespace) -> Report:
    """Stream a body each way; check its digest and the peak memory.

    The caller and the target run in this process too, so both peaks are
    upper bounds of the entry VM's own.
    """
    configure_logging(level=logging.CRITICAL)
    size_bytes = int(args.megabytes * BYTES_PER_MIB)
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(_make_deployment(), Path(folder), EventLog())
        await fleet.start()
        target = HttpServer(
            _Target(size_bytes).handle, CallerLimits(), EventLog()
        )
        address = await target.start(Address())
        try:
            await _announce(fleet, address)
            await _wait_for_slot(fleet)
            data = {
                "megabytes": args.megabytes,
                "limit_mb": TRACED_PEAK_LIMIT_MB,
                "upload": await _measure_transfer(
                    fleet, size_bytes, upload=True
                ),
                "download": await _measure_transfer(
                    fleet, size_bytes, upload=False
                ),
            }
        finally:
            await fleet.stop()
            await target.stop(1.0)
    passed = all(
        data[direction]["whole"]
        and data[direction]["traced_peak_mb"] < TRACED_PEAK_LIMIT_MB
        for direction in ("upload", "download")
    )
    return Report(data, passed)


def _make_deployment() -> Deployment:
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
    """Respond to an upload with its digest, and to a GET with a body."""

    def __init__(self, size_bytes: int) -> None:
        self._size_bytes = size_bytes

    async def handle(self, request: Request) -> Response:
        if request.path == PROBE_PATH:
            return Response(200, ((b"content-length", b"0"),))
        if request.method == "GET":
            length = (b"content-length", str(self._size_bytes).encode())
            return Response(200, (length,), _chunks(self._size_bytes))
        digest = await _digest(request.body)
        length = (b"content-length", str(len(digest)).encode())
        return Response(200, (length,), digest)


async def _chunks(size_bytes: int) -> AsyncIterator[bytes]:
    """Yield chunks filled with their offset, so that no two are alike."""
    for start in range(0, size_bytes, CHUNK_BYTES):
        length = min(CHUNK_BYTES, size_bytes - start)
        yield (start.to_bytes(8) * (length // 8 + 1))[:length]


async def _digest(body: AsyncIterator[bytes]) -> bytes:
    hasher = hashlib.sha256()
    async for chunk in body:
        hasher.update(chunk)
    return hasher.hexdigest().encode()


async def _announce(fleet: LocalFleet, address: Address) -> None:
    announcement = Announcement(
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
        msgspec.json.encode(announcement),
    )
    assert response.status == 200, "the entry VM rejected the announcement"


async def _wait_for_slot(fleet: LocalFleet) -> None:
    """Return once the entry VM holds a slot of the target."""
    entry = next(iter(fleet.entry_addresses().values()))
    while True:
        response = await fetch(
            entry, "GET", PROBE_PATH, _request_headers(fleet, entry, 0)[1:2]
        )
        if response.status == 200:
            return
        await asyncio.sleep(PROBE_INTERVAL_S)


async def _measure_transfer(
    fleet: LocalFleet, size_bytes: int, *, upload: bool
) -> dict[str, Any]:
    gc.collect()
    idle_rss_bytes = _rss_bytes()
    sampler = _PeakRss()
    sampling_task = asyncio.create_task(sampler.run())
    is_complete = await _transfer(fleet, size_bytes, upload=upload)
    sampling_task.cancel()
    await asyncio.gather(sampling_task, return_exceptions=True)
    gc.collect()
    tracemalloc.start()
    idle_bytes, _ = tracemalloc.get_traced_memory()
    traced_is_complete = await _transfer(fleet, size_bytes, upload=upload)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "whole": is_complete and traced_is_complete,
        "traced_peak_mb": round((peak_bytes - idle_bytes) / BYTES_PER_MIB, 2),
        "rss_peak_mb": round(
            (sampler.peak_bytes - idle_rss_bytes) / BYTES_PER_MIB, 2
        ),
    }


async def _transfer(
    fleet: LocalFleet, size_bytes: int, *, upload: bool
) -> bool:
    """Send or fetch a body; return whether it arrived unchanged."""
    entry = next(iter(fleet.entry_addresses().values()))
    conn = await ClientConnection.open(entry, CONNECT_TIMEOUT_S)
    expected = await _digest(_chunks(size_bytes))
    try:
        if upload:
            headers = _request_headers(fleet, entry, size_bytes)
            response = await conn.exchange(
                "POST", "/archive/scans/1", headers, _chunks(size_bytes)
            )
        else:
            headers = _request_headers(fleet, entry, 0)
            response = await conn.exchange("GET", "/archive/1", headers)
        assert not isinstance(response.body, bytes), (
            "the client streams the response body"
        )
        if not upload:
            return await _digest(response.body) == expected
        return b"".join([piece async for piece in response.body]) == expected
    finally:
        conn.close()


def _request_headers(
    fleet: LocalFleet, entry: Address, size_bytes: int
) -> Headers:
    key = next(iter(fleet.keys.values()))
    return (
        (b"host", str(entry).encode()),
        (b"authorization", f"Bearer {key}".encode()),
        (b"content-length", str(size_bytes).encode()),
    )


class _PeakRss:
    """Sample the peak resident set size of this process."""

    def __init__(self) -> None:
        self.peak_bytes = _rss_bytes()

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.peak_bytes = max(self.peak_bytes, _rss_bytes())
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _rss_bytes() -> int:
    for line in _PROC_STATUS.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process status has no VmRSS line")
