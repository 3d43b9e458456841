"""Stand-ins, load and experiments on loopback."""

from wigeonford.bench._demo import DemoReport, run_demo
from wigeonford.bench._fleet import LocalFleet
from wigeonford.bench._settings import Deployment, load_deployment

__all__ = [
    "Deployment",
    "DemoReport",
    "LocalFleet",
    "load_deployment",
    "run_demo",
]
