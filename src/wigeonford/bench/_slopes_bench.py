"""Measure how a node's memory, CPU time and bytes sent grow with scale."""

import argparse
import random
import time
from typing import Any, Final

from wigeonford.bench._report import Report
from wigeonford.bench._slopes_fit import fit_line, Series
from wigeonford.bench._slopes_live import (
    measure_lookups,
    measure_relay,
)
from wigeonford.bench._slopes_measures import MEASURES

LIVE_MEASURES: Final = (measure_relay, measure_lookups)


async def run(args: argparse.Namespace) -> Report:
    """Run every measure; report each series with a fitted line."""
    rng = random.Random(args.seed)
    started_s = time.monotonic()
    data: dict[str, Any] = {"seed": args.seed}
    for measure in MEASURES.values():
        for series in measure(rng):
            data[series.name] = _series_report(series)
    for live_measure in LIVE_MEASURES:
        async for series in live_measure(rng):
            data[series.name] = _series_report(series)
    data["duration_s"] = round(time.monotonic() - started_s, 1)
    return Report(data, True)


def _series_report(series: Series) -> dict[str, Any]:
    fit = fit_line(series)
    return {
        "sizes": list(series.sizes),
        "values": [float(f"{value:.5g}") for value in series.values],
        "slope": float(f"{fit.slope:.5g}"),
        "intercept": float(f"{fit.intercept:.5g}"),
        "residual": float(f"{fit.residual:.3g}"),
    }
