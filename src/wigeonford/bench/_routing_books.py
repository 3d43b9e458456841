"""Books of the callers in the routing bench."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from wigeonford.settings import Address

UNANSWERED_S: Final = 6.0
"""What a request that got no answer counts as, in latency."""

_MAX_LATENCY_US: Final = 120_000_000


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Note one exchange of a caller; `status` is 0 without an answer."""

    request_id: str
    entry: Address
    sent_s: float
    ended_s: float
    status: int = 0
    code: int = 0
    run_state: str | None = None
    wrong: bool = False


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Note how one request of a caller ended, with its resends."""

    account: str
    service: str
    method: str
    latency_s: float
    answered: bool
    refused: bool
    measured: bool


@dataclass(slots=True)
class CallLedger:
    """Keep what callers sent and got."""

    calls: list[CallRecord] = field(default_factory=list)
    jobs: list[JobRecord] = field(default_factory=list)
    withdrawn: set[str] = field(default_factory=set)
    withdrawn_at_s: float = float("inf")

    def measured(self) -> Iterator[JobRecord]:
        """Yield the jobs of accounts that stay within their rate."""
        return (job for job in self.jobs if job.measured)

    def latency_ms(self) -> dict[str, dict[str, float]]:
        """Return percentiles by service and method, in milliseconds."""
        found: dict[str, list[JobRecord]] = {}
        for job in self.measured():
            found.setdefault(f"{job.service} {job.method}", []).append(job)
        return {kind: _percentiles(found[kind]) for kind in sorted(found)}

    def refused_within_rate(self) -> int:
        """Return how many such jobs ended in a refusal."""
        return sum(1 for job in self.measured() if job.refused)

    def worst_served_ratio(self) -> float:
        """Return the least part of an account's jobs that was answered."""
        sent: dict[str, list[bool]] = {}
        for job in self.measured():
            sent.setdefault(job.account, []).append(job.answered)
        ratios = (sum(done) / len(done) for done in sent.values())
        return min(ratios, default=1.0)


def _percentiles(jobs: Iterable[JobRecord]) -> dict[str, float]:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    count = 0
    unanswered = 0
    for job in jobs:
        seconds = job.latency_s if job.answered else UNANSWERED_S
        histogram.record_value(max(1, round(seconds * 1e6)))
        count += 1
        unanswered += not job.answered
    figures = {
        name: histogram.get_value_at_percentile(percent) / 1000
        for name, percent in (("p50", 50), ("p99", 99), ("p99.9", 99.9))
    }
    return {**figures, "count": count, "unanswered": unanswered}
