"""The control bench: changes and claims during faults of replicas."""

import argparse
import asyncio
from collections.abc import Iterable
import logging
from pathlib import Path
import random
import tempfile
import time
from typing import Any, Final

from wigeonford.bench._control_cluster import ControlCluster
from wigeonford.bench._control_faults import FaultDriver
from wigeonford.bench._control_load import (
    CONCURRENT_RACES,
    ControlLoad,
    OPERATORS,
)
from wigeonford.bench._control_records import (
    compute_percentiles,
    ControlRecords,
    count_double_applied,
    count_lost_changes,
)
from wigeonford.bench._report import Report
from wigeonford.events import configure_logging, EventLog

CONVERGENCE_TIMEOUT_S: Final = 30.0
CONVERGENCE_POLL_S: Final = 0.05
MUST_BE_ZERO: Final = (
    "lost",
    "reverted",
    "double_applied",
    "claims_run_twice",
)


async def run(args: argparse.Namespace) -> Report:
    """Run load and faults on a cluster for `args.seconds`.

    Report changes lost or applied twice and claims granted twice.
    """
    configure_logging(level=logging.CRITICAL)
    rng = random.Random(args.seed)
    records = ControlRecords()
    with tempfile.TemporaryDirectory() as folder:
        cluster = ControlCluster(Path(folder), EventLog())
        await cluster.start()
        load = ControlLoad(cluster, records, random.Random(rng.random()))
        faults = FaultDriver(cluster, records, random.Random(rng.random()))
        try:
            await _run_load_and_faults(load, faults, args.seconds)
            await _wait_until_converged(cluster)
            history = await load.client().history()
            digests = {
                daemon.replica.state.config.digest
                for daemon in cluster.controls.values()
            }
        finally:
            await cluster.stop()
    data = _make_report_data(args, records, history, len(digests))
    passed = not any(data[name] for name in MUST_BE_ZERO)
    return Report(data, passed and data["settled_states"] == 1)


async def _run_load_and_faults(
    load: ControlLoad, faults: FaultDriver, seconds: float
) -> None:
    load_tasks = [
        asyncio.create_task(coroutine)
        for coroutine in (
            *(load.run_operator() for _ in range(OPERATORS)),
            *(load.run_claim_races() for _ in range(CONCURRENT_RACES)),
            load.run_key_withdrawal(seconds / 2),
        )
    ]
    propagation_task = asyncio.create_task(load.measure_propagation())
    fault_task = asyncio.create_task(faults.run())
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    fault_task.cancel()
    await asyncio.gather(fault_task, return_exceptions=True)
    await faults.finish()
    for task in load_tasks:
        task.cancel()
    outcomes = await asyncio.gather(*load_tasks, return_exceptions=True)
    _raise_first(outcomes)
    assert time.monotonic() - started_s >= seconds, (
        "the load ran for the requested time"
    )
    await asyncio.sleep(2.0)
    propagation_task.cancel()
    _raise_first(
        await asyncio.gather(propagation_task, return_exceptions=True)
    )


def _raise_first(outcomes: Iterable[object]) -> None:
    for outcome in outcomes:
        if isinstance(outcome, Exception):
            raise outcome


async def _wait_until_converged(cluster: ControlCluster) -> None:
    """Wait until all replicas are voters with the same committed log."""
    async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
        while not _has_converged(cluster):
            await asyncio.sleep(CONVERGENCE_POLL_S)


def _has_converged(cluster: ControlCluster) -> bool:
    statuses = [d.replica.describe() for d in cluster.controls.values()]
    return (
        len({status.last_position for status in statuses}) == 1
        and all(
            status.commit_position == status.last_position
            for status in statuses
        )
        and all(r.voter for status in statuses for r in status.replicas)
        and any(status.role == "leader" for status in statuses)
    )


def _make_report_data(
    args: argparse.Namespace,
    records: ControlRecords,
    history: list[dict[str, Any]],
    settled_states: int,
) -> dict[str, Any]:
    return {
        "seed": args.seed,
        "seconds": args.seconds,
        "accepted": len(records.accepted),
        "lost": count_lost_changes(records, history),
        "reverted": records.stale_reads + records.entry_reverts,
        "double_applied": count_double_applied(records, history),
        "claims": len(records.claimants),
        "claims_run_twice": records.count_claims_run_twice(),
        "withdrawn_key_served_after_s": round(records.withdrawn_served_s, 3),
        "in_force_s": compute_percentiles(records.in_force_s),
        "not_in_force": len(records.accepted_at_s),
        "changes_per_s": round(len(records.accepted) / args.seconds, 1),
        "unknown": records.unknown,
        "refused": dict(records.refused),
        "faults": dict(records.faults),
        "settled_states": settled_states,
    }
