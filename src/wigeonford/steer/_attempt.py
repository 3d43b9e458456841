"""One attempt at a target, and how far it came."""

import asyncio
from collections.abc import AsyncIterator
from enum import Enum
import time
from typing import Final

import msgspec

from wigeonford.http import (
    AnswerBroken,
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ExchangeFailed,
    Headers,
    Response,
)
from wigeonford.settings import parse_address
from wigeonford.steer._request import (
    AnswerFacts,
    RunState,
    SteerRequest,
    TargetWire,
)
from wigeonford.steer._target_book import TargetRecord

CONNECT_S: Final = 0.5
"""Four round trips between regions; a handshake takes one."""
SILENCE_S: Final = 1.5
"""Unacknowledged bytes for longer mean that the way is cut; three losses in
a row take less."""
HELD_BYTES: Final = 131072
"""Answers up to this size are read whole before any of it is passed on."""
REFUSAL_BODY_S: Final = 0.1
"""How long a refusal's body is waited for; another attempt is worth more
than the connection."""
BODY_LATE_S: Final = 0.5
"""How long after the deadline an answer that has begun may still end."""


class Outcome(Enum):
    """Say how far an attempt came.

    Of these only `BROKEN` leaves open whether the request has run.
    `WITHDRAWN` is not sent either, since the target left meanwhile, which
    says nothing of its soundness.
    """

    NOT_SENT = "not-sent"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"
    ANSWERED = "answered"
    BROKEN = "broken"


UNSENT: Final = frozenset({Outcome.NOT_SENT, Outcome.WITHDRAWN})
"""Outcomes that leave the request, its body too, as it was."""


class AttemptResult(msgspec.Struct, frozen=True):
    """Hold an attempt's outcome; the answer is there if answered.

    `reused` tells that the connection had served before, so that its loss
    says little about the target.
    """

    outcome: Outcome
    answer: Response | None = None
    facts: AnswerFacts | None = None
    detail: str = ""
    reused: bool = False


class Attempt(msgspec.Struct, frozen=True):
    """Describe what to send where; `deadline_s` is on the steady clock."""

    req: SteerRequest
    record: TargetRecord
    account: str | None
    body: bytes | AsyncIterator[bytes]
    deadline_s: float

    @property
    def left_s(self) -> float:
        """Return how long until the deadline."""
        return self.deadline_s - time.monotonic()


class TargetLinks:
    """Send attempts over connections that are kept and bounded."""

    def __init__(self, wire: TargetWire) -> None:
        self._wire = wire
        self._pool = ConnectionPool(SILENCE_S)

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    def close_idle(self) -> None:
        """Close what has been idle for too long."""
        self._pool.close_idle()

    def forget(self, address: str) -> None:
        """Close idle connections to an address that changed hands."""
        self._pool.discard(parse_address(address))

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Return how an attempt ended."""
        address = parse_address(attempt.record.announced.address)
        connect_s = min(CONNECT_S, max(0.0, attempt.left_s))
        try:
            conn, reused = await self._pool.acquire(
                address, connect_s=connect_s
            )
        except ConnectFailed as exc:
            return AttemptResult(Outcome.NOT_SENT, detail=str(exc))
        if not attempt.record.accepts_requests:
            conn.close()
            return AttemptResult(Outcome.WITHDRAWN, detail="it leaves")
        try:
            result = await self._exchange(attempt, conn, reused)
        except ExchangeFailed as exc:
            conn.close()
            return AttemptResult(
                Outcome.BROKEN, detail=str(exc), reused=reused
            )
        except BaseException:
            conn.close()
            raise
        return result

    async def _exchange(
        self, attempt: Attempt, conn: ClientConnection, reused: bool
    ) -> AttemptResult:
        req = attempt.req
        head = self._wire.head(
            req,
            attempt.record.target_id,
            attempt.account,
            max(0.001, attempt.left_s),
        )

        def is_ours(headers: Headers) -> bool:
            return self._wire.is_answer_to(req, headers)

        answer = await conn.exchange(
            req.method, req.target, head, attempt.body, is_ours
        )
        facts = self._wire.facts(answer)
        if facts.run is not RunState.RAN:
            await self._finish(conn, answer)
            wrong = facts.run is RunState.WRONG_TARGET
            outcome = Outcome.WRONG_TARGET if wrong else Outcome.NOT_RUN
            return AttemptResult(outcome, None, facts, f"{answer.status}")
        if not facts.is_whole:
            conn.close()
            detail = f"status {answer.status} without what a caller needs"
            return AttemptResult(Outcome.BROKEN, None, facts, detail, reused)
        until_s = max(attempt.deadline_s, time.monotonic()) + BODY_LATE_S
        whole = await self._hold(conn, answer, until_s)
        return AttemptResult(Outcome.ANSWERED, whole, facts, reused=reused)

    async def _finish(self, conn: ClientConnection, answer: Response) -> None:
        """Read a refusal's body, so that its connection can serve again.

        One that is long, or slow to come, costs the connection instead.
        """
        until_s = time.monotonic() + REFUSAL_BODY_S
        try:
            whole = await self._hold(conn, answer, until_s)
        except ExchangeFailed:
            conn.close()
            return
        if not isinstance(whole.body, bytes):
            conn.close()

    async def _hold(
        self, conn: ClientConnection, answer: Response, until_s: float
    ) -> Response:
        """Return an answer that is read whole, if it is not too large."""
        body = answer.body
        assert not isinstance(body, bytes), "a connection streams"
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(until_s - time.monotonic()):
                async for chunk in body:
                    parts.append(chunk)
                    size += len(chunk)
                    if size > HELD_BYTES:
                        rest = self._rest(conn, parts, body, until_s)
                        return Response(answer.status, answer.headers, rest)
        except TimeoutError as exc:
            raise ExchangeFailed("the answer did not end in time") from exc
        self._pool.release(conn)
        return Response(answer.status, answer.headers, b"".join(parts))

    async def _rest(
        self,
        conn: ClientConnection,
        parts: list[bytes],
        body: AsyncIterator[bytes],
        until_s: float,
    ) -> AsyncIterator[bytes]:
        """Yield a large answer; one that breaks off stays broken."""
        whole = False
        try:
            for part in parts:
                yield part
            async with asyncio.timeout(until_s - time.monotonic()):
                async for chunk in body:
                    yield chunk
            whole = True
        except (ExchangeFailed, TimeoutError) as exc:
            raise AnswerBroken(str(exc)) from exc
        finally:
            if whole:
                self._pool.release(conn)
            else:
                conn.close()
