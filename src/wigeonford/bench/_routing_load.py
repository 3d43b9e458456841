"""Open-loop load of the routing bench: a schedule and its callers."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
import random
import time
from typing import Final

from wigeonford.bench._books import expected_body, REQUEST_ID_HEADER
from wigeonford.bench._ranking import Ranking
from wigeonford.bench._routing_books import (
    CallLedger,
    CallRecord,
    JobRecord,
)
from wigeonford.bench._target import LATE_HEADER, POISON_HEADER
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
TIMEOUT_S: Final = 5.0
MAX_OPEN: Final = 500
MAX_SENDS: Final = 2
POISON_SENDS: Final = 8
POISON_PAUSE_S: Final = 0.2
ANSWER_BYTES: Final = 2048
UPLOAD_BYTES: Final = 8192
READ_PART: Final = 0.7
ORDER_PART: Final = 0.2


@dataclass(frozen=True, slots=True)
class LoadShape:
    """Say how a fault's load departs from the plain one."""

    excess_factor: float = 0.0
    poison: bool = False
    late_part: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request and when it is meant to be sent."""

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
    def operation(self) -> str | None:
        """Return the idempotency key of work that may run once."""
        return f"op-{self.number}" if self.method == "POST" else None


def schedule(
    objects: ObjectSet,
    shape: LoadShape,
    rate_per_s: float,
    seconds: float,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yield arrivals by time, Poisson at a rate, by account weight."""
    accounts = list(objects.client_accounts.values())
    weights = [account.rate_per_s for account in accounts]
    excess = accounts[-1]
    extra_per_s = excess.rate_per_s * shape.excess_factor
    total_per_s = rate_per_s + extra_per_s
    poison_at_s = seconds / 4 if shape.poison else float("inf")
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(total_per_s)
        if at_s >= seconds:
            return
        account = rng.choices(accounts, weights)[0].name
        if rng.random() < extra_per_s / total_per_s:
            account = excess.name
        number += 1
        arrival = _arrival(objects, account, at_s, number, shape, rng)
        if shape.excess_factor and account == excess.name:
            arrival = _replaced(arrival, measured=False)
        if at_s >= poison_at_s and arrival.method == "GET":
            arrival = _replaced(arrival, measured=False, poison=True)
            poison_at_s = float("inf")
        yield arrival


def _replaced(arrival: Arrival, **changes: bool) -> Arrival:
    fields = {name: getattr(arrival, name) for name in Arrival.__slots__}
    return Arrival(**{**fields, **changes})


def _arrival(
    objects: ObjectSet,
    account: str,
    at_s: float,
    number: int,
    shape: LoadShape,
    rng: random.Random,
) -> Arrival:
    reads, orders, uploads = list(objects.services)[:3]
    region = rng.randrange(1, len(objects.regions) + 1)
    zone = rng.choice((1, 129))
    draw = rng.random()
    late = rng.random() < shape.late_part
    if draw < READ_PART:
        service, method, path = reads, "GET", f"/{reads}/items/{number}"
    elif draw < READ_PART + ORDER_PART:
        service, method, path = orders, "POST", f"/{orders}/orders"
    else:
        service, method = uploads, "POST"
        path = f"/{uploads}/scans/{number}"
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


class OpenLoop:
    """Send a schedule's requests when due, whatever became of others."""

    def __init__(
        self,
        entries: tuple[Address, ...],
        keys: dict[str, str],
        ledger: CallLedger,
        rng: random.Random,
    ) -> None:
        self._entries = entries
        self._keys = keys
        self._ledger = ledger
        self._rng = rng
        self._rankings: dict[tuple[str, str], Ranking] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.not_sent = 0

    async def run(self, arrivals: Iterator[Arrival]) -> None:
        """Return once every request has ended."""
        start_s = time.monotonic()
        for arrival in arrivals:
            intended_s = start_s + arrival.at_s
            await asyncio.sleep(max(0.0, intended_s - time.monotonic()))
            if len(self._tasks) >= MAX_OPEN:
                self.not_sent += 1
                continue
            self.send(arrival, intended_s)
        await self.finish()

    async def finish(self) -> None:
        """Wait for every request that is under way."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def send(self, arrival: Arrival, intended_s: float) -> None:
        """Begin one request."""
        task = asyncio.create_task(self._perform(arrival, intended_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _perform(self, arrival: Arrival, intended_s: float) -> None:
        sends = POISON_SENDS if arrival.poison else MAX_SENDS
        ids: list[str] = []
        call = None
        for number in range(sends):
            ids.append(f"{arrival.account}/{arrival.number}/{number}")
            if arrival.key is not None:
                self._ledger.withdrawn.add(ids[-1])
            call = await self._call(arrival, ids)
            if not _sends_again(arrival, call, intended_s):
                break
            if arrival.poison:
                await asyncio.sleep(POISON_PAUSE_S)
        answered = call is not None and call.status == 200
        self._ledger.jobs.append(
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

    async def _call(
        self, arrival: Arrival, ids: list[str]
    ) -> CallRecord | None:
        """Try ranked entry VMs until one takes the connection."""
        host = f"127.{arrival.region}.{arrival.zone}.{self._number(arrival)}"
        ranking = self._ranking(host, arrival.account)
        try:
            ranked = await ranking.get()
        except ConnectFailed:
            return None
        for entry in ranked:
            sent_s = time.monotonic()
            call = CallRecord(ids[-1], entry, sent_s, sent_s)
            try:
                response = await fetch(
                    entry,
                    arrival.method,
                    arrival.path,
                    self._headers(arrival, ids[-1]),
                    b"u" * UPLOAD_BYTES if arrival.method == "POST" else b"",
                    timeout_s=TIMEOUT_S,
                    local_host=host,
                )
            except ConnectFailed:
                self._note(call)
                ranking.forget()
                continue
            except ExchangeFailed:
                self._note(call)
                ranking.forget()
                return call
            call = _answered(call, response, ids)
            self._note(call)
            return call
        return None

    def _number(self, arrival: Arrival) -> int:
        """Return the last part of the address of an account's caller."""
        return 1 + list(self._keys).index(arrival.account)

    def _note(self, call: CallRecord) -> None:
        self._ledger.calls.append(call)

    def _ranking(self, host: str, account: str) -> Ranking:
        ranking = self._rankings.get((host, account))
        if ranking is None:
            ranking = Ranking(host, account, self._entries, self._rng)
            self._rankings[host, account] = ranking
        return ranking

    def _headers(self, arrival: Arrival, request_id: str) -> Headers:
        key = arrival.key or self._keys[arrival.account]
        deadline_s = LATE_DEADLINE_S if arrival.late else DEADLINE_S
        headers = [
            (b"authorization", f"Bearer {key}".encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
            (DEADLINE_HEADER, str(int(deadline_s * 1000)).encode()),
            (b"x-answer-bytes", str(ANSWER_BYTES).encode()),
            (b"x-api-key", key.encode()),
            (b"wigeonford-account", b"forged"),
        ]
        if arrival.operation is not None:
            headers.append((b"idempotency-key", arrival.operation.encode()))
        if arrival.poison:
            headers.append((POISON_HEADER, b"1"))
        if arrival.late:
            headers.append((LATE_HEADER, b"1"))
        return tuple(headers)


def _answered(
    call: CallRecord, response: Response, ids: list[str]
) -> CallRecord:
    """Note an answer; a replayed one belongs to an earlier send."""
    own = [expected_body(request_id, ANSWER_BYTES) for request_id in ids]
    wrong = response.status == 200 and response.body not in own
    return CallRecord(
        call.request_id,
        call.entry,
        call.sent_s,
        time.monotonic(),
        response.status,
        int(response.header(CODE_HEADER) or 0),
        response.header(RUN_STATE_HEADER),
        wrong,
    )


def _sends_again(
    arrival: Arrival, call: CallRecord | None, intended_s: float
) -> bool:
    if time.monotonic() - intended_s > DEADLINE_S:
        return False
    if arrival.poison:
        return call is None or call.status != 200
    if call is None or call.status == 200 or call.status == 429:
        return False
    if arrival.operation is None:
        return call.status == 0
    return call.run_state != RunState.NOT_RUN.value
