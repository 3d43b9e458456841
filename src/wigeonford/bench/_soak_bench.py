"""The soak: everything at once, with faults at random times."""

import argparse
import asyncio
import logging
from pathlib import Path
import random
import sys
import tempfile
from typing import Any, Final

from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._report import Report
from wigeonford.bench._routing_books import CallLedger
from wigeonford.bench._routing_load import LoadShape, OpenLoop, schedule
from wigeonford.bench._routing_probes import RevisionWatch
from wigeonford.bench._routing_promises import count_breaches, Evidence
from wigeonford.bench._settings import load_deployment
from wigeonford.bench._soak_faults import SOAK_FAULTS, SoakStage
from wigeonford.events import configure_logging, EventLog

CONTROL_REPLICAS: Final = 3
RATE_PER_S: Final = 30.0
FAULT_INTERVAL_S: Final = 2.0
QUIET_PART: Final = 0.8
LATE_PART: Final = 0.02
EXCESS_FACTOR: Final = 2.0
PROGRESS_S: Final = 10.0


async def run(args: argparse.Namespace) -> Report:
    """Run a soak; a breach of any promise fails it."""
    configure_logging(level=logging.CRITICAL)
    deployment = load_deployment(args.deployment)
    seconds = args.minutes * 60.0
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(
            deployment,
            Path(folder),
            EventLog(),
            CONTROL_REPLICAS,
            behind_links=True,
        )
        await fleet.start()
        try:
            data = await _soak(fleet, args.seed, seconds, quiet=args.json)
        finally:
            await fleet.stop()
    breaches = sum(data["promises"].values())
    data = {"seed": args.seed, "breaches": breaches, **data}
    return Report(data, breaches == 0)


async def _soak(
    fleet: LocalFleet, seed: int, seconds: float, *, quiet: bool
) -> dict[str, Any]:
    ledger = CallLedger()
    entries = tuple(fleet.entry_addresses().values())
    load = OpenLoop(entries, fleet.keys, ledger, random.Random(seed))
    stage = SoakStage(fleet, random.Random(seed))
    stage.started_s = asyncio.get_running_loop().time()
    watch = RevisionWatch(fleet)
    shape = LoadShape(
        excess_factor=EXCESS_FACTOR, poison=True, late_part=LATE_PART
    )
    arrivals = schedule(
        fleet.deployment.objects,
        shape,
        RATE_PER_S,
        seconds,
        random.Random(seed),
    )
    background = [
        asyncio.create_task(watch.run()),
        asyncio.create_task(_restart_dead(stage)),
        asyncio.create_task(_progress(ledger, seconds, quiet=quiet)),
    ]
    await asyncio.gather(load.run(arrivals), _strike(stage, seconds))
    await load.finish()
    for task in background:
        task.cancel()
    results = await asyncio.gather(*background, return_exceptions=True)
    failures = [r for r in results if isinstance(r, Exception)]
    if failures:
        raise failures[0]
    return _figures(fleet, ledger, stage, watch)


def _figures(
    fleet: LocalFleet,
    ledger: CallLedger,
    stage: SoakStage,
    watch: RevisionWatch,
) -> dict[str, Any]:
    promises = count_breaches(
        Evidence(
            fleet.deployment.objects,
            ledger,
            fleet.books,
            frozenset(stage.stopped),
            watch.reverted,
            fleet.breaches,
        )
    )
    codes: dict[str, int] = {}
    for call in ledger.calls:
        codes[str(call.code)] = codes.get(str(call.code), 0) + 1
    first = next((name for name, count in promises.items() if count), None)
    return {
        "first_breach": first,
        "trace": stage.trace if first is not None else [],
        "faults": len(stage.trace),
        "promises": promises,
        "calls_by_code": dict(sorted(codes.items())),
        "latency_ms": ledger.latency_ms(),
        "worst_account_served_ratio": round(ledger.worst_served_ratio(), 4),
    }


async def _strike(stage: SoakStage, seconds: float) -> None:
    """Begin faults at random times; leave the last part to repairs."""
    tasks: list[asyncio.Future[None]] = []
    names = sorted(SOAK_FAULTS)
    loop = asyncio.get_running_loop()
    while loop.time() - stage.started_s < seconds * QUIET_PART:
        await asyncio.sleep(stage.rng.expovariate(1 / FAULT_INTERVAL_S))
        fault = SOAK_FAULTS[stage.rng.choice(names)]
        for _ in range(stage.rng.choice((1, 1, 2))):
            tasks.append(asyncio.ensure_future(fault(stage)))
    await asyncio.gather(*tasks)


async def _restart_dead(stage: SoakStage) -> None:
    """Start targets anew that a poisonous request has killed."""
    while True:
        await asyncio.sleep(1.0)
        for index, target in enumerate(stage.fleet.targets):
            if not target.alive and f"target-{index}" not in stage.busy:
                await target.start()


async def _progress(
    ledger: CallLedger, seconds: float, *, quiet: bool
) -> None:
    elapsed_s = 0.0
    while not quiet:
        await asyncio.sleep(PROGRESS_S)
        elapsed_s += PROGRESS_S
        print(
            f"{elapsed_s:.0f} of {seconds:.0f} s, {len(ledger.calls)} calls",
            file=sys.stderr,
        )
