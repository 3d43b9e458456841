"""Choice of a region for requests without capacity in their own."""

from collections.abc import Iterable
from typing import Final

import msgspec

HOLD_OFF_S: Final = 0.5
MAX_HOLD_OFF_S: Final = 4.0
FIRST_WINDOW: Final = 4.0
MAX_WINDOW: Final = 256.0
MIN_FREE_FRACTION: Final = 0.1


class _Window(msgspec.Struct):
    """Bound the requests in flight to one region for one service."""

    size: float = FIRST_WINDOW
    in_flight: int = 0
    consecutive_rejections: int = 0
    closed_until_s: float = float("-inf")


class SpillWindows:
    """Choose regions by whether they accepted or rejected requests.

    A window grows with each request that a region accepts and halves with
    each rejection, which also closes it for a while. So a region without free
    capacity gets few requests, independently of other regions.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def choose(
        self, service: str, regions: Iterable[str], now_s: float
    ) -> str | None:
        """Return the region with the most headroom in its window, or None."""
        open_regions = [
            region
            for region in regions
            if self._window_headroom(region, service, now_s) >= 1.0
        ]
        return max(
            open_regions,
            key=lambda region: (
                self._window_headroom(region, service, now_s),
                region,
            ),
            default=None,
        )

    def begin(self, region: str, service: str) -> None:
        """Count a request that is sent to a region."""
        self._window(region, service).in_flight += 1

    def end(
        self, region: str, service: str, *, accepted: bool, now_s: float
    ) -> None:
        """Record whether the region accepted a request."""
        window = self._window(region, service)
        assert window.in_flight > 0, "end() was called more often than begin()"
        window.in_flight -= 1
        if accepted:
            window.consecutive_rejections = 0
            window.size = min(MAX_WINDOW, window.size + 1.0 / window.size)
            return
        hold_off_s = HOLD_OFF_S * 2.0**window.consecutive_rejections
        window.consecutive_rejections = min(
            window.consecutive_rejections + 1, 10
        )
        window.size = max(1.0, window.size / 2)
        window.closed_until_s = now_s + min(hold_off_s, MAX_HOLD_OFF_S)

    def retry_after_s(
        self, service: str, regions: Iterable[str], now_s: float
    ) -> float:
        """Return the time until a window reopens; 0 if one is open."""
        waits = (
            self._window(region, service).closed_until_s - now_s
            for region in regions
        )
        return max(0.0, min(waits, default=0.0))

    def _window(self, region: str, service: str) -> _Window:
        return self._windows.setdefault((region, service), _Window())

    def _window_headroom(
        self, region: str, service: str, now_s: float
    ) -> float:
        window = self._window(region, service)
        if now_s < window.closed_until_s:
            return 0.0
        return window.size - window.in_flight


def admits_remote(slots: int, in_flight: int, headroom: float) -> bool:
    """Return whether a region may accept one more request from another.

    For its own callers, a region keeps its headroom free, and at least
    `MIN_FREE_FRACTION` of its slots.
    """
    kept = max(headroom, MIN_FREE_FRACTION)
    return in_flight + 1 <= slots * (1.0 - kept)
