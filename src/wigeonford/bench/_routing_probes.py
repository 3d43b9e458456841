"""Probes of the routing bench: added latency, revisions, loop lag."""

import asyncio
import itertools
import statistics
import time
from typing import Final

from wigeonford.bench._books import REQUEST_ID_HEADER
from wigeonford.bench._fleet import LocalFleet
from wigeonford.http import fetch, Headers
from wigeonford.settings import Address

DIRECT_CALLS: Final = 40
DIRECT_S: Final = 4.0
WATCH_S: Final = 0.05
LAG_INTERVAL_S: Final = 0.01


class RevisionWatch:
    """Look for an entry VM whose revision goes back."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._seen: dict[str, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for name, entry in self._fleet.entries.items():
                revision = entry.config.current.revision
                self.reverted += revision < self._seen.get(name, 0)
                self._seen[name] = revision
            await asyncio.sleep(WATCH_S)


async def added_latency_ms(fleet: LocalFleet) -> float | None:
    """Return the median that an entry VM adds to a call at rest.

    None stands for a run in which no call was answered.
    """
    target = fleet.targets[0]
    addresses = fleet.entry_addresses()
    entries = [
        addresses[name] for name in fleet.entries_of(target.group.region)
    ]
    callers = list(itertools.product(entries, list(fleet.keys.items())[:3]))
    path = f"/{target.group.service}/items/0"
    added: list[float] = []
    direct: set[str] = set()
    until_s = time.monotonic() + DIRECT_S
    for number in range(DIRECT_CALLS):
        if time.monotonic() > until_s:
            break
        entry, (account, key) = callers[number % len(callers)]
        direct.add(f"{account}/direct-{number}/0")
        named = (REQUEST_ID_HEADER, f"{account}/direct-{number}/0".encode())
        direct_s, _ = await _timed(target.address, path, (named,))
        named = (REQUEST_ID_HEADER, f"{account}/entry-{number}/0".encode())
        bearer = (b"authorization", f"Bearer {key}".encode())
        system_s, status = await _timed(entry, path, (named, bearer))
        if status == 200:
            added.append(system_s - direct_s)
    fleet.books.forget(direct)
    return round(statistics.median(added) * 1000, 3) if added else None


async def _timed(
    address: Address, path: str, headers: Headers
) -> tuple[float, int]:
    started_s = time.perf_counter()
    response = await fetch(address, "GET", path, headers)
    return time.perf_counter() - started_s, response.status


class LoopWatch:
    """Measure how late the event loop of this process runs its timers."""

    def __init__(self) -> None:
        self._late_s: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self._late_s.append(loop.time() - due_s)

    def p99_ms(self) -> float:
        """Return the 99th percentile in milliseconds."""
        ordered = sorted(self._late_s)
        return round(ordered[len(ordered) * 99 // 100] * 1000, 2)
