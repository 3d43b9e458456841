"""The demo: run a deployment under mixed load on loopback."""

import asyncio
from collections.abc import Iterator
import logging
from pathlib import Path
import random
import sys
import tempfile
from typing import Any, Final

from wigeonford.bench._caller import CallerStats, Job, StandInCaller
from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._report import Report
from wigeonford.bench._settings import Deployment, load_deployment
from wigeonford.events import configure_logging, EventLog
from wigeonford.settings import Address

CONCURRENCY: Final = 24
UPLOAD_BYTES: Final = 262144
SCAN_BYTES: Final = 131072
RETRY_EVERY: Final = 3
PROGRESS_EVERY: Final = 50


def make_jobs(
    deployment: Deployment, count: int, rng: random.Random
) -> Iterator[tuple[str, Job]]:
    """Yield accounts and their jobs: reads, orders, retries and uploads."""
    accounts = list(deployment.objects.client_accounts.values())
    weights = [account.rate_per_s for account in accounts]
    services = list(deployment.objects.services)
    last_order: tuple[str, Job] | None = None
    for number in range(count):
        account = rng.choices(accounts, weights)[0].name
        draw = rng.random()
        if draw < 0.7:
            yield account, _make_read_job(account, services[0], number)
        elif draw < 0.9 and number % RETRY_EVERY == 0 and last_order:
            yield last_order
        elif draw < 0.9:
            last_order = account, _make_order_job(account, services[1], number)
            yield last_order
        else:
            yield account, _make_upload_job(account, services[2], number, rng)


def _make_read_job(account: str, service: str, number: int) -> Job:
    request_id = f"{account}/{number}"
    path = f"/{service}/items/{number}"
    return Job(request_id, service, "GET", path)


def _make_order_job(account: str, service: str, number: int) -> Job:
    return Job(
        f"{account}/{number}",
        service,
        "POST",
        f"/{service}/orders",
        body=b'{"number": %d}' % number,
        idempotency_key=f"order-{number}",
    )


def _make_upload_job(
    account: str, service: str, number: int, rng: random.Random
) -> Job:
    return Job(
        f"{account}/{number}",
        service,
        "POST",
        f"/{service}/scans/{number}",
        body=rng.randbytes(UPLOAD_BYTES),
        response_bytes=SCAN_BYTES,
        idempotency_key=f"scan-{number}",
    )


async def run_demo(
    name: str, requests: int, seed: int, *, quiet: bool
) -> Report:
    """Run a deployment's demo; print progress to standard error."""
    configure_logging(level=logging.CRITICAL)
    rng = random.Random(seed)
    deployment = load_deployment(name)
    stats = CallerStats()
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(deployment, Path(folder), EventLog())
        await fleet.start()
        try:
            await _run_load(fleet, stats, requests, rng, quiet=quiet)
        finally:
            await fleet.stop()
    data = _make_report_data(name, seed, fleet, stats)
    failure_counts = ("wrong_answers", "run_twice", "keys_seen_by_targets")
    passed = data["answered"] == requests and not any(
        data[field] for field in failure_counts
    )
    return Report(data, passed)


async def _run_load(
    fleet: LocalFleet,
    stats: CallerStats,
    requests: int,
    rng: random.Random,
    *,
    quiet: bool,
) -> None:
    entries = tuple(entry.address for entry in fleet.entries.values())
    callers = _make_callers(fleet, entries, stats, rng)
    concurrency_limit = asyncio.Semaphore(CONCURRENCY)
    finished_requests = 0

    async def perform(account: str, job: Job) -> None:
        nonlocal finished_requests
        async with concurrency_limit:
            await rng.choice(callers[account]).perform(job)
        finished_requests += 1
        if not quiet and finished_requests % PROGRESS_EVERY == 0:
            print(
                f"{finished_requests} of {requests} requests", file=sys.stderr
            )

    jobs = make_jobs(fleet.deployment, requests, rng)
    await asyncio.gather(*(perform(*job) for job in jobs))


def _make_callers(
    fleet: LocalFleet,
    entries: tuple[Address, ...],
    stats: CallerStats,
    rng: random.Random,
) -> dict[str, list[StandInCaller]]:
    regions = range(1, len(fleet.deployment.objects.regions) + 1)
    return {
        account: [
            StandInCaller(
                f"127.{region}.{zone}.{number}",
                account,
                key,
                entries,
                stats,
                random.Random(rng.random()),
            )
            for region in regions
            for zone in (1, 129)
        ]
        for number, (account, key) in enumerate(fleet.keys.items(), 1)
    }


def _make_report_data(
    name: str, seed: int, fleet: LocalFleet, stats: CallerStats
) -> dict[str, Any]:
    return {
        "deployment": name,
        "seed": seed,
        "requests": stats.requests,
        "answered": stats.answered,
        "wrong_answers": stats.wrong_answers,
        "run_twice": fleet.target_records.run_twice,
        "keys_seen_by_targets": fleet.target_records.keys_seen,
        "wrong_accounts": fleet.target_records.wrong_accounts,
        "refusals_by_code": {
            str(code): count for code, count in stats.refusals.items()
        },
        "latency_ms": stats.latency_ms(),
    }
