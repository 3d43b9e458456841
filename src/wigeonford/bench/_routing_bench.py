"""The routing bench: run a deployment under load and one fault."""

import argparse
import asyncio
import dataclasses
from dataclasses import dataclass
import gc
import logging
from pathlib import Path
import random
import tempfile
import time
from typing import Any, Final
import uuid

from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._report import Report
from wigeonford.bench._routing_baseline import BaselineFleet
from wigeonford.bench._routing_faults import Fault, FaultContext, FAULTS, Fleet
from wigeonford.bench._routing_invariants import (
    count_breaches,
    RunObservations,
)
from wigeonford.bench._routing_load import (
    Arrival,
    generate_arrivals,
    OpenLoopLoad,
)
from wigeonford.bench._routing_probes import (
    LoopLagMonitor,
    measure_added_latency_ms,
    RevisionMonitor,
)
from wigeonford.bench._routing_records import CallerRecords
from wigeonford.bench._settings import (
    Deployment,
    load_deployment,
    StandIns,
)
from wigeonford.cli._operator import OperatorClient
from wigeonford.events import configure_logging, EventLog
from wigeonford.model import ObjectSet

ALL_FAULTS: Final = "all"
RATE_PER_S: Final = 40.0
WARM_UP_S: Final = 2.0
WITHDRAWN_KEY_INTERVAL_S: Final = 0.25
WITHDRAWN_KEY_FIRST_NUMBER: Final = 1_000_000
READ_FRACTION: Final = 0.7


@dataclass(frozen=True, slots=True)
class RoutingPlan:
    """Define one run: deployment, fault, load and length."""

    deployment: str
    fault: str
    seed: int
    seconds: float
    rate_per_s: float = RATE_PER_S
    baseline: bool = True


async def run(args: argparse.Namespace) -> Report:
    """Run one fault, or all of them in sequence.

    A run fails if an invariant was breached or an arrival was not sent.
    """
    names = list(FAULTS) if args.fault == ALL_FAULTS else [args.fault]
    reports = {
        name: await run_fault(
            RoutingPlan(
                args.deployment, name, args.seed, args.seconds, args.rate
            )
        )
        for name in names
    }
    if args.fault != ALL_FAULTS:
        return reports[args.fault]
    return Report(
        {name: report.data for name, report in reports.items()},
        all(report.passed for report in reports.values()),
    )


async def run_fault(plan: RoutingPlan) -> Report:
    """Run the system, then the baseline, under the same load and fault."""
    configure_logging(level=logging.CRITICAL)
    fault = FAULTS[plan.fault]
    duration_s = max(plan.seconds, fault.min_duration_s)
    plan = dataclasses.replace(plan, seconds=duration_s)
    deployment, service_time_factor = scale_service_times(plan, fault)
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(
            deployment,
            Path(folder),
            EventLog(),
            behind_links=fault.behind_links,
        )
        await fleet.start()
        try:
            data = await _run_system(plan, fault, fleet)
        finally:
            await fleet.stop()
    data = {
        "deployment": plan.deployment,
        "fault": plan.fault,
        "seed": plan.seed,
        "seconds": plan.seconds,
        "requests_per_s": plan.rate_per_s,
        "service_time_factor": round(service_time_factor, 2),
        **data,
    }
    if plan.baseline:
        data |= await _run_baseline(plan, fault, deployment, data)
    passed = not any(data["promises"].values()) and not data["not_sent"]
    return Report(data, passed)


def scale_service_times(
    plan: RoutingPlan, fault: Fault
) -> tuple[Deployment, float]:
    """Return the deployment with scaled service times, and the factor.

    One process cannot generate enough load for the targets' real capacity.
    If the fault sets a load fraction, the service times are scaled so that
    the load is this fraction of the read capacity.
    """
    deployment = load_deployment(plan.deployment)
    if fault.part is None:
        return deployment, 1.0
    service = next(iter(deployment.objects.services))
    capacity_per_s = sum(
        group.count * group.slots / group.latency_s
        for group in deployment.stand_ins.targets
        if group.service == service
    )
    excess = list(deployment.objects.client_accounts.values())[-1].rate_per_s
    extra_per_s = excess * fault.shape.excess_factor
    offered_per_s = READ_FRACTION * (plan.rate_per_s + extra_per_s)
    factor = capacity_per_s * fault.part / offered_per_s
    groups = tuple(
        dataclasses.replace(group, latency_s=group.latency_s * factor)
        for group in deployment.stand_ins.targets
    )
    return dataclasses.replace(deployment, stand_ins=StandIns(groups)), factor


async def _run_system(
    plan: RoutingPlan, fault: Fault, fleet: LocalFleet
) -> dict[str, Any]:
    added_ms = await measure_added_latency_ms(fleet)
    operator = fleet.operator_client()
    account = next(iter(fleet.keys))
    withdrawn_key = await operator.issue_key(uuid.uuid4().hex, account)
    revision_monitor = RevisionMonitor(fleet)
    monitor_task = asyncio.create_task(revision_monitor.run())
    caller_records, context, not_sent = await _run_load_and_fault(
        plan, fault, fleet, fleet.keys, operator, (account, withdrawn_key)
    )
    monitor_task.cancel()
    await asyncio.gather(monitor_task, return_exceptions=True)
    observations = RunObservations(
        fleet.deployment.objects,
        caller_records,
        fleet.target_records,
        frozenset(context.stopped_entries),
        revision_monitor.reverted,
        fleet.breaches,
    )
    return {
        "promises": count_breaches(observations),
        **_summarize(caller_records, fleet, context),
        "not_sent": not_sent,
        "added_latency_ms_p50": added_ms,
    }


def _summarize(
    caller_records: CallerRecords, fleet: Fleet, context: FaultContext
) -> dict[str, Any]:
    codes: dict[str, int] = {}
    for call in caller_records.calls:
        codes[str(call.code)] = codes.get(str(call.code), 0) + 1
    return {
        "latency_ms": caller_records.latency_ms(),
        "calls_by_code": dict(sorted(codes.items())),
        "refused_within_rate": caller_records.count_refused_within_rate(),
        "worst_account_served_ratio": round(
            caller_records.lowest_success_ratio(), 4
        ),
        "drain_s": round(context.drain_s, 3),
        "headroom_min": round(fleet.target_records.headroom_min, 3),
        "target_over_slots": fleet.target_records.over_slots,
        "loop_lag_ms_p99": context.loop_lag_ms_p99,
        "targets_killed": fleet.target_records.poison_crashes,
    }


async def _run_baseline(
    plan: RoutingPlan,
    fault: Fault,
    deployment: Deployment,
    data: dict[str, Any],
) -> dict[str, Any]:
    fleet = BaselineFleet(
        deployment, behind_links=fault.behind_links, log=EventLog()
    )
    await fleet.start()
    try:
        keys = dict.fromkeys(deployment.objects.client_accounts, "none")
        caller_records, context, _ = await _run_load_and_fault(
            plan, fault, fleet, keys, None, None
        )
    finally:
        await fleet.stop()
    figures = _summarize(caller_records, fleet, context)
    latency_ratios = {
        kind: {
            name: round(
                percentiles[name] / figures["latency_ms"][kind][name], 3
            )
            for name in ("p50", "p99", "p99.9")
        }
        for kind, percentiles in data["latency_ms"].items()
        if kind in figures["latency_ms"]
    }
    return {"baseline": figures, "latency_ratio": latency_ratios}


async def _run_load_and_fault(
    plan: RoutingPlan,
    fault: Fault,
    fleet: Fleet,
    keys: dict[str, str],
    operator: OperatorClient | None,
    withdrawn_key: tuple[str, str] | None,
) -> tuple[CallerRecords, FaultContext, int]:
    """Warm up, then run the load and the fault concurrently.

    `withdrawn_key` is an account and the key to withdraw. Return the
    callers' records, the fault's context and the number of arrivals that
    were not sent.
    """
    objects = fleet.deployment.objects
    rng = random.Random(plan.seed)
    entries = tuple(fleet.entry_addresses().values())
    warm_up = OpenLoopLoad(
        entries, keys, CallerRecords(), random.Random(plan.seed)
    )
    warm_up_rng = random.Random(plan.seed + 1)
    plain_shape = FAULTS["none"].shape
    await warm_up.run(
        dataclasses.replace(arrival, number=-arrival.number)
        for arrival in generate_arrivals(
            objects, plain_shape, plan.rate_per_s, WARM_UP_S, warm_up_rng
        )
    )
    caller_records = CallerRecords()
    load = OpenLoopLoad(
        entries, keys, caller_records, random.Random(plan.seed)
    )
    context = FaultContext(
        fleet, operator, plan.seconds, random.Random(plan.seed)
    )
    arrivals = generate_arrivals(
        objects, fault.shape, plan.rate_per_s, plan.seconds, rng
    )
    coroutines = [load.run(arrivals), fault.inject(context)]
    if operator is not None and withdrawn_key is not None:
        coroutines.append(
            _withdraw_key(
                plan, objects, load, caller_records, operator, withdrawn_key
            )
        )
    # This process holds the objects of dozens of daemons; a full garbage
    # collection of all of them would add latency to requests.
    gc.collect()
    gc.freeze()
    lag_monitor = LoopLagMonitor()
    lag_task = asyncio.create_task(lag_monitor.run())
    await asyncio.gather(*coroutines)
    await load.finish()
    lag_task.cancel()
    gc.unfreeze()
    context.loop_lag_ms_p99 = lag_monitor.p99_ms()
    return caller_records, context, load.not_sent


async def _withdraw_key(
    plan: RoutingPlan,
    objects: ObjectSet,
    load: OpenLoopLoad,
    caller_records: CallerRecords,
    operator: OperatorClient,
    withdrawn_key: tuple[str, str],
) -> None:
    """Withdraw a key after 1 s; send requests with it until the run ends."""
    account, key = withdrawn_key
    service = next(iter(objects.services))
    started_s = time.monotonic()
    number = WITHDRAWN_KEY_FIRST_NUMBER
    while (elapsed_s := time.monotonic() - started_s) < plan.seconds:
        if elapsed_s > 1.0 and caller_records.key_withdrawn_at_s == float(
            "inf"
        ):
            await operator.withdraw_key(uuid.uuid4().hex, key.split("_")[1])
            caller_records.key_withdrawn_at_s = time.monotonic()
        load.send(
            _make_withdrawn_key_read(service, account, key, number),
            time.monotonic(),
        )
        number += 1
        await asyncio.sleep(WITHDRAWN_KEY_INTERVAL_S)


def _make_withdrawn_key_read(
    service: str, account: str, key: str, number: int
) -> Arrival:
    return Arrival(
        at_s=0.0,
        number=number,
        account=account,
        region=1,
        zone=1,
        service=service,
        method="GET",
        path=f"/{service}/items/{number}",
        measured=False,
        key=key,
    )
