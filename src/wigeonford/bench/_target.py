"""Stand-in target: answers requests and announces itself."""

import asyncio
from collections.abc import AsyncIterator
import itertools
import time
from typing import Final

import msgspec

from wigeonford.bench._books import (
    expected_body,
    REQUEST_ID_HEADER,
    TargetBooks,
)
from wigeonford.bench._settings import TargetGroup
from wigeonford.entry import Announcement
from wigeonford.events import EventLog
from wigeonford.http import (
    ACCOUNT_HEADER,
    ConnectFailed,
    ExchangeFailed,
    fetch,
    HttpServer,
    Request,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.model import KEY_START
from wigeonford.settings import Address, CallerLimits

ANNOUNCE_INTERVAL_S: Final = 1.0
LEASE_S: Final = 3.0
CHUNK_BYTES: Final = 65536
DEFAULT_SIZE: Final = 1024
_ACCOUNT_PARAMETER: Final = "account="


class StandInTarget:
    """Serve one target and keep books of what it ran."""

    def __init__(
        self,
        group: TargetGroup,
        entries: tuple[Address, ...],
        secret: str,
        books: TargetBooks,
        log: EventLog,
    ) -> None:
        self.group = group
        self._entries = entries
        self._secret = secret
        self._books = books
        self._http = HttpServer(self._handle, CallerLimits(), log)
        self._running = 0
        self._sequence = itertools.count(time.time_ns())
        self._announced = False
        self._task: asyncio.Task[None] | None = None
        self.address = Address()

    async def start(self) -> None:
        """Serve and announce."""
        self.address = await self._http.start(Address())
        await self.announce()
        self._task = asyncio.create_task(self._keep_announcing())

    async def stop(self) -> None:
        """Leave, finish what runs, then close."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self.announce(leaving=True)
        await self._http.stop(5.0)

    async def crash(self) -> None:
        """Close at once, amid whatever runs."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._http.stop(0.0)

    async def announce(self, *, leaving: bool = False) -> None:
        """Tell the first entry VM that answers."""
        for entry in self._entries:
            content = msgspec.json.encode(self._announcement(leaving))
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

    def _announcement(self, leaving: bool) -> Announcement:
        return Announcement(
            service=self.group.service,
            host=self.address.host,
            port=self.address.port,
            slots=self.group.slots,
            sequence=next(self._sequence),
            side=self.group.side,
            lease_s=LEASE_S,
            load=self._running / self.group.slots,
            leaving=leaving,
            first=not self._announced,
        )

    async def _keep_announcing(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await self.announce()

    async def _handle(self, request: Request) -> Response:
        self._check_keys(request)
        if self._running >= self.group.slots:
            self._books.over_slots += 1
            shed = ((RUN_STATE_HEADER, b"not-run"), (b"content-length", b"0"))
            return Response(503, shed)
        self._running += 1
        try:
            return await self._run(request)
        finally:
            self._running -= 1

    def _check_keys(self, request: Request) -> None:
        texts = [request.query.encode(), request.path.encode()]
        texts.extend(value for _, value in request.headers)
        if any(KEY_START.search(text) for text in texts):
            self._books.keys_seen += 1

    async def _run(self, request: Request) -> Response:
        request_id = request.header(REQUEST_ID_HEADER) or ""
        self._check_account(request, request_id)
        async for chunk in request.body:
            if KEY_START.search(chunk):
                self._books.keys_seen += 1
        operation = request.header(b"idempotency-key")
        if request.method == "POST" and operation is not None:
            self._books.runs[operation] += 1
        side = (self.group.service, self.group.side.value)
        self._books.by_side[side] += 1
        await asyncio.sleep(self.group.latency_s)
        return self._answer(request, request_id)

    def _check_account(self, request: Request, request_id: str) -> None:
        """Callers put their account first in the request id."""
        expected = request_id.split("/")[0]
        given = request.header(ACCOUNT_HEADER)
        if given is not None and given != expected:
            self._books.wrong_accounts += 1

    def _answer(self, request: Request, request_id: str) -> Response:
        size = int(request.header(b"x-answer-bytes") or DEFAULT_SIZE)
        headers = (
            (b"content-length", str(size).encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
        )
        body = expected_body(request_id, size)
        if size <= CHUNK_BYTES:
            return Response(200, headers, body)
        return Response(200, headers, _chunks(body))


async def _chunks(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]
