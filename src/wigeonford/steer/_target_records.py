"""What an entry VM knows of each target: load, failures, warm objects."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping
import math
import random
from typing import Final

import msgspec

from wigeonford.deployment import Announcement, Service

DOWN_PAUSE_S: Final = 0.4
"""First pause after a target could not be reached; doubles with each
failure."""
MAX_DOWN_PAUSE_S: Final = 3.0
"""Targets come back from a crash within seconds."""
REPORTED_LOAD_HALF_LIFE_S: Final = 1.5
"""Half-life of the reported load that other entry VMs cause; a few times the
duration of a request."""
MAX_REPORTED_LOAD_PER_SLOT: Final = 16.0
"""Reported load that counts, per slot. A queue is a few times as long as the
slots; more would make the other targets of the domain look busy."""
FAILURE_SMOOTHING: Final = 0.8
"""Weight of the previous value in the moving average of failures."""
FAILING_RATIO: Final = 0.35
"""Failure ratio above which a target counts as failing; overload alone doesn't
reach it."""
FAILING_S: Final = 2.0
"""How long after its last failure a failing target is excluded."""
SLOWNESS_SMOOTHING: Final = 0.8
"""Weight of the previous value in the moving average of slowness."""
SLOW_RATIO: Final = 2.2
"""Slowness from which a target is excluded. A first request for an object
takes about this much longer than a later one, so a target isn't excluded only
because it has evicted some objects."""
SLOW_PAUSE_S: Final = 4.0
"""How long a slow target is excluded; disruptions last about as long."""
MAX_DRAINING: Final = 4096
"""Draining incarnations remembered; more than a fleet of the target size has
at once."""
MAX_WARM_OBJECTS: Final = 16
"""Objects remembered for each target; targets themselves remember some
more."""


class TargetRecord(msgspec.Struct):
    """Hold what is known of one incarnation of a target.

    `other_load` is the load that other entry VMs cause, as of
    `load_reported_at_s`. `slowness` is the ratio of the target's durations to
    those of its service. Until `doubted_until_s`, the target counts as cold
    because it was not reached. `is_draining` is set when a response says that
    the target is draining; `is_gone` is set when another incarnation, or none,
    is announced. `warm_objects` holds the ids of the objects that the target
    served last.
    """

    announced: Announcement
    region: str
    announced_at_s: float
    in_flight: int = 0
    other_load: float = 0.0
    load_reported_at_s: float = 0.0
    down_until_s: float = 0.0
    down_count: int = 0
    cold_until_s: float = 0.0
    cold_before_down_s: float = 0.0
    doubted_until_s: float = 0.0
    failure_ratio: float = 0.0
    failed_at_s: float = float("-inf")
    paused_until_s: float = 0.0
    is_draining: bool = False
    is_gone: bool = False
    slowness: float = 1.0
    slow_until_s: float = 0.0
    warm_objects: OrderedDict[str, None] = msgspec.field(
        default_factory=OrderedDict
    )

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announced.target_id

    @property
    def incarnation(self) -> str:
        """Return the name of the target's process, which no other has."""
        return f"{self.announced.target_id}/{self.announced.born_ms}"

    @property
    def zone(self) -> str:
        """Return the target's availability zone."""
        return self.announced.availability_zone

    @property
    def accepts_requests(self) -> bool:
        """Return whether requests may be sent to the target at all."""
        announced = self.announced
        return not (self.is_gone or self.is_draining or announced.is_draining)

    def load(self, now_s: float, unreported_load: float = 0.0) -> float:
        """Return the estimated number of requests at the target.

        `unreported_load` estimates the requests of other entry VMs. It is used
        until the target has reported its load.
        """
        if not self.load_reported_at_s:
            return self.in_flight + unreported_load
        elapsed_s = now_s - self.load_reported_at_s
        if self.other_load <= 0.0 or elapsed_s > 8 * REPORTED_LOAD_HALF_LIFE_S:
            return float(self.in_flight)
        weight = math.pow(0.5, elapsed_s / REPORTED_LOAD_HALF_LIFE_S)
        return self.in_flight + self.other_load * weight

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Record the load that a response reports."""
        self.other_load = min(
            max(0.0, running + waiting - self.in_flight),
            MAX_REPORTED_LOAD_PER_SLOT * self.announced.slots,
        )
        self.load_reported_at_s = now_s

    def is_down(self, now_s: float) -> bool:
        """Return whether the target is excluded because it was unreachable."""
        return now_s < self.down_until_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target can serve only a few requests."""
        return now_s < self.cold_until_s

    def is_failing(self, now_s: float) -> bool:
        """Return whether the target fails too often to be chosen first."""
        return (
            self.failure_ratio > FAILING_RATIO
            and now_s - self.failed_at_s < FAILING_S
        )

    def is_healthy(self, now_s: float) -> bool:
        """Return whether the target may be home to objects."""
        return not self.is_failing(now_s) and now_s >= self.slow_until_s

    def pause(self, pause_s: float, now_s: float) -> None:
        """Send nothing for `pause_s`, as the target requested."""
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)

    def is_paused(self, now_s: float) -> bool:
        """Return whether a pause that the target requested is in force."""
        return now_s < self.paused_until_s

    def mark_down(self, now_s: float, cold_s: float) -> float:
        """Exclude the target for a while; return for how long.

        The target counts as cold for `cold_s` after that, because a process
        that responds again may have just started, and its announcement takes
        time to arrive.
        """
        if not self.is_doubted(now_s):
            self.cold_before_down_s = self.cold_until_s
        pause_s = min(
            DOWN_PAUSE_S * math.pow(2, self.down_count), MAX_DOWN_PAUSE_S
        )
        self.down_count = min(self.down_count + 1, 10)
        self.down_until_s = now_s + pause_s
        self._doubt_until(self.down_until_s + cold_s)
        return pause_s

    def _doubt_until(self, until_s: float) -> None:
        self.cold_until_s = max(self.cold_until_s, until_s)
        self.doubted_until_s = until_s

    def is_doubted(self, now_s: float) -> bool:
        """Return whether failures keep requests away from the target."""
        return now_s < self.doubted_until_s

    def mark_up(self, now_s: float, cold_s: float) -> bool:
        """Record a response; return whether the target had been down.

        A target that was down may have restarted, so it counts as cold for
        `cold_s`, or until an announcement says otherwise.
        """
        if not self.down_count:
            return False
        self.down_count = 0
        self.down_until_s = 0.0
        self._doubt_until(now_s + cold_s)
        return True

    def forget_failures(self) -> None:
        """Undo what failures did that were this VM's own."""
        if self.down_count:
            self.down_count = 0
            self.down_until_s = 0.0
        # Coldness that something else has set since stays.
        if self.cold_until_s == self.doubted_until_s:
            self.cold_until_s = self.cold_before_down_s
        self.doubted_until_s = 0.0
        self.failure_ratio = 0.0

    def record_result(self, failed: bool, now_s: float) -> None:
        """Add an attempt to the moving average of failures."""
        self.failure_ratio *= FAILURE_SMOOTHING
        if failed:
            self.failure_ratio += 1 - FAILURE_SMOOTHING
            self.failed_at_s = now_s

    def record_slowness(self, ratio: float, now_s: float) -> bool:
        """Add the ratio of a response's duration to the usual one.

        Return whether the target has just become far slower than its service.
        It is then excluded for `SLOW_PAUSE_S`.
        """
        previous = SLOWNESS_SMOOTHING * self.slowness
        self.slowness = previous + (1 - SLOWNESS_SMOOTHING) * min(ratio, 10.0)
        if self.slowness < SLOW_RATIO or now_s < self.slow_until_s:
            return False
        self.slow_until_s = now_s + SLOW_PAUSE_S
        self.slowness = 1.0
        return True

    def record_served(self, object_id: str) -> None:
        """Record that the target has served an object."""
        self.warm_objects[object_id] = None
        self.warm_objects.move_to_end(object_id)
        if len(self.warm_objects) > MAX_WARM_OBJECTS:
            self.warm_objects.popitem(last=False)


class TargetRecords:
    """Keep a record of each target that a view contains.

    An update costs time in proportion to the changed targets, not to all.
    """

    def __init__(self) -> None:
        self._records: dict[str, TargetRecord] = {}
        self._by_service: dict[str, dict[str, TargetRecord]] = {}
        self._service_targets: dict[str, tuple[TargetRecord, ...]] = {}
        # Start time of the incarnation that reports draining, by target id.
        self._draining: dict[str, int] = {}
        self._taken_back: dict[str, int] = {}

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the record of a target."""
        return self._records.get(target_id)

    def __iter__(self) -> Iterator[TargetRecord]:
        return iter(self._records.values())

    def targets_of(self, service: str) -> tuple[TargetRecord, ...]:
        """Return the targets of a service that accept requests."""
        targets = self._service_targets.get(service)
        if targets is None:
            records = self._by_service.get(service, {})
            targets = self._service_targets[service] = tuple(records.values())
        return targets

    def forget_failures(self) -> None:
        """Undo what failures of this VM's own links did to targets."""
        for record in self:
            record.forget_failures()

    def pick_witnesses(
        self, record: TargetRecord, count: int, rng: random.Random
    ) -> list[TargetRecord]:
        """Return some other targets, as near to a target as there are any.

        Those that were reached at the last attempt come first.
        """
        others = [
            other
            for other in self
            if other is not record and other.accepts_requests
        ]
        for near in (
            [other for other in others if other.zone == record.zone],
            [other for other in others if other.region == record.region],
            others,
        ):
            if near:
                rng.shuffle(near)
                near.sort(key=lambda other: other.down_count > 0)
                return near[:count]
        return []

    def apply_changes(
        self,
        changed: Iterable[Announcement],
        removed: Iterable[str],
        regions: Mapping[str, str],
        now_s: float,
    ) -> list[str]:
        """Apply the target changes of a view.

        Return the addresses that another target, or none, has now.
        """
        freed_addresses: list[str] = []
        for target_id in removed:
            record = self._records.pop(target_id, None)
            if record is not None:
                freed_addresses.append(self._drop(record))
        for announced in changed:
            known = self._records.get(announced.target_id)
            if known is None or known.announced.born_ms != announced.born_ms:
                if known is not None:
                    freed_addresses.append(self._drop(known))
                self._add(announced, regions, now_s)
            elif known.announced != announced:
                self._update(known, announced, now_s)
        return freed_addresses

    def _drop(self, record: TargetRecord) -> str:
        """Drop a replaced or removed incarnation; return its address."""
        record.is_gone = True
        self._unindex(record)
        return record.announced.address

    def _add(
        self,
        announced: Announcement,
        regions: Mapping[str, str],
        now_s: float,
    ) -> None:
        region = regions.get(announced.availability_zone, "")
        record = TargetRecord(announced, region, now_s)
        record.cold_until_s = now_s + announced.cold_s
        record.is_draining = (
            self._draining.get(announced.target_id) == announced.born_ms
        )
        self._records[announced.target_id] = record
        self._index(record)

    def _update(
        self, record: TargetRecord, announced: Announcement, now_s: float
    ) -> None:
        self._unindex(record)
        record.announced = announced
        record.cold_until_s = now_s + announced.cold_s
        record.doubted_until_s = 0.0
        # A new announcement shows that the target is running.
        record.down_until_s = min(record.down_until_s, now_s)
        self._index(record)

    def mark_draining(self, record: TargetRecord) -> None:
        """Send no more requests to a target whose response says it drains.

        This holds until the target's next start, whatever is announced before.
        A response that arrives after another incarnation was announced counts
        for that incarnation, because the previous one had ended by then.
        """
        record = self._records.get(record.target_id, record)
        announced = record.announced
        self._draining[announced.target_id] = announced.born_ms
        if len(self._draining) > MAX_DRAINING:
            del self._draining[next(iter(self._draining))]
        record.is_draining = True
        self._unindex(record)

    def _index(self, record: TargetRecord) -> None:
        if record.accepts_requests:
            announced = record.announced
            records = self._by_service.setdefault(announced.service, {})
            records[announced.target_id] = record
            self._service_targets.pop(announced.service, None)

    def _unindex(self, record: TargetRecord) -> None:
        announced = record.announced
        records = self._by_service.get(announced.service, {})
        if records.get(announced.target_id) is record:
            del records[announced.target_id]
            self._service_targets.pop(announced.service, None)

    def apply_evacuations(
        self,
        taken_back: Mapping[str, int],
        services: Mapping[str, Service],
        now_s: float,
    ) -> None:
        """Treat targets as cold in zones whose evacuation was just lifted.

        `taken_back` counts, by zone, how often an evacuation was lifted.
        """
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
        zone_names = set(zones)
        return (record for record in self if record.zone in zone_names)
