"""The control bench: changes and claims while replicas fail."""

import argparse
import asyncio
from collections.abc import Iterable
import logging
from pathlib import Path
import random
import tempfile
import time
from typing import Any, Final

from wigeonford.bench._control_books import (
    ControlBooks,
    double_applied,
    lost_changes,
    percentiles,
)
from wigeonford.bench._control_cluster import ControlCluster
from wigeonford.bench._control_faults import FaultDriver
from wigeonford.bench._control_load import CLAIM_RACES, ControlLoad, OPERATORS
from wigeonford.bench._report import Report
from wigeonford.events import configure_logging, EventLog

SETTLE_TIMEOUT_S: Final = 30.0
SETTLE_POLL_S: Final = 0.05
MUST_BE_ZERO: Final = (
    "lost",
    "reverted",
    "double_applied",
    "claims_run_twice",
)


async def run(args: argparse.Namespace) -> Report:
    """Break a cluster for `args.seconds` and report what was kept."""
    configure_logging(level=logging.CRITICAL)
    rng = random.Random(args.seed)
    books = ControlBooks()
    with tempfile.TemporaryDirectory() as folder:
        cluster = ControlCluster(Path(folder), EventLog())
        await cluster.start()
        load = ControlLoad(cluster, books, random.Random(rng.random()))
        faults = FaultDriver(cluster, books, random.Random(rng.random()))
        try:
            await _drive(load, faults, args.seconds)
            await _settle(cluster)
            history = await load.client().history()
            digests = {
                daemon.replica.state.config.digest
                for daemon in cluster.controls.values()
            }
        finally:
            await cluster.stop()
    data = _report(args, books, history, len(digests))
    passed = not any(data[name] for name in MUST_BE_ZERO)
    return Report(data, passed and data["settled_states"] == 1)


async def _drive(
    load: ControlLoad, faults: FaultDriver, seconds: float
) -> None:
    background = [
        asyncio.create_task(work)
        for work in (
            *(load.operate() for _ in range(OPERATORS)),
            *(load.claim() for _ in range(CLAIM_RACES)),
            load.withdraw(seconds / 2),
        )
    ]
    watcher = asyncio.create_task(load.watch())
    breaking = asyncio.create_task(faults.run())
    began_s = time.monotonic()
    await asyncio.sleep(seconds)
    breaking.cancel()
    await asyncio.gather(breaking, return_exceptions=True)
    await faults.finish()
    for task in background:
        task.cancel()
    outcomes = await asyncio.gather(*background, return_exceptions=True)
    _raise_first(outcomes)
    assert time.monotonic() - began_s >= seconds, "the whole time was used"
    await asyncio.sleep(2.0)
    watcher.cancel()
    _raise_first(await asyncio.gather(watcher, return_exceptions=True))


def _raise_first(outcomes: Iterable[object]) -> None:
    for outcome in outcomes:
        if isinstance(outcome, Exception):
            raise outcome


async def _settle(cluster: ControlCluster) -> None:
    """Wait until every replica is a voter and has applied the same."""
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        while not _is_settled(cluster):
            await asyncio.sleep(SETTLE_POLL_S)


def _is_settled(cluster: ControlCluster) -> bool:
    views = [d.replica.describe() for d in cluster.controls.values()]
    return (
        len({view.last_position for view in views}) == 1
        and all(view.commit_position == view.last_position for view in views)
        and all(r.voter for view in views for r in view.replicas)
        and any(view.role == "leader" for view in views)
    )


def _report(
    args: argparse.Namespace,
    books: ControlBooks,
    history: list[dict[str, Any]],
    settled_states: int,
) -> dict[str, Any]:
    return {
        "seed": args.seed,
        "seconds": args.seconds,
        "accepted": len(books.accepted),
        "lost": lost_changes(books, history),
        "reverted": books.stale_reads + books.entry_reverts,
        "double_applied": double_applied(books, history),
        "claims": len(books.claimants),
        "claims_run_twice": books.claims_run_twice(),
        "withdrawn_key_served_after_s": round(books.withdrawn_served_s, 3),
        "in_force_s": percentiles(books.in_force_s),
        "not_in_force": len(books.accepted_at_s),
        "changes_per_s": round(len(books.accepted) / args.seconds, 1),
        "unknown": books.unknown,
        "refused": dict(books.refused),
        "faults": dict(books.faults),
        "settled_states": settled_states,
    }
