"""Dispatch: attempts at targets until one answers or none may be tried."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import Enum
import time
from typing import Final

from wigeonford.entry._hygiene import answer_headers
from wigeonford.entry._pool import ConnectionPool
from wigeonford.entry._slots import SlotTable
from wigeonford.errors import Code, RequestRefused, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    AnswerBroken,
    ClientConnection,
    coded_headers,
    ConnectFailed,
    ExchangeFailed,
    find_header,
    Headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.metrics import Metrics
from wigeonford.model import Service, Share, Side
from wigeonford.policy import ShiftCounter, TargetOffer
from wigeonford.settings import parse_address

MAX_ATTEMPTS: Final = 3
PREFETCH_BYTES: Final = 65536
RETRY_AFTER_S: Final = 1.0
_NO_BODY_STATUSES: Final = frozenset({204, 304})


class AttemptState(Enum):
    """Say how far an attempt at a target came."""

    NOT_SENT = "not-sent"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class Outbound:
    """Hold a request as it goes to a target."""

    service: Service
    share: Share | None
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes]
    idempotent: bool
    deadline_s: float

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent once more."""
        return isinstance(self.body, bytes)


@dataclass(frozen=True, slots=True)
class AttemptFailure(Exception):
    """Report a failed attempt and how far it came."""

    state: AttemptState
    code: Code
    detail: str


class Dispatcher:
    """Choose targets and forward requests to them."""

    def __init__(
        self, slots: SlotTable, metrics: Metrics, log: EventLog
    ) -> None:
        self._slots = slots
        self._metrics = metrics
        self._log = log
        self._pool = ConnectionPool()
        self._shifts: dict[str, ShiftCounter] = {}

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def forward(self, outbound: Outbound) -> Response:
        """Return a target's answer; raise `RequestRefused`."""
        side = self._side(outbound.share)
        tried: set[str] = set()
        failure: AttemptFailure | None = None
        while len(tried) < MAX_ATTEMPTS:
            try:
                offer = await self._slots.acquire(
                    outbound.service.name, side, tried, outbound.deadline_s
                )
            except RequestRefused:
                if failure is None:
                    raise
                break
            tried.add(offer.target_id)
            try:
                return await self._attempt(outbound, side, offer)
            except AttemptFailure as exc:
                failure = exc
                self._note(outbound, offer, exc)
                if not _may_retry(outbound, exc):
                    break
        raise _refusal(failure)

    def _side(self, share: Share | None) -> Side | None:
        if share is None:
            return None
        counter = self._shifts.setdefault(share.name, ShiftCounter())
        return counter.next_side(share)

    async def _attempt(
        self, outbound: Outbound, side: Side | None, offer: TargetOffer
    ) -> Response:
        def release() -> None:
            self._slots.release(outbound.service.name, side, offer)

        try:
            response, conn = await self._exchange(outbound, offer)
            head = await self._prefetch(response, outbound.deadline_s)
        except BaseException:
            release()
            raise
        self._count(outbound, AttemptState.ANSWERED)
        headers = (
            *answer_headers(response.headers),
            *coded_headers(Code.FORWARDED, RunState.RAN),
        )
        if isinstance(head, bytes):
            self._pool.release(conn)
            release()
            return Response(response.status, headers, head)
        stream = self._stream(head, conn, release)
        return Response(response.status, headers, stream)

    async def _exchange(
        self, outbound: Outbound, offer: TargetOffer
    ) -> tuple[Response, ClientConnection]:
        # Work that must not run twice never risks a connection that may
        # have gone silent.
        fresh = not outbound.idempotent or not outbound.replayable
        try:
            conn = await self._pool.acquire(
                parse_address(offer.target_id), fresh=fresh
            )
        except ConnectFailed as exc:
            raise AttemptFailure(
                AttemptState.NOT_SENT, Code.CONNECT_FAILED, str(exc)
            ) from exc
        try:
            async with asyncio.timeout_at(self._until(outbound)):
                response = await conn.exchange(
                    outbound.method,
                    outbound.target,
                    _with_host(outbound.headers, offer),
                    outbound.body,
                )
        except RequestRefused as exc:
            raise RequestRefused(
                exc.code, exc.detail, run_state=RunState.UNKNOWN
            ) from exc
        except TimeoutError as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_TIMEOUT, offer.target_id
            ) from exc
        except ExchangeFailed as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_BROKEN, str(exc)
            ) from exc
        self._check_answer(outbound, response, conn)
        return response, conn

    def _until(self, outbound: Outbound) -> float:
        loop = asyncio.get_running_loop()
        left_s = outbound.deadline_s - time.monotonic()
        return loop.time() + min(left_s, outbound.service.timeout_s)

    def _check_answer(
        self, outbound: Outbound, response: Response, conn: ClientConnection
    ) -> None:
        state = find_header(response.headers, RUN_STATE_HEADER)
        if response.status == 503 and state == RunState.NOT_RUN.value:
            conn.close()
            raise AttemptFailure(
                AttemptState.REFUSED, Code.TARGET_SHED, str(conn.address)
            )
        framed = (
            find_header(response.headers, b"content-length") is not None
            or find_header(response.headers, b"transfer-encoding") is not None
            or response.status in _NO_BODY_STATUSES
            or outbound.method == "HEAD"
        )
        if not framed:
            conn.close()
            raise AttemptFailure(
                AttemptState.SENT,
                Code.ANSWER_BROKEN,
                "the answer's length can't be verified",
            )

    async def _prefetch(
        self, response: Response, deadline_s: float
    ) -> bytes | AsyncIterator[bytes]:
        """Return a small answer whole, or a stream that replays its start."""
        assert not isinstance(response.body, bytes), "clients stream"
        parts: list[bytes] = []
        size = 0
        left_s = deadline_s - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                async for chunk in response.body:
                    parts.append(chunk)
                    size += len(chunk)
                    if size >= PREFETCH_BYTES:
                        return _replay(parts, response.body)
        except TimeoutError as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_TIMEOUT, "amid the answer"
            ) from exc
        except ExchangeFailed as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_BROKEN, str(exc)
            ) from exc
        return b"".join(parts)

    async def _stream(
        self,
        body: AsyncIterator[bytes],
        conn: ClientConnection,
        release: Callable[[], None],
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in body:
                yield chunk
        except ExchangeFailed as exc:
            raise AnswerBroken(str(exc)) from exc
        finally:
            self._pool.release(conn)
            release()

    def _note(
        self, outbound: Outbound, offer: TargetOffer, exc: AttemptFailure
    ) -> None:
        self._count(outbound, exc.state)
        self._log.emit(
            Event.ATTEMPT_FAILED,
            target=offer.target_id,
            state=exc.state.value,
            code=exc.code.number,
            detail=exc.detail,
        )

    def _count(self, outbound: Outbound, state: AttemptState) -> None:
        self._metrics.attempts.inc(
            {"service": outbound.service.name, "outcome": state.value}
        )


def _with_host(headers: Headers, offer: TargetOffer) -> Headers:
    kept = tuple(h for h in headers if h[0] != b"host")
    return ((b"host", offer.target_id.encode()), *kept)


async def _replay(
    parts: list[bytes], rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
    async for chunk in rest:
        yield chunk


def _may_retry(outbound: Outbound, failure: AttemptFailure) -> bool:
    if failure.state is AttemptState.SENT:
        return outbound.idempotent and outbound.replayable
    return outbound.replayable or failure.state is AttemptState.NOT_SENT


def _refusal(failure: AttemptFailure | None) -> RequestRefused:
    if failure is None:
        return RequestRefused(Code.NO_CAPACITY, retry_after_s=RETRY_AFTER_S)
    run_state = (
        RunState.UNKNOWN
        if failure.state is AttemptState.SENT
        else RunState.NOT_RUN
    )
    retry_after_s = RETRY_AFTER_S if run_state is RunState.NOT_RUN else None
    return RequestRefused(
        failure.code,
        failure.detail,
        run_state=run_state,
        retry_after_s=retry_after_s,
    )
