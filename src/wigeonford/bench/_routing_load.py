"""Open-loop load of the routing bench: arrivals and their callers."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
import random
import time
from typing import Final

from wigeonford.bench._lookup_cache import LookupCache
from wigeonford.bench._routing_records import (
    CallerRecords,
    CallRecord,
    JobRecord,
)
from wigeonford.bench._target import LATE_HEADER, POISON_HEADER
from wigeonford.bench._target_run_records import (
    expected_body,
    REQUEST_ID_HEADER,
)
from wigeonford.errors import RunState
from wigeonford.http import (
    CODE_HEADER,
    ConnectFailed,
    DEADLINE_HEADER,
    ExchangeFailed,
    fetch,
    Headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.model import ObjectSet
from wigeonford.settings import Address

DEADLINE_S: Final = 4.0
LATE_DEADLINE_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 5.0
MAX_IN_FLIGHT: Final = 500
"""Arrivals beyond this number of open requests are not sent."""
MAX_ATTEMPTS: Final = 2
POISON_ATTEMPTS: Final = 8
POISON_RETRY_PAUSE_S: Final = 0.2
RESPONSE_BYTES: Final = 2048
UPLOAD_BYTES: Final = 8192
READ_FRACTION: Final = 0.7
ORDER_FRACTION: Final = 0.2


@dataclass(frozen=True, slots=True)
class LoadShape:
    """Describe how the load of a fault differs from the plain load.

    The last account sends `excess_factor` times its rate in addition. With
    `poison`, one request crashes each target that runs it. Targets answer a
    fraction `late_fraction` of the requests after the deadline.
    """

    excess_factor: float = 0.0
    poison: bool = False
    late_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe one request and its planned send time.

    `at_s` counts from the start of the run; `region` and `zone` are octets
    of the caller's address. `key` replaces the account's own key.
    """

    at_s: float
    number: int
    account: str
    region: int
    zone: int
    service: str
    method: str
    path: str
    measured: bool = True
    poison: bool = False
    late: bool = False
    key: str | None = None

    @property
    def operation_key(self) -> str | None:
        """Return the idempotency key of a request that must not run twice."""
        return f"op-{self.number}" if self.method == "POST" else None


def generate_arrivals(
    objects: ObjectSet,
    shape: LoadShape,
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yield Poisson arrivals in time order.

    The accounts share `rate_per_s` in proportion to their rate limits.
    """
    accounts = list(objects.client_accounts.values())
    weights = [account.rate_per_s for account in accounts]
    excess_account = accounts[-1]
    extra_per_s = excess_account.rate_per_s * shape.excess_factor
    total_per_s = rate_per_s + extra_per_s
    poison_at_s = duration_s / 4 if shape.poison else float("inf")
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(total_per_s)
        if at_s >= duration_s:
            return
        account = rng.choices(accounts, weights)[0].name
        if rng.random() < extra_per_s / total_per_s:
            account = excess_account.name
        number += 1
        arrival = _make_arrival(objects, account, at_s, number, shape, rng)
        if shape.excess_factor and account == excess_account.name:
            arrival = _replace(arrival, measured=False)
        if at_s >= poison_at_s and arrival.method == "GET":
            arrival = _replace(arrival, measured=False, poison=True)
            poison_at_s = float("inf")
        yield arrival


def _replace(arrival: Arrival, **changes: bool) -> Arrival:
    fields = {name: getattr(arrival, name) for name in Arrival.__slots__}
    return Arrival(**{**fields, **changes})


def _make_arrival(
    objects: ObjectSet,
    account: str,
    at_s: float,
    number: int,
    shape: LoadShape,
    rng: random.Random,
) -> Arrival:
    read_service, order_service, upload_service = list(objects.services)[:3]
    region = rng.randrange(1, len(objects.regions) + 1)
    zone = rng.choice((1, 129))
    draw = rng.random()
    late = rng.random() < shape.late_fraction
    if draw < READ_FRACTION:
        service, method, path = (
            read_service,
            "GET",
            f"/{read_service}/items/{number}",
        )
    elif draw < READ_FRACTION + ORDER_FRACTION:
        service, method, path = (
            order_service,
            "POST",
            f"/{order_service}/orders",
        )
    else:
        service, method = upload_service, "POST"
        path = f"/{upload_service}/scans/{number}"
    return Arrival(
        at_s=at_s,
        number=number,
        account=account,
        region=region,
        zone=zone,
        service=service,
        method=method,
        path=path,
        measured=not late,
        late=late,
    )


class OpenLoopLoad:
    """Send each request at its planned time.

    A slow response does not delay later requests.
    """

    def __init__(
        self,
        entries: tuple[Address, ...],
        keys: dict[str, str],
        caller_records: CallerRecords,
        rng: random.Random,
    ) -> None:
        self._entries = entries
        self._keys = keys
        self._caller_records = caller_records
        self._rng = rng
        self._lookup_caches: dict[tuple[str, str], LookupCache] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.not_sent = 0

    async def run(self, arrivals: Iterator[Arrival]) -> None:
        """Send all arrivals; return once every request has ended."""
        start_s = time.monotonic()
        for arrival in arrivals:
            intended_s = start_s + arrival.at_s
            await asyncio.sleep(max(0.0, intended_s - time.monotonic()))
            if len(self._tasks) >= MAX_IN_FLIGHT:
                self.not_sent += 1
                continue
            self.send(arrival, intended_s)
        await self.finish()

    async def finish(self) -> None:
        """Wait for every request in flight."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def send(self, arrival: Arrival, intended_s: float) -> None:
        """Start a task that sends one request and its retries."""
        task = asyncio.create_task(
            self._send_with_retries(arrival, intended_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_with_retries(
        self, arrival: Arrival, intended_s: float
    ) -> None:
        max_attempts = POISON_ATTEMPTS if arrival.poison else MAX_ATTEMPTS
        request_ids: list[str] = []
        call = None
        for attempt in range(max_attempts):
            request_ids.append(f"{arrival.account}/{arrival.number}/{attempt}")
            if arrival.key is not None:
                self._caller_records.withdrawn.add(request_ids[-1])
            call = await self._send_attempt(arrival, request_ids)
            if not _should_retry(arrival, call, intended_s):
                break
            if arrival.poison:
                await asyncio.sleep(POISON_RETRY_PAUSE_S)
        answered = call is not None and call.status == 200
        self._caller_records.jobs.append(
            JobRecord(
                account=arrival.account,
                service=arrival.service,
                method=arrival.method,
                latency_s=time.monotonic() - intended_s,
                answered=answered,
                refused=call is not None and call.status in (429, 503),
                measured=arrival.measured,
            )
        )

    async def _send_attempt(
        self, arrival: Arrival, request_ids: list[str]
    ) -> CallRecord | None:
        """Send one attempt to the first ranked entry VM that accepts it.

        Return None if the look-up or every connection failed.
        """
        host = (
            f"127.{arrival.region}.{arrival.zone}.{self._host_number(arrival)}"
        )
        lookup_cache = self._get_lookup_cache(host, arrival.account)
        try:
            ranked_entries = await lookup_cache.get()
        except ConnectFailed:
            return None
        for entry in ranked_entries:
            sent_s = time.monotonic()
            call = CallRecord(request_ids[-1], entry, sent_s, sent_s)
            try:
                response = await fetch(
                    entry,
                    arrival.method,
                    arrival.path,
                    self._make_headers(arrival, request_ids[-1]),
                    b"u" * UPLOAD_BYTES if arrival.method == "POST" else b"",
                    timeout_s=REQUEST_TIMEOUT_S,
                    local_host=host,
                )
            except ConnectFailed:
                self._record_call(call)
                lookup_cache.invalidate()
                continue
            except ExchangeFailed:
                self._record_call(call)
                lookup_cache.invalidate()
                return call
            call = _with_response(call, response, request_ids)
            self._record_call(call)
            return call
        return None

    def _host_number(self, arrival: Arrival) -> int:
        """Return the last octet of the address of an account's caller."""
        return 1 + list(self._keys).index(arrival.account)

    def _record_call(self, call: CallRecord) -> None:
        self._caller_records.calls.append(call)

    def _get_lookup_cache(self, host: str, account: str) -> LookupCache:
        lookup_cache = self._lookup_caches.get((host, account))
        if lookup_cache is None:
            lookup_cache = LookupCache(host, account, self._entries, self._rng)
            self._lookup_caches[host, account] = lookup_cache
        return lookup_cache

    def _make_headers(self, arrival: Arrival, request_id: str) -> Headers:
        key = arrival.key or self._keys[arrival.account]
        deadline_s = LATE_DEADLINE_S if arrival.late else DEADLINE_S
        headers = [
            (b"authorization", f"Bearer {key}".encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
            (DEADLINE_HEADER, str(int(deadline_s * 1000)).encode()),
            (b"x-answer-bytes", str(RESPONSE_BYTES).encode()),
            (b"x-api-key", key.encode()),
            (b"wigeonford-account", b"forged"),
        ]
        if arrival.operation_key is not None:
            headers.append(
                (b"idempotency-key", arrival.operation_key.encode())
            )
        if arrival.poison:
            headers.append((POISON_HEADER, b"1"))
        if arrival.late:
            headers.append((LATE_HEADER, b"1"))
        return tuple(headers)


def _with_response(
    call: CallRecord, response: Response, request_ids: list[str]
) -> CallRecord:
    """Return the call with its response.

    A replayed response carries the body of an earlier attempt, so the
    body of any attempt's request id is correct.
    """
    expected_bodies = [
        expected_body(request_id, RESPONSE_BYTES) for request_id in request_ids
    ]
    has_wrong_body = (
        response.status == 200 and response.body not in expected_bodies
    )
    return CallRecord(
        call.request_id,
        call.entry,
        call.sent_s,
        time.monotonic(),
        response.status,
        int(response.header(CODE_HEADER) or 0),
        response.header(RUN_STATE_HEADER),
        has_wrong_body,
    )


def _should_retry(
    arrival: Arrival, call: CallRecord | None, intended_s: float
) -> bool:
    if time.monotonic() - intended_s > DEADLINE_S:
        return False
    if arrival.poison:
        return call is None or call.status != 200
    if call is None or call.status == 200 or call.status == 429:
        return False
    if arrival.operation_key is None:
        return call.status == 0
    return call.run_state != RunState.NOT_RUN.value
