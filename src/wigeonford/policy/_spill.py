"""Which regions may take a request that finds no capacity at home."""

from collections.abc import Iterable
from typing import Final

import msgspec

HOLD_OFF_S: Final = 0.5
MAX_HOLD_OFF_S: Final = 4.0
FIRST_WINDOW: Final = 4.0
MAX_WINDOW: Final = 256.0
LEAST_FREE_PART: Final = 0.1


class _Window(msgspec.Struct):
    """Bound what is under way to one region for one service."""

    size: float = FIRST_WINDOW
    in_flight: int = 0
    refused_in_a_row: int = 0
    closed_until_s: float = float("-inf")


class SpillWindows:
    """Choose regions by what they took and refused before.

    A window grows by each request that a region took and halves with each
    refusal, which also closes it for a while. So a region that has nothing
    free is asked seldom, whatever befell another one.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def choose(
        self, service: str, regions: Iterable[str], now_s: float
    ) -> str | None:
        """Return the region with the most room, or None."""
        open_ones = [
            region
            for region in regions
            if self._room(region, service, now_s) >= 1.0
        ]
        return max(
            open_ones,
            key=lambda region: (self._room(region, service, now_s), region),
            default=None,
        )

    def begin(self, region: str, service: str) -> None:
        """Count a request that goes to a region."""
        self._window(region, service).in_flight += 1

    def end(
        self, region: str, service: str, *, taken: bool, now_s: float
    ) -> None:
        """Note whether the region took the request."""
        window = self._window(region, service)
        assert window.in_flight > 0, "a request ends once"
        window.in_flight -= 1
        if taken:
            window.refused_in_a_row = 0
            window.size = min(MAX_WINDOW, window.size + 1.0 / window.size)
            return
        hold_off_s = HOLD_OFF_S * 2.0**window.refused_in_a_row
        window.refused_in_a_row = min(window.refused_in_a_row + 1, 10)
        window.size = max(1.0, window.size / 2)
        window.closed_until_s = now_s + min(hold_off_s, MAX_HOLD_OFF_S)

    def retry_after_s(
        self, service: str, regions: Iterable[str], now_s: float
    ) -> float:
        """Return when a region may be asked again; 0 if there is none."""
        waits = (
            self._window(region, service).closed_until_s - now_s
            for region in regions
        )
        return max(0.0, min(waits, default=0.0))

    def _window(self, region: str, service: str) -> _Window:
        return self._windows.setdefault((region, service), _Window())

    def _room(self, region: str, service: str, now_s: float) -> float:
        window = self._window(region, service)
        if now_s < window.closed_until_s:
            return 0.0
        return window.size - window.in_flight


def admits_remote(slots: int, in_flight: int, headroom: float) -> bool:
    """Tell whether a region may take one more request from another.

    Besides its headroom a region keeps a part free for its own callers.
    """
    kept = max(headroom, LEAST_FREE_PART)
    return in_flight + 1 <= slots * (1.0 - kept)
