"""Play seeds: python -m tests.soak --seeds 50 --jobs 3."""

import argparse
import asyncio
import logging
from pathlib import Path
import shutil
import sys
import tempfile
import time
from typing import Final

from tests.soak._soak import Soak
from wigeonford.events import configure_logging

FAULTS_S: Final = 15.0
MAX_PRINTED: Final = 20
SAVED_LOGS: Final = Path("target/soak")
"""Where the logs of seeds with findings are copied."""


async def run_seed(
    seed: int, faults_s: float, scale: int = 1
) -> tuple[list[str], str]:
    """Run one seed; return its findings and a summary of the traffic.

    The logs are kept only if there are findings.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        soak = Soak(seed, folder, scale)
        findings = await soak.run(seed, faults_s)
        if findings:
            saved_logs = SAVED_LOGS / str(seed)
            shutil.rmtree(saved_logs, ignore_errors=True)
            shutil.copytree(folder, saved_logs)
        return findings, soak.observations.summary()
    finally:
        shutil.rmtree(folder)


async def _run_seeds(
    seeds: list[int], jobs: int, faults_s: float, scale: int
) -> int:
    """Run seeds, `jobs` at a time; return how many had findings."""
    slots = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> bool:
        async with slots:
            findings, summary = await run_seed(seed, faults_s, scale)
        print(f"seed {seed}: {len(findings)} findings; {summary}", flush=True)
        for finding in findings[:MAX_PRINTED]:
            print(f"  {finding}", flush=True)
        return bool(findings)

    return sum(await asyncio.gather(*map(run_one, seeds)))


def main() -> int:
    """Run the seeds of the command line; return 1 if any has findings."""
    parser = argparse.ArgumentParser("tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument("--seeds", type=int, default=0, help="fresh ones")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=FAULTS_S)
    parser.add_argument("--scale", type=int, default=1, help="of the callers")
    args = parser.parse_args()
    configure_logging(sys.stderr, logging.ERROR)
    first = int(time.time())
    seeds = [*args.seed, *range(first, first + args.seeds)]
    failed = asyncio.run(
        _run_seeds(seeds, args.jobs, args.seconds, args.scale)
    )
    print(f"{len(seeds)} seeds, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
