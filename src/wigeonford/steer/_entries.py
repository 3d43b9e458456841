"""Choose among the entry VMs that run: pure."""

from collections.abc import Callable, Collection, Iterable, Mapping
import random
from typing import Final

from wigeonford.messages.steering import EntryStatus, Reach

LOOKUP_TTL_S: Final = 1.0
"""How long callers cache a look-up."""
MAX_LOOKUP_AGE_S: Final = 3 * LOOKUP_TTL_S
"""How long the slowest callers cache it; the users say three times as long."""
MAX_ADDRESSES: Final = 64
"""Callers use at most so many addresses of a look-up."""
IN_FLIGHT_PER_STEP: Final = 8.0
"""Requests in flight at a VM that weigh as much as a way to another region."""
SAME_REGION_COST: Final = 0.0
SAME_ZONE_COST: Final = 0.5
"""A zone's VMs lose their links together more often than others do."""
OTHER_REGION_COST: Final = 1.0
TRIED_ZONE_COST: Final = 4.0
COUNT_INTERVAL_S: Final = 1.0
"""Entry VMs start and stop about once a second at most."""


def select_entries(
    entries: Collection[EntryStatus], region: str, zone: str
) -> list[EntryStatus]:
    """Return the entry VMs that a caller should use.

    These are the ready ones of its zone, or else of its region, or else all.
    Callers choose among them at random, and a longer path costs them time.
    VMs whose links to targets are cut are left out while others are ready;
    one that lost all targets may share that with the others, and stays.
    """
    ready = [status for status in entries if status.is_ready]
    ready = [
        status for status in ready if status.reach is not Reach.CUT
    ] or ready
    nearby = [entry for entry in ready if entry.availability_zone == zone]
    nearby = nearby or [entry for entry in ready if entry.region == region]
    return (nearby or ready)[:MAX_ADDRESSES]


def rank_relays(
    entries: Iterable[EntryStatus],
    own: EntryStatus,
    regions: Collection[str] | None,
    tried: Collection[str],
    in_flight: Callable[[str], int],
    rng: random.Random,
) -> list[EntryStatus]:
    """Return the entry VMs that may send a request, the best one first.

    These are ready, reach targets and are in one of `regions`, if given. Those
    of the region come first, other zones before the own one, until they have
    much to do for this VM. Zones in which some were `tried` in vain come
    last.
    """
    by_name = {entry.name: entry for entry in entries}
    tried_zones = {
        by_name[name].availability_zone for name in tried if name in by_name
    }

    def cost(entry: EntryStatus) -> tuple[float, float]:
        if entry.availability_zone == own.availability_zone:
            distance = SAME_ZONE_COST
        elif entry.region == own.region:
            distance = SAME_REGION_COST
        else:
            distance = OTHER_REGION_COST
        if entry.availability_zone in tried_zones:
            distance += TRIED_ZONE_COST
        load = in_flight(entry.name) / IN_FLIGHT_PER_STEP
        return distance + load, rng.random()

    usable = (
        entry
        for entry in by_name.values()
        if entry.name != own.name
        and entry.name not in tried
        and entry.relay_address
        and entry.is_ready
        and entry.reach is Reach.DIRECT
        and (regions is None or entry.region in regions)
    )
    return sorted(usable, key=cost)


class Neighbours:
    """Count the entry VMs of the own region at intervals."""

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        entries: Callable[[], Mapping[str, EntryStatus]],
        clock: Callable[[], float],
    ) -> None:
        self._status = status
        self._entries = entries
        self._clock = clock
        self._count = 1
        self._until_s = float("-inf")

    def count(self) -> int:
        """Return how many run in the region, this VM included."""
        now_s = self._clock()
        if now_s >= self._until_s:
            region = self._status().region
            count = sum(
                status.region == region for status in self._entries().values()
            )
            self._count = max(1, count)
            self._until_s = now_s + COUNT_INTERVAL_S
        return self._count
