"""Books that stand-in targets keep of what they saw."""

from collections import Counter
from dataclasses import dataclass, field
import hashlib

REQUEST_ID_HEADER = b"x-request-id"


def expected_body(request_id: str, size: int) -> bytes:
    """Return the body by which an answer is told to be a request's own."""
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Note one request that a target began to run."""

    request_id: str
    operation: str | None
    account: str | None
    service: str
    region: str
    side: str
    target: str
    started_s: float


@dataclass(slots=True)
class TargetBooks:
    """Count what targets ran, over all of them."""

    runs: Counter[str] = field(default_factory=Counter)
    keys_seen: int = 0
    wrong_accounts: int = 0
    over_slots: int = 0
    over_region: int = 0
    headroom_min: float = 1.0
    by_side: Counter[tuple[str, str]] = field(default_factory=Counter)
    records: list[RunRecord] = field(default_factory=list)
    left_at_s: dict[str, float] = field(default_factory=dict)
    slots: Counter[tuple[str, str]] = field(default_factory=Counter)
    running: Counter[tuple[str, str]] = field(default_factory=Counter)
    deaths: int = 0

    @property
    def run_twice(self) -> int:
        """Return how many non-idempotent operations ran twice."""
        return sum(1 for count in self.runs.values() if count > 1)

    def arrive(self, region: str, service: str) -> None:
        """Note an arrival, also of a request that is then shed."""
        place = (region, service)
        if self.running[place] >= self.slots[place]:
            self.over_region += 1

    def begin(self, record: RunRecord) -> None:
        """Note that a target begins to run a request."""
        self.records.append(record)
        self.by_side[record.service, record.side] += 1
        place = (record.region, record.service)
        self.running[place] += 1
        if self.slots[place]:
            free = 1 - self.running[place] / self.slots[place]
            self.headroom_min = min(self.headroom_min, free)

    def end(self, region: str, service: str) -> None:
        """Note that a target is done with a request."""
        self.running[region, service] -= 1

    def forget(self, request_ids: set[str]) -> None:
        """Strike out requests that did not go through the system."""
        self.records = [
            record
            for record in self.records
            if record.request_id not in request_ids
        ]
