"""Measure how what a node spends grows, on the program's own objects."""

import argparse
import random
import time
from typing import Any, Final

from wigeonford.bench._report import Report
from wigeonford.bench._slopes_fit import fit_line, Series
from wigeonford.bench._slopes_live import (
    measure_endpoint,
    measure_zone,
)
from wigeonford.bench._slopes_measures import MEASURES

LIVE: Final = (measure_zone, measure_endpoint)


async def run(args: argparse.Namespace) -> Report:
    """Run every measure; the report holds a fit for each series."""
    rng = random.Random(args.seed)
    began_s = time.monotonic()
    data: dict[str, Any] = {"seed": args.seed}
    for function in MEASURES.values():
        for series in function(rng):
            data[series.name] = _describe(series)
    for live in LIVE:
        async for series in live(rng):
            data[series.name] = _describe(series)
    data["duration_s"] = round(time.monotonic() - began_s, 1)
    return Report(data, True)


def _describe(series: Series) -> dict[str, Any]:
    fit = fit_line(series)
    return {
        "sizes": list(series.sizes),
        "values": [float(f"{value:.5g}") for value in series.values],
        "slope": float(f"{fit.slope:.5g}"),
        "intercept": float(f"{fit.intercept:.5g}"),
        "residual": float(f"{fit.residual:.3g}"),
    }
