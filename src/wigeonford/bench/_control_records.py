"""Records of what operators, claimants and entry VMs observe of control."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any, Final

PERCENTILES: Final = (("p50", 0.5), ("p99", 0.99), ("max", 1.0))


@dataclass(slots=True)
class ControlRecords:
    """Collect the observations of one run.

    `accepted` maps a change id to object name, version and revision.
    `accepted_at_s` maps each revision that is not yet in force at all entry
    VMs to the monotonic time of its acceptance. `claimants` maps a request
    to the claimants that were granted it.
    """

    accepted: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    accepted_at_s: dict[int, float] = field(default_factory=dict)
    in_force_s: list[float] = field(default_factory=list)
    refused: Counter[str] = field(default_factory=Counter)
    unknown: int = 0
    stale_reads: int = 0
    entry_reverts: int = 0
    claimants: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    withdrawn_served_s: float = 0.0
    faults: Counter[str] = field(default_factory=Counter)

    def record_accepted(
        self,
        change_id: str,
        name: str,
        version: int,
        revision: int,
        at_s: float,
    ) -> None:
        """Record an accepted change of one object."""
        self.accepted[change_id] = (name, version, revision)
        self.accepted_at_s.setdefault(revision, at_s)

    def newest_version(self, name: str) -> int:
        """Return the highest accepted version of an object, or 0."""
        return max(
            (
                v
                for recorded_name, v, _ in self.accepted.values()
                if recorded_name == name
            ),
            default=0,
        )

    def count_claims_run_twice(self) -> int:
        """Return how many requests were granted to more than one claimant."""
        return sum(
            len(claimant_names) > 1
            for claimant_names in self.claimants.values()
        )


def compute_percentiles(values: list[float]) -> dict[str, float]:
    """Return p50, p99 and the maximum, rounded to milliseconds."""
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        name: round(ordered[round(fraction * last)], 3)
        for name, fraction in PERCENTILES
    }


def count_lost_changes(
    records: ControlRecords, history: list[dict[str, Any]]
) -> int:
    """Return how many accepted changes are missing from the history."""
    recorded_ids = {entry["change_id"] for entry in history}
    return len(records.accepted.keys() - recorded_ids)


def count_double_applied(
    records: ControlRecords, history: list[dict[str, Any]]
) -> int:
    """Return how many changes are in the history twice or share a version."""
    entry_counts = Counter(entry["change_id"] for entry in history)
    versions = Counter(
        (name, version) for name, version, _ in records.accepted.values()
    )
    applied_twice = sum(count > 1 for count in entry_counts.values())
    return applied_twice + sum(count > 1 for count in versions.values())
