"""What an entry VM has seen of each target: load, failures, warmth."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping
import math
from typing import Final

import msgspec

from wigeonford.deployment import Announcement, Service

DOWN_S: Final = 0.4
"""First pause after a target could not be reached; doubles each time."""
MAX_DOWN_S: Final = 3.0
"""Targets come back from a crash within seconds."""
OTHERS_HALF_LIFE_S: Final = 1.5
"""How fast a reported load that is not this VM's loses its meaning; a few
times as long as a request runs."""
FAILED_MEMORY: Final = 0.8
"""Weight of what was before in a target's share of failures."""
GREY_SHARE: Final = 0.35
"""A share of failures that overload alone does not bring about."""
GREY_S: Final = 2.0
"""How long a failing target gets only trials."""
DURATION_MEMORY: Final = 0.8
"""Weight of what was before in a target's slowness."""
SLOW_RATIO: Final = 2.2
"""How much slower than its peers a target is no home any more; about what
a first touch takes against a later one, so that more is needed than some
objects forgotten."""
SLOW_S: Final = 4.0
"""How long a slow target is left out; disruptions last as long."""
MAX_LEAVING: Final = 4096
"""Incarnations remembered that said that they leave; more than a fleet of
the target size has at once."""
WARM_KEPT: Final = 16
"""Objects remembered for each target; targets remember some more."""


class TargetRecord(msgspec.Struct):
    """Hold what is known of one incarnation of a target.

    `slowness` is the ratio of its durations to those of its service.
    `is_leaving` is what it said itself in an answer; `is_over` says that
    another incarnation, or none, is announced now.
    """

    announced: Announcement
    region: str
    since_s: float
    in_flight: int = 0
    others: float = 0.0
    others_at_s: float = 0.0
    down_until_s: float = 0.0
    down_count: int = 0
    cold_until_s: float = 0.0
    failures: float = 0.0
    failed_at_s: float = float("-inf")
    paused_until_s: float = 0.0
    is_leaving: bool = False
    is_over: bool = False
    slowness: float = 1.0
    slow_until_s: float = 0.0
    warm: OrderedDict[str, None] = msgspec.field(default_factory=OrderedDict)

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announced.target_id

    @property
    def zone(self) -> str:
        """Return the target's availability zone."""
        return self.announced.availability_zone

    @property
    def takes_work(self) -> bool:
        """Tell whether the target may get requests at all."""
        said = self.announced
        return not (self.is_over or self.is_leaving or said.leaving)

    def load(self, now_s: float, unheard: float = 0.0) -> float:
        """Return how many requests the target is thought to hold.

        `unheard` are those of other entry VMs, until it has told its load.
        """
        if not self.others_at_s:
            return self.in_flight + unheard
        elapsed_s = now_s - self.others_at_s
        if self.others <= 0.0 or elapsed_s > 8 * OTHERS_HALF_LIFE_S:
            return float(self.in_flight)
        kept = math.pow(0.5, elapsed_s / OTHERS_HALF_LIFE_S)
        return self.in_flight + self.others * kept

    def report_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take over the load that an answer tells."""
        self.others = max(0.0, running + waiting - self.in_flight)
        self.others_at_s = now_s

    def is_down(self, now_s: float) -> bool:
        """Tell whether the target is left out after failing."""
        return now_s < self.down_until_s

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the target stands only few requests."""
        return now_s < self.cold_until_s

    def is_grey(self, now_s: float) -> bool:
        """Tell whether the target fails too often to be chosen first."""
        return self.failures > GREY_SHARE and now_s - self.failed_at_s < GREY_S

    def is_sound(self, now_s: float) -> bool:
        """Tell whether the target may be home to objects."""
        return not self.is_grey(now_s) and now_s >= self.slow_until_s

    def pause(self, pause_s: float, now_s: float) -> None:
        """Send nothing for a while, as the target has asked."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)

    def is_paused(self, now_s: float) -> bool:
        """Tell whether the target has asked for nothing at present."""
        return now_s < self.paused_until_s

    def mark_down(self, now_s: float, cold_s: float) -> float:
        """Leave the target out for a while; return for how long.

        Whatever answers there next may have just started, so it counts as
        cold until it has had the time to say so itself.
        """
        pause_s = min(DOWN_S * math.pow(2, self.down_count), MAX_DOWN_S)
        self.down_count = min(self.down_count + 1, 10)
        self.down_until_s = now_s + pause_s
        self.cold_until_s = max(self.cold_until_s, self.down_until_s + cold_s)
        return pause_s

    def mark_up(self, now_s: float, cold_s: float) -> bool:
        """Take note of an answer; tell whether the target had been down.

        One that was away long enough to start anew is cold until told
        otherwise.
        """
        if not self.down_count:
            return False
        self.down_count = 0
        self.down_until_s = 0.0
        self.cold_until_s = max(self.cold_until_s, now_s + cold_s)
        return True

    def record_result(self, failed: bool, now_s: float) -> None:
        """Count an attempt towards the share of failures."""
        self.failures *= FAILED_MEMORY
        if failed:
            self.failures += 1 - FAILED_MEMORY
            self.failed_at_s = now_s

    def record_ratio(self, ratio: float, now_s: float) -> bool:
        """Take note of how long an answer took, against its service.

        Tell whether the target has come to be far slower than its peers;
        it is tried again after a while.
        """
        kept = DURATION_MEMORY * self.slowness
        self.slowness = kept + (1 - DURATION_MEMORY) * min(ratio, 10.0)
        if self.slowness < SLOW_RATIO or now_s < self.slow_until_s:
            return False
        self.slow_until_s = now_s + SLOW_S
        self.slowness = 1.0
        return True

    def touch(self, thing: str) -> None:
        """Remember that the target has served an object."""
        self.warm[thing] = None
        self.warm.move_to_end(thing)
        if len(self.warm) > WARM_KEPT:
            self.warm.popitem(last=False)


class TargetBook:
    """Keep a record of each target that a view names.

    A change costs what it changes, however many targets there are.
    """

    def __init__(self) -> None:
        self._records: dict[str, TargetRecord] = {}
        self._by_service: dict[str, dict[str, TargetRecord]] = {}
        self._lists: dict[str, tuple[TargetRecord, ...]] = {}
        # Incarnations that have said in answers that they leave.
        self._leaving: dict[str, int] = {}
        self._taken_back: dict[str, int] = {}

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the record of a target."""
        return self._records.get(target_id)

    def __iter__(self) -> Iterator[TargetRecord]:
        return iter(self._records.values())

    def of_service(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service that are not leaving."""
        held = self._lists.get(service)
        if held is None:
            records = self._by_service.get(service, {})
            held = self._lists[service] = tuple(records.values())
        return held

    def follow(
        self,
        changed: Iterable[Announcement],
        removed: Iterable[str],
        regions: Mapping[str, str],
        now_s: float,
    ) -> list[str]:
        """Take over what a view has changed of the targets.

        Return the addresses at which another target, or none, is now.
        """
        left: list[str] = []
        for target_id in removed:
            record = self._records.pop(target_id, None)
            if record is not None:
                left.append(self._drop(record))
        for said in changed:
            held = self._records.get(said.target_id)
            if held is None or held.announced.born_ms != said.born_ms:
                if held is not None:
                    left.append(self._drop(held))
                self._add(said, regions, now_s)
            elif held.announced != said:
                self._update(held, said, now_s)
        return left

    def _drop(self, record: TargetRecord) -> str:
        """Let go of an incarnation that is over; return its address."""
        record.is_over = True
        self._unlist(record)
        return record.announced.address

    def _add(
        self,
        said: Announcement,
        regions: Mapping[str, str],
        now_s: float,
    ) -> None:
        region = regions.get(said.availability_zone, "")
        record = TargetRecord(said, region, now_s)
        record.cold_until_s = now_s + said.cold_s
        record.is_leaving = self._leaving.get(said.target_id) == said.born_ms
        self._records[said.target_id] = record
        self._list(record)

    def _update(
        self, record: TargetRecord, said: Announcement, now_s: float
    ) -> None:
        self._unlist(record)
        record.announced = said
        record.cold_until_s = now_s + said.cold_s
        # It speaks, so that it runs.
        record.down_until_s = min(record.down_until_s, now_s)
        self._list(record)

    def note_leaving(self, record: TargetRecord) -> None:
        """Send a target nothing more, as it has said that it leaves.

        That holds whatever is announced of it, until its next start. An
        answer that comes once another incarnation is announced is that
        one's: the one before had ended.
        """
        record = self._records.get(record.target_id, record)
        said = record.announced
        self._leaving[said.target_id] = said.born_ms
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        record.is_leaving = True
        self._unlist(record)

    def _list(self, record: TargetRecord) -> None:
        if record.takes_work:
            said = record.announced
            records = self._by_service.setdefault(said.service, {})
            records[said.target_id] = record
            self._lists.pop(said.service, None)

    def _unlist(self, record: TargetRecord) -> None:
        said = record.announced
        records = self._by_service.get(said.service, {})
        if records.get(said.target_id) is record:
            del records[said.target_id]
            self._lists.pop(said.service, None)

    def follow_evacuations(
        self,
        taken_back: Mapping[str, int],
        services: Mapping[str, Service],
        now_s: float,
    ) -> None:
        """Take targets of a zone that was just taken back for cold."""
        zones = {
            zone
            for zone, count in taken_back.items()
            if count != self._taken_back.get(zone, 0)
        }
        self._taken_back = dict(taken_back)
        for record in self._in_zones(zones):
            service = services.get(record.announced.service)
            if service is not None:
                until_s = now_s + service.cold_start_s
                record.cold_until_s = max(record.cold_until_s, until_s)

    def _in_zones(self, zones: Iterable[str]) -> Iterator[TargetRecord]:
        wanted = set(zones)
        return (record for record in self if record.zone in wanted)
