"""Stand-in caller: looks up entry VMs, sends requests, checks responses."""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass, field
import random
import time
from typing import Final

from hdrh.histogram import HdrHistogram

from wigeonford.bench._lookup_cache import LookupCache
from wigeonford.bench._target_run_records import (
    expected_body,
    REQUEST_ID_HEADER,
)
from wigeonford.errors import RunState
from wigeonford.http import (
    CODE_HEADER,
    ConnectFailed,
    ExchangeFailed,
    fetch,
    Headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.settings import Address

MAX_ATTEMPTS: Final = 40
REQUEST_TIMEOUT_S: Final = 20.0
_MAX_LATENCY_US: Final = 120_000_000


@dataclass(frozen=True, slots=True)
class Job:
    """Describe one request that a caller retries until it succeeds."""

    request_id: str
    kind: str
    method: str
    path: str
    body: bytes = b""
    response_bytes: int = 1024
    idempotency_key: str | None = None


@dataclass(slots=True)
class CallerStats:
    """Count the responses that all callers received."""

    requests: int = 0
    answered: int = 0
    wrong_answers: int = 0
    refusals: collections.Counter[int] = field(
        default_factory=collections.Counter
    )
    latency_us: dict[str, HdrHistogram] = field(default_factory=dict)

    def record_latency(self, kind: str, latency_s: float) -> None:
        """Record the latency of one successful request."""
        histogram = self.latency_us.get(kind)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
            self.latency_us[kind] = histogram
        histogram.record_value(max(1, round(latency_s * 1e6)))

    def latency_ms(self) -> dict[str, dict[str, float]]:
        """Return latency percentiles by kind of job, in milliseconds."""
        return {
            kind: {
                name: histogram.get_value_at_percentile(percent) / 1000
                for name, percent in (
                    ("p50", 50),
                    ("p99", 99),
                    ("p99.9", 99.9),
                )
            }
            for kind, histogram in sorted(self.latency_us.items())
        }


class StandInCaller:
    """Send requests from one address with one account's key."""

    def __init__(
        self,
        local_host: str,
        account: str,
        key: str,
        entries: tuple[Address, ...],
        stats: CallerStats,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._local_host = local_host
        self._key = key
        self._stats = stats
        self._rng = rng
        self._clock = clock
        self._lookup_cache = LookupCache(
            local_host, account, entries, rng, clock
        )

    async def perform(self, job: Job) -> bool:
        """Send a job until it succeeds; return whether it did."""
        self._stats.requests += 1
        started_s = self._clock()
        for attempt in range(MAX_ATTEMPTS):
            try:
                response = await self._send(job, attempt)
            except (ConnectFailed, ExchangeFailed):
                self._lookup_cache.invalidate()
                await asyncio.sleep(0.05)
                continue
            if response.status == 200:
                self._stats.record_latency(job.kind, self._clock() - started_s)
                self._check_body(job, response)
                return True
            if not await self._wait_before_retry(response):
                return False
        return False

    def _check_body(self, job: Job, response: Response) -> None:
        self._stats.answered += 1
        expected = expected_body(job.request_id, job.response_bytes)
        if response.body != expected:
            self._stats.wrong_answers += 1

    async def _wait_before_retry(self, response: Response) -> bool:
        """Wait for the time that a rejection asks for.

        Return False without waiting if the request must not be retried.
        """
        code = int(response.header(CODE_HEADER) or 0)
        self._stats.refusals[code] += 1
        retry_after = response.header(b"retry-after")
        run_state = response.header(RUN_STATE_HEADER)
        if retry_after is None and run_state != RunState.NOT_RUN.value:
            return False
        delay_s = float(retry_after or 1)
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
        return True

    async def _send(self, job: Job, attempt: int) -> Response:
        ranked_entries = await self._lookup_cache.get()
        address = ranked_entries[attempt % len(ranked_entries)]
        return await fetch(
            address,
            job.method,
            job.path,
            self._make_headers(job),
            job.body,
            timeout_s=REQUEST_TIMEOUT_S,
            local_host=self._local_host,
        )

    def _make_headers(self, job: Job) -> Headers:
        headers = [
            (b"authorization", f"Bearer {self._key}".encode()),
            (REQUEST_ID_HEADER, job.request_id.encode()),
            (b"x-answer-bytes", str(job.response_bytes).encode()),
            (b"x-api-key", self._key.encode()),
            (b"wigeonford-account", b"forged"),
        ]
        if job.idempotency_key is not None:
            headers.append((b"idempotency-key", job.idempotency_key.encode()))
        return tuple(headers)
