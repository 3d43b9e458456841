"""Run a full deployment under load, with faults at random times."""

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
from wigeonford.bench._routing_invariants import (
    count_breaches,
    RunObservations,
)
from wigeonford.bench._routing_load import (
    generate_arrivals,
    LoadShape,
    OpenLoopLoad,
)
from wigeonford.bench._routing_probes import RevisionMonitor
from wigeonford.bench._routing_records import CallerRecords
from wigeonford.bench._settings import load_deployment
from wigeonford.bench._soak_faults import SOAK_FAULTS, SoakContext
from wigeonford.events import configure_logging, EventLog

CONTROL_REPLICAS: Final = 3
RATE_PER_S: Final = 30.0
FAULT_INTERVAL_S: Final = 2.0
FAULT_PHASE_FRACTION: Final = 0.8
"""Faults start only in this first fraction of the run."""

LATE_FRACTION: Final = 0.02
"""The fraction of requests that targets answer after the deadline."""

EXCESS_FACTOR: Final = 2.0
"""The last account's extra demand, as a multiple of its rate."""

PROGRESS_INTERVAL_S: Final = 10.0


async def run(args: argparse.Namespace) -> Report:
    """Run a soak; pass if no invariant was breached."""
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
            data = await _run_soak(fleet, args.seed, seconds, quiet=args.json)
        finally:
            await fleet.stop()
    breaches = sum(data["promises"].values())
    data = {"seed": args.seed, "breaches": breaches, **data}
    return Report(data, breaches == 0)


async def _run_soak(
    fleet: LocalFleet, seed: int, seconds: float, *, quiet: bool
) -> dict[str, Any]:
    caller_records = CallerRecords()
    entries = tuple(fleet.entry_addresses().values())
    load = OpenLoopLoad(
        entries, fleet.keys, caller_records, random.Random(seed)
    )
    context = SoakContext(fleet, random.Random(seed))
    context.started_s = asyncio.get_running_loop().time()
    monitor = RevisionMonitor(fleet)
    shape = LoadShape(
        excess_factor=EXCESS_FACTOR, poison=True, late_fraction=LATE_FRACTION
    )
    arrivals = generate_arrivals(
        fleet.deployment.objects,
        shape,
        RATE_PER_S,
        seconds,
        random.Random(seed),
    )
    background = [
        asyncio.create_task(monitor.run()),
        asyncio.create_task(_restart_crashed_targets(context)),
        asyncio.create_task(
            _print_progress(caller_records, seconds, quiet=quiet)
        ),
    ]
    await asyncio.gather(load.run(arrivals), _inject_faults(context, seconds))
    await load.finish()
    for task in background:
        task.cancel()
    outcomes = await asyncio.gather(*background, return_exceptions=True)
    failures = [
        outcome for outcome in outcomes if isinstance(outcome, Exception)
    ]
    if failures:
        raise failures[0]
    return _summarize(fleet, caller_records, context, monitor)


def _summarize(
    fleet: LocalFleet,
    caller_records: CallerRecords,
    context: SoakContext,
    monitor: RevisionMonitor,
) -> dict[str, Any]:
    promises = count_breaches(
        RunObservations(
            fleet.deployment.objects,
            caller_records,
            fleet.target_records,
            frozenset(context.stopped_entries),
            monitor.reverted,
            fleet.breaches,
        )
    )
    codes: dict[str, int] = {}
    for call in caller_records.calls:
        codes[str(call.code)] = codes.get(str(call.code), 0) + 1
    first_breach = next(
        (name for name, count in promises.items() if count), None
    )
    return {
        "first_breach": first_breach,
        "trace": context.trace if first_breach is not None else [],
        "faults": len(context.trace),
        "promises": promises,
        "calls_by_code": dict(sorted(codes.items())),
        "latency_ms": caller_records.latency_ms(),
        "worst_account_served_ratio": round(
            caller_records.lowest_success_ratio(), 4
        ),
    }


async def _inject_faults(context: SoakContext, seconds: float) -> None:
    """Inject faults at random times; keep the end free for recovery."""
    tasks: list[asyncio.Future[None]] = []
    names = sorted(SOAK_FAULTS)
    loop = asyncio.get_running_loop()
    while loop.time() - context.started_s < seconds * FAULT_PHASE_FRACTION:
        await asyncio.sleep(context.rng.expovariate(1 / FAULT_INTERVAL_S))
        fault = SOAK_FAULTS[context.rng.choice(names)]
        for _ in range(context.rng.choice((1, 1, 2))):
            tasks.append(asyncio.ensure_future(fault(context)))
    await asyncio.gather(*tasks)


async def _restart_crashed_targets(context: SoakContext) -> None:
    """Restart targets that a poison request has crashed."""
    while True:
        await asyncio.sleep(1.0)
        for index, target in enumerate(context.fleet.targets):
            if (
                not target.is_alive
                and f"target-{index}" not in context.reserved
            ):
                await target.start()


async def _print_progress(
    caller_records: CallerRecords, seconds: float, *, quiet: bool
) -> None:
    elapsed_s = 0.0
    while not quiet:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        elapsed_s += PROGRESS_INTERVAL_S
        print(
            f"{elapsed_s:.0f} of {seconds:.0f} s,"
            f" {len(caller_records.calls)} calls",
            file=sys.stderr,
        )
