"""Stand-in targets and callers, load and benches on loopback."""

from wigeonford.bench._demo import run_demo
from wigeonford.bench._fleet import find_free_address, LocalFleet
from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.bench._report import Report
from wigeonford.bench._settings import (
    BENCH_SECRETS,
    Deployment,
    load_deployment,
)

__all__ = [
    "BENCH_SECRETS",
    "Deployment",
    "LinkState",
    "LocalFleet",
    "Report",
    "StandInLink",
    "find_free_address",
    "load_deployment",
    "run_demo",
]
