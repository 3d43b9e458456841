"""What operators, claimants and entry VMs saw of control."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any, Final

PERCENTILES: Final = (("p50", 0.5), ("p99", 0.99), ("max", 1.0))


@dataclass(slots=True)
class ControlBooks:
    """Collect observations; times in seconds of one clock."""

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

    def accept(
        self,
        change_id: str,
        name: str,
        version: int,
        revision: int,
        at_s: float,
    ) -> None:
        """Note an accepted change of one object."""
        self.accepted[change_id] = (name, version, revision)
        self.accepted_at_s.setdefault(revision, at_s)

    def newest_version(self, name: str) -> int:
        """Return the highest version of an object that was accepted."""
        return max(
            (v for held, v, _ in self.accepted.values() if held == name),
            default=0,
        )

    def claims_run_twice(self) -> int:
        """Return how many claims more than one claimant got."""
        return sum(len(found) > 1 for found in self.claimants.values())


def percentiles(values: list[float]) -> dict[str, float]:
    """Return p50, p99 and the maximum, rounded to milliseconds."""
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        name: round(ordered[round(part * last)], 3)
        for name, part in PERCENTILES
    }


def lost_changes(books: ControlBooks, history: list[dict[str, Any]]) -> int:
    """Return how many accepted changes the history does not hold."""
    held = {entry["change_id"] for entry in history}
    return len(books.accepted.keys() - held)


def double_applied(books: ControlBooks, history: list[dict[str, Any]]) -> int:
    """Return how many changes took effect twice or shared a version."""
    runs = Counter(entry["change_id"] for entry in history)
    versions = Counter(
        (name, version) for name, version, _ in books.accepted.values()
    )
    twice = sum(count > 1 for count in runs.values())
    return twice + sum(count > 1 for count in versions.values())
