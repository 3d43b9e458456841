"""Stand-in target: serves requests and announces itself."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import itertools
import time
from typing import Final

import msgspec

from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.bench._settings import TargetGroup
from wigeonford.bench._target_run_records import (
    expected_body,
    REQUEST_ID_HEADER,
    RunRecord,
    TargetRunRecords,
)
from wigeonford.entry import Announcement
from wigeonford.events import EventLog
from wigeonford.http import (
    ACCOUNT_HEADER,
    ConnectFailed,
    DEADLINE_HEADER,
    ExchangeFailed,
    fetch,
    HttpServer,
    Request,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.model import KEY_START_PATTERN
from wigeonford.settings import Address, CallerLimits

ANNOUNCE_INTERVAL_S: Final = 1.0
LEASE_S: Final = 3.0
CHUNK_BYTES: Final = 65536
DEFAULT_RESPONSE_BYTES: Final = 1024
LATE_BY_S: Final = 0.3
POISON_HEADER: Final = b"x-poison"
LATE_HEADER: Final = b"x-late"


@dataclass(slots=True)
class TargetBehavior:
    """Set how a stand-in target differs from a healthy one.

    `extra_latency_s` is added to its service time.
    """

    extra_latency_s: float = 0.0
    reports_idle: bool = False


class StandInTarget:
    """Serve requests as one target and record those that it runs."""

    def __init__(
        self,
        group: TargetGroup,
        entries: tuple[Address, ...],
        secret: str,
        records: TargetRunRecords,
        log: EventLog,
    ) -> None:
        self.group = group
        self.behavior = TargetBehavior()
        self.link: StandInLink | None = None
        self.is_alive = False
        self._region_service = (group.region, group.service)
        self._entries = entries
        self._secret = secret
        self._records = records
        self._log = log
        self._http = HttpServer(self._handle, CallerLimits(), log)
        self._running = 0
        self._crash_task: asyncio.Task[None] | None = None
        self._sequence = itertools.count(time.time_ns())
        self._announced = False
        self._announce_task: asyncio.Task[None] | None = None
        self.address = Address()

    @property
    def target_id(self) -> str:
        """Return the address by which entry VMs identify this target."""
        return str(self.address)

    async def start(self, *, behind_link: bool = False) -> None:
        """Start to serve and announce.

        With `behind_link`, the announced address is that of a simulated link
        to this target, which can delay and drop data.
        """
        self._http = HttpServer(self._handle, CallerLimits(), self._log)
        self.address = await self._http.start(Address())
        if behind_link:
            self.link = StandInLink(self.address, LinkState())
            self.address = await self.link.start()
        self.is_alive = True
        self._records.slots[self._region_service] += self.group.slots
        await self.announce()
        self._announce_task = asyncio.create_task(self._keep_announcing())

    async def stop(self) -> None:
        """Announce draining, finish running requests, then close."""
        if not self.is_alive:
            return
        await self._stop_announcing()
        self._records.draining_since_s.setdefault(
            self.target_id, time.monotonic()
        )
        await self.announce(leaving=True)
        await self._http.stop(5.0)
        await self._close()

    async def crash(self) -> None:
        """Close at once, also while requests run."""
        if not self.is_alive:
            return
        await self._close()
        await self._stop_announcing()
        await self._http.abort()

    async def _close(self) -> None:
        self.is_alive = False
        self._records.slots[self._region_service] -= self.group.slots
        if self.link is not None:
            await self.link.stop()

    async def _stop_announcing(self) -> None:
        if self._announce_task is not None:
            self._announce_task.cancel()
            await asyncio.gather(self._announce_task, return_exceptions=True)

    async def announce(self, *, leaving: bool = False) -> None:
        """Send an announcement to the first entry VM that responds."""
        for entry in self._entries:
            content = msgspec.json.encode(self._make_announcement(leaving))
            self._announced = True
            try:
                await fetch(
                    entry,
                    "POST",
                    "/.wigeonford/targets",
                    ((b"authorization", f"Bearer {self._secret}".encode()),),
                    content,
                    timeout_s=1.0,
                )
                return
            except (ConnectFailed, ExchangeFailed):
                continue

    def _make_announcement(self, leaving: bool) -> Announcement:
        return Announcement(
            service=self.group.service,
            host=self.address.host,
            port=self.address.port,
            slots=self.group.slots,
            sequence=next(self._sequence),
            side=self.group.side,
            lease_s=LEASE_S,
            load=self._reported_load(),
            leaving=leaving,
            first=not self._announced,
        )

    def _reported_load(self) -> float:
        if self.behavior.reports_idle:
            return 0.0
        return self._running / self.group.slots

    async def _keep_announcing(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await self.announce()

    async def _handle(self, request: Request) -> Response:
        self._count_leaked_keys(request)
        self._records.record_arrival(*self._region_service)
        if self._running >= self.group.slots:
            self._records.over_slots += 1
            rejection_headers = (
                (RUN_STATE_HEADER, b"not-run"),
                (b"content-length", b"0"),
            )
            return Response(503, rejection_headers)
        request_id = request.header(REQUEST_ID_HEADER) or ""
        self._running += 1
        self._records.record_start(self._make_run_record(request, request_id))
        try:
            return await self._run(request, request_id)
        finally:
            self._running -= 1
            self._records.record_end(*self._region_service)

    def _make_run_record(self, request: Request, request_id: str) -> RunRecord:
        return RunRecord(
            request_id=request_id,
            operation_key=_operation_key(request),
            account=request.header(ACCOUNT_HEADER),
            service=self.group.service,
            region=self.group.region,
            side=self.group.side.value,
            target=self.target_id,
            started_s=time.monotonic(),
        )

    def _count_leaked_keys(self, request: Request) -> None:
        searched_texts = [request.query.encode(), request.path.encode()]
        searched_texts.extend(value for _, value in request.headers)
        if any(KEY_START_PATTERN.search(text) for text in searched_texts):
            self._records.keys_seen += 1

    async def _run(self, request: Request, request_id: str) -> Response:
        self._check_account(request, request_id)
        async for chunk in request.body:
            if KEY_START_PATTERN.search(chunk):
                self._records.keys_seen += 1
        operation_key = _operation_key(request)
        if operation_key is not None:
            self._records.runs_by_operation[operation_key] += 1
        await asyncio.sleep(self._service_time_s(request))
        if request.header(POISON_HEADER) is not None:
            await self._crash_on_poison()
        return self._respond(request, request_id)

    def _service_time_s(self, request: Request) -> float:
        if request.header(LATE_HEADER) is not None:
            deadline_ms = int(request.header(DEADLINE_HEADER) or 0)
            return deadline_ms / 1000 + LATE_BY_S
        return self.group.latency_s + self.behavior.extra_latency_s

    async def _crash_on_poison(self) -> None:
        """Crash while the request runs, so that it gets no response."""
        self._records.poison_crashes += 1
        self._crash_task = asyncio.create_task(self.crash())
        await asyncio.sleep(60.0)

    def _check_account(self, request: Request, request_id: str) -> None:
        """Compare the account header with the account in the request id.

        Callers put their account first in the request id.
        """
        expected = request_id.split("/")[0]
        received = request.header(ACCOUNT_HEADER)
        if received is not None and received != expected:
            self._records.wrong_accounts += 1

    def _respond(self, request: Request, request_id: str) -> Response:
        size = int(request.header(b"x-answer-bytes") or DEFAULT_RESPONSE_BYTES)
        headers = (
            (b"content-length", str(size).encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
        )
        body = expected_body(request_id, size)
        if size <= CHUNK_BYTES:
            return Response(200, headers, body)
        return Response(200, headers, _split_chunks(body))


def _operation_key(request: Request) -> str | None:
    if request.method != "POST":
        return None
    return request.header(b"idempotency-key")


async def _split_chunks(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]
