"""Probes of the routing bench: added latency, revisions, event loop lag."""

import asyncio
import itertools
import statistics
import time
from typing import Final

from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._target_run_records import REQUEST_ID_HEADER
from wigeonford.http import fetch, Headers
from wigeonford.settings import Address

PROBE_CALLS: Final = 40
MAX_PROBING_S: Final = 4.0
WATCH_INTERVAL_S: Final = 0.05
LAG_INTERVAL_S: Final = 0.01


class RevisionMonitor:
    """Count the times that an entry VM's config revision decreases."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._last_revisions: dict[str, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for name, entry in self._fleet.entries.items():
                revision = entry.config.current.revision
                self.reverted += revision < self._last_revisions.get(name, 0)
                self._last_revisions[name] = revision
            await asyncio.sleep(WATCH_INTERVAL_S)


async def measure_added_latency_ms(fleet: LocalFleet) -> float | None:
    """Return the median latency that an entry VM adds without other load.

    Return None if no request through an entry VM succeeded.
    """
    target = fleet.targets[0]
    addresses = fleet.entry_addresses()
    entries = [
        addresses[name]
        for name in fleet.entry_names_in_region(target.group.region)
    ]
    entry_key_pairs = list(
        itertools.product(entries, list(fleet.keys.items())[:3])
    )
    path = f"/{target.group.service}/items/0"
    added_s: list[float] = []
    direct_request_ids: set[str] = set()
    deadline_s = time.monotonic() + MAX_PROBING_S
    for number in range(PROBE_CALLS):
        if time.monotonic() > deadline_s:
            break
        entry, (account, key) = entry_key_pairs[number % len(entry_key_pairs)]
        direct_request_ids.add(f"{account}/direct-{number}/0")
        id_header = (
            REQUEST_ID_HEADER,
            f"{account}/direct-{number}/0".encode(),
        )
        direct_s, _ = await _time_request(target.address, path, (id_header,))
        id_header = (REQUEST_ID_HEADER, f"{account}/entry-{number}/0".encode())
        bearer = (b"authorization", f"Bearer {key}".encode())
        through_entry_s, status = await _time_request(
            entry, path, (id_header, bearer)
        )
        if status == 200:
            added_s.append(through_entry_s - direct_s)
    fleet.target_records.remove_requests(direct_request_ids)
    return round(statistics.median(added_s) * 1000, 3) if added_s else None


async def _time_request(
    address: Address, path: str, headers: Headers
) -> tuple[float, int]:
    started_s = time.perf_counter()
    response = await fetch(address, "GET", path, headers)
    return time.perf_counter() - started_s, response.status


class LoopLagMonitor:
    """Measure how late the event loop of this process runs its timers."""

    def __init__(self) -> None:
        self._delays_s: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self._delays_s.append(loop.time() - due_s)

    def p99_ms(self) -> float:
        """Return the 99th percentile in milliseconds."""
        ordered = sorted(self._delays_s)
        return round(ordered[len(ordered) * 99 // 100] * 1000, 2)
