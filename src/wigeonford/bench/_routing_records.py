"""Records of the requests that callers send in the routing bench."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from wigeonford.settings import Address

UNANSWERED_S: Final = 6.0
"""Latency recorded for a request that received no successful response."""

_MAX_LATENCY_US: Final = 120_000_000


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Record one exchange; `status` is 0 if no response arrived."""

    request_id: str
    entry: Address
    sent_s: float
    ended_s: float
    status: int = 0
    code: int = 0
    run_state: str | None = None
    has_wrong_body: bool = False


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Record the final outcome of one request and its retries."""

    account: str
    service: str
    method: str
    latency_s: float
    answered: bool
    refused: bool
    measured: bool


@dataclass(slots=True)
class CallerRecords:
    """Collect the exchanges and requests of all callers.

    `withdrawn` holds the ids of the requests sent with the withdrawn key.
    """

    calls: list[CallRecord] = field(default_factory=list)
    jobs: list[JobRecord] = field(default_factory=list)
    withdrawn: set[str] = field(default_factory=set)
    key_withdrawn_at_s: float = float("inf")

    def measured_jobs(self) -> Iterator[JobRecord]:
        """Yield the jobs that count in latency and rejection figures.

        Jobs of an account that exceeds its rate do not count, nor do
        poison requests, requests with the withdrawn key and requests
        that targets answer after the deadline.
        """
        return (job for job in self.jobs if job.measured)

    def latency_ms(self) -> dict[str, dict[str, float]]:
        """Return percentiles by service and method, in milliseconds."""
        jobs_by_kind: dict[str, list[JobRecord]] = {}
        for job in self.measured_jobs():
            jobs_by_kind.setdefault(f"{job.service} {job.method}", []).append(
                job
            )
        return {
            kind: _summarize_latency(jobs_by_kind[kind])
            for kind in sorted(jobs_by_kind)
        }

    def count_refused_within_rate(self) -> int:
        """Return how many measured jobs ended with status 429 or 503."""
        return sum(1 for job in self.measured_jobs() if job.refused)

    def lowest_success_ratio(self) -> float:
        """Return the smallest fraction of an account's jobs answered."""
        answered: dict[str, list[bool]] = {}
        for job in self.measured_jobs():
            answered.setdefault(job.account, []).append(job.answered)
        ratios = (sum(jobs) / len(jobs) for jobs in answered.values())
        return min(ratios, default=1.0)


def _summarize_latency(jobs: Iterable[JobRecord]) -> dict[str, float]:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    count = 0
    unanswered = 0
    for job in jobs:
        latency_s = job.latency_s if job.answered else UNANSWERED_S
        histogram.record_value(max(1, round(latency_s * 1e6)))
        count += 1
        unanswered += not job.answered
    figures = {
        name: histogram.get_value_at_percentile(percent) / 1000
        for name, percent in (("p50", 50), ("p99", 99), ("p99.9", 99.9))
    }
    return {**figures, "count": count, "unanswered": unanswered}
