"""Virtual time and a simulated network for the limits bench."""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any, Final

CONTROL_NODE: Final = -1
"""The node number of the control replica; entry VMs count from 0."""

CROSS_ZONE_DELAY_S: Final = 0.0015
CROSS_REGION_DELAY_S: Final = 0.055
SAME_ZONE_DELAY_S: Final = 0.0002
VMS_PER_ZONE: Final = 2
ZONES_PER_REGION: Final = 2


class EventScheduler:
    """Run callbacks in order of their virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sequence = itertools.count()

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a callback after a delay."""
        due_s = self.now_s + delay_s
        heapq.heappush(
            self._heap, (due_s, next(self._sequence), callback, args)
        )

    def run(self, until_s: float) -> None:
        """Run every callback that is due before `until_s`."""
        while self._heap and self._heap[0][0] < until_s:
            self.now_s, _, callback, args = heapq.heappop(self._heap)
            callback(*args)


class Network:
    """Deliver messages among entry VMs and the control replica."""

    def __init__(
        self, scheduler: EventScheduler, entry_count: int, rng: random.Random
    ) -> None:
        self.scheduler = scheduler
        self.rng = rng
        self.entry_count = entry_count
        self.messages_sent = 0
        self.crashed: set[int] = set()
        self.partitioned: set[int] = set()

    def send(
        self, src: int, dst: int, callback: Callable[..., None], *args: Any
    ) -> None:
        """Run a callback at `dst` unless the message is lost.

        A message is lost if, after its delay, either node is partitioned
        or `dst` has crashed.
        """
        if src == dst:
            self.scheduler.call_later(0.0, callback, *args)
            return
        self.messages_sent += 1
        delay_s = _one_way_delay_s(src, dst) * self.rng.uniform(1.0, 1.2)
        self.scheduler.call_later(
            delay_s, self._deliver, src, dst, callback, args
        )

    def _deliver(
        self, src: int, dst: int, callback: Callable[..., None], args: Any
    ) -> None:
        lost = (
            src in self.partitioned
            or dst in self.partitioned
            or dst in self.crashed
        )
        if not lost:
            callback(*args)

    def next_live(self, entry: int) -> int:
        """Return `entry`, or the next entry VM if it has crashed."""
        while entry in self.crashed:
            entry = (entry + 1) % self.entry_count
        return entry


def _one_way_delay_s(src: int, dst: int) -> float:
    """Return the one-way delay; control is in the first VM's zone."""
    zones = [max(0, node) // VMS_PER_ZONE for node in (src, dst)]
    regions = [zone // ZONES_PER_REGION for zone in zones]
    if regions[0] != regions[1]:
        return CROSS_REGION_DELAY_S
    return SAME_ZONE_DELAY_S if zones[0] == zones[1] else CROSS_ZONE_DELAY_S
