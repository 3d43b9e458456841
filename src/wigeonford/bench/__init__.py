"""Stand-ins, load and experiments on loopback."""

from wigeonford.bench._demo import run_demo
from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.bench._report import Report
from wigeonford.bench._settings import Deployment, load_deployment

__all__ = [
    "Deployment",
    "LinkState",
    "LocalFleet",
    "Report",
    "StandInLink",
    "load_deployment",
    "run_demo",
]
