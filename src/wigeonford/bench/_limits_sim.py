"""Virtual time and links for the experiment with limits."""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any, Final

CONTROL: Final = -1
ZONE_DELAY_S: Final = 0.0015
REGION_DELAY_S: Final = 0.055
LOCAL_DELAY_S: Final = 0.0002
VMS_PER_ZONE: Final = 2
ZONES_PER_REGION: Final = 2


class Timeline:
    """Run functions in order of their virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()

    def after(
        self, delay_s: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function once a delay has passed."""
        at_s = self.now_s + delay_s
        heapq.heappush(self._heap, (at_s, next(self._numbers), function, args))

    def run(self, until_s: float) -> None:
        """Run everything that is due before a time."""
        while self._heap and self._heap[0][0] < until_s:
            self.now_s, _, function, args = heapq.heappop(self._heap)
            function(*args)


class Network:
    """Carry messages among entry VMs, numbered from 0, and control."""

    def __init__(self, line: Timeline, count: int, rng: random.Random) -> None:
        self.line = line
        self.rng = rng
        self.count = count
        self.messages = 0
        self.dead: set[int] = set()
        self.cut: set[int] = set()

    def send(
        self, src: int, dst: int, function: Callable[..., None], *args: Any
    ) -> None:
        """Call a function at the far end unless the message is lost."""
        if src == dst:
            self.line.after(0.0, function, *args)
            return
        self.messages += 1
        delay_s = _delay_s(src, dst) * self.rng.uniform(1.0, 1.2)
        self.line.after(delay_s, self._deliver, src, dst, function, args)

    def _deliver(
        self, src: int, dst: int, function: Callable[..., None], args: Any
    ) -> None:
        lost = src in self.cut or dst in self.cut or dst in self.dead
        if not lost:
            function(*args)

    def live(self, entry: int) -> int:
        """Return an entry VM, or the next one that is alive."""
        while entry in self.dead:
            entry = (entry + 1) % self.count
        return entry


def _delay_s(src: int, dst: int) -> float:
    """Return the delay one way; control is beside the first entry VM."""
    zones = [max(0, node) // VMS_PER_ZONE for node in (src, dst)]
    regions = [zone // ZONES_PER_REGION for zone in zones]
    if regions[0] != regions[1]:
        return REGION_DELAY_S
    return LOCAL_DELAY_S if zones[0] == zones[1] else ZONE_DELAY_S
