"""Series of measurements and the straight line through each."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
import gc
import statistics
import time
import tracemalloc
from typing import Any, Final, TypeVar

T = TypeVar("T")

MIN_SIZES: Final = 4


@dataclass(frozen=True, slots=True)
class Series:
    """Hold what was measured at each size, in the unit of its name."""

    name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Fit:
    """Hold a least-squares line and its residual.

    `residual` is the root of the mean squared distance, as a part of the
    mean value.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(series: Series) -> Fit:
    """Return the line through a series of four sizes or more."""
    assert len(series.sizes) >= MIN_SIZES, f"{series.name}: too few sizes"
    line = statistics.linear_regression(series.sizes, series.values)
    squares = [
        (value - line.slope * size - line.intercept) ** 2
        for size, value in zip(series.sizes, series.values, strict=True)
    ]
    mean = statistics.fmean(series.values)
    distance = statistics.fmean(squares) ** 0.5
    residual = distance / abs(mean) if mean else 0.0
    return Fit(line.slope, line.intercept, residual)


class Collector:
    """Collect values by name and size, then yield one series for each."""

    def __init__(self) -> None:
        self._found: dict[str, list[tuple[float, float]]] = {}

    def add(self, size: float, **values: float) -> None:
        """Record values, named with their units, at one size."""
        for name, value in values.items():
            self._found.setdefault(name, []).append((size, value))

    def series(self, per: str) -> Iterator[Series]:
        """Yield the series, each named after what its size counts."""
        for name, points in self._found.items():
            sizes, values = zip(*points, strict=True)
            yield Series(f"{per}.{name}", sizes, values)


def processor_ms(work: Callable[[], Any], repeat: int = 3) -> float:
    """Return the least processor time of a few runs."""
    times_s = []
    for _ in range(repeat):
        began_s = time.process_time()
        work()
        times_s.append(time.process_time() - began_s)
    return min(times_s) * 1e3


def held_bytes(make: Callable[[], T]) -> float:
    """Return the bytes that stay allocated by what `make` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return float(size)
