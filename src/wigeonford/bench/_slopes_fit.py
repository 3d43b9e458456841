"""Series of measurements and a straight line fitted to each."""

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
    """Hold the value measured at each size; the name ends in the unit."""

    name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Fit:
    """Hold a least-squares line and its residual.

    `residual` is the root mean square of the distances, as a fraction of
    the mean value.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(series: Series) -> Fit:
    """Fit a line to a series of at least `MIN_SIZES` sizes."""
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
        self._points: dict[str, list[tuple[float, float]]] = {}

    def add(self, size: float, **values: float) -> None:
        """Record values at one size; their names end in the unit."""
        for name, value in values.items():
            self._points.setdefault(name, []).append((size, value))

    def series(self, quantity: str) -> Iterator[Series]:
        """Yield each series as `quantity.name`.

        `quantity` says what the sizes count, such as "client_block".
        """
        for name, points in self._points.items():
            sizes, values = zip(*points, strict=True)
            yield Series(f"{quantity}.{name}", sizes, values)


def min_cpu_ms(function: Callable[[], Any], repeat: int = 3) -> float:
    """Return the least CPU time of `repeat` runs."""
    times_s = []
    for _ in range(repeat):
        started_s = time.process_time()
        function()
        times_s.append(time.process_time() - started_s)
    return min(times_s) * 1e3


def retained_bytes(factory: Callable[[], T]) -> float:
    """Return the traced memory that the result of `factory` retains."""
    gc.collect()
    tracemalloc.start()
    try:
        retained = factory()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del retained
    finally:
        tracemalloc.stop()
    return float(size)
