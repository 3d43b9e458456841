"""Records of the requests that the stand-in targets receive and run."""

from collections import Counter
from dataclasses import dataclass, field
import hashlib

REQUEST_ID_HEADER = b"x-request-id"


def expected_body(request_id: str, size: int) -> bytes:
    """Return the response body that is specific to a request id.

    Callers compare it with the body that they receive.
    """
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Record one request that a target began to run."""

    request_id: str
    operation_key: str | None
    account: str | None
    service: str
    region: str
    side: str
    target: str
    started_s: float


@dataclass(slots=True)
class TargetRunRecords:
    """Collect what all targets of a fleet received and ran."""

    runs_by_operation: Counter[str] = field(default_factory=Counter)
    keys_seen: int = 0
    wrong_accounts: int = 0
    over_slots: int = 0
    over_region_capacity: int = 0
    headroom_min: float = 1.0
    runs_by_side: Counter[tuple[str, str]] = field(default_factory=Counter)
    run_records: list[RunRecord] = field(default_factory=list)
    draining_since_s: dict[str, float] = field(default_factory=dict)
    slots: Counter[tuple[str, str]] = field(default_factory=Counter)
    running: Counter[tuple[str, str]] = field(default_factory=Counter)
    poison_crashes: int = 0

    @property
    def run_twice(self) -> int:
        """Return how many operations ran more than once."""
        return sum(1 for count in self.runs_by_operation.values() if count > 1)

    def record_arrival(self, region: str, service: str) -> None:
        """Record a received request, whether or not the target rejects it."""
        region_service = (region, service)
        if self.running[region_service] >= self.slots[region_service]:
            self.over_region_capacity += 1

    def record_start(self, record: RunRecord) -> None:
        """Record that a target begins to run a request."""
        self.run_records.append(record)
        self.runs_by_side[record.service, record.side] += 1
        region_service = (record.region, record.service)
        self.running[region_service] += 1
        if self.slots[region_service]:
            free_fraction = (
                1 - self.running[region_service] / self.slots[region_service]
            )
            self.headroom_min = min(self.headroom_min, free_fraction)

    def record_end(self, region: str, service: str) -> None:
        """Record that a target has finished a request."""
        self.running[region, service] -= 1

    def remove_requests(self, request_ids: set[str]) -> None:
        """Remove the records of requests that bypassed the entry VMs."""
        self.run_records = [
            record
            for record in self.run_records
            if record.request_id not in request_ids
        ]
