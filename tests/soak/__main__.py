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

from tests.soak._world import World
from wigeonford.events import configure_logging

FAULTS_S: Final = 15.0
LOGS: Final = Path("target/soak")
"""Where logs of seeds with findings stay."""


async def play_seed(seed: int, faults_s: float) -> tuple[list[str], str]:
    """Return the findings of a seed and how much was asked of the system.

    The logs stay if there are findings.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        world = World(seed, folder)
        findings = await world.play(seed, faults_s)
        if findings:
            kept = LOGS / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
        return findings, world.ledger.summary()
    finally:
        shutil.rmtree(folder)


async def _play_all(seeds: list[int], jobs: int, faults_s: float) -> int:
    """Play seeds, some at once; return how many had findings."""
    slots = asyncio.Semaphore(jobs)

    async def play(seed: int) -> bool:
        async with slots:
            findings, summary = await play_seed(seed, faults_s)
        print(f"seed {seed}: {len(findings)} findings; {summary}", flush=True)
        for finding in findings[:5]:
            print(f"  {finding}", flush=True)
        return bool(findings)

    return sum(await asyncio.gather(*map(play, seeds)))


def main() -> int:
    """Play seeds as the arguments say; return 1 if any has findings."""
    parser = argparse.ArgumentParser("tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument("--seeds", type=int, default=0, help="fresh ones")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=FAULTS_S)
    args = parser.parse_args()
    configure_logging(sys.stderr, logging.ERROR)
    first = int(time.time())
    seeds = [*args.seed, *range(first, first + args.seeds)]
    failed = asyncio.run(_play_all(seeds, args.jobs, args.seconds))
    print(f"{len(seeds)} seeds, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
