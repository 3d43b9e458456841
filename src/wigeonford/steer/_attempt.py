"""One attempt at a target, and its result."""

import asyncio
from collections.abc import AsyncIterator, Callable
from enum import Enum
import errno
import time
from typing import Final

import msgspec

from wigeonford.deployment import is_target_address
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ExchangeFailed,
    ExchangeTimedOut,
    RequestInvalid,
    Response,
    ResponseBroken,
)
from wigeonford.settings import parse_address
from wigeonford.steer._request import (
    ResponseFacts,
    SteerRequest,
    TargetRunState,
    TargetWire,
)
from wigeonford.steer._target_records import TargetRecord

CONNECT_TIMEOUT_S: Final = 0.5
"""Four round trips between regions; a handshake takes one."""
PROBE_TIMEOUT_S: Final = 0.25
"""Timeout for connecting to a target that may have crashed; two round trips
between regions. The next attempt waits for it."""
UNACKED_TIMEOUT_S: Final = 1.5
"""Bytes that stay unacknowledged for longer mean that the path is broken;
three packet losses in a row take less."""
MAX_BUFFERED_RESPONSE_BYTES: Final = 131072
"""Responses up to this size are read completely before any byte is passed
on."""
REJECTION_BODY_TIMEOUT_S: Final = 0.1
"""Timeout for reading the body of a target's rejection. After that the
connection is closed, because the next attempt matters more than keeping it."""
RESPONSE_GRACE_S: Final = 0.1
"""How long after its deadline a request may still get a response: the way back
from a target in another region."""
BODY_GRACE_S: Final = 0.5
"""How long after the deadline a streamed response may still end."""


class Outcome(Enum):
    """Say how far an attempt came.

    Only after `BROKEN` it is unknown whether the request has run. After
    `WITHDRAWN` nothing was sent either, because the target began to drain, was
    removed or stated a limit meanwhile, no time was left or the head can't be
    sent; that doesn't count as a failure of the target.
    """

    NOT_SENT = "not-sent"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"
    ANSWERED = "answered"
    BROKEN = "broken"


UNSENT: Final = frozenset({Outcome.NOT_SENT, Outcome.WITHDRAWN})
"""Outcomes after which the request and its body are unused."""


UNRUN: Final = frozenset({Outcome.NOT_RUN, Outcome.WRONG_TARGET})
"""Outcomes after which a target has stated that it didn't run the request."""


class AttemptResult(msgspec.Struct, frozen=True):
    """Hold an attempt's outcome; `response` is set if it is `ANSWERED`.

    `reused` means that the connection had served an earlier request, and
    `opened_at_s` is when it was opened.
    """

    outcome: Outcome
    response: Response | None = None
    facts: ResponseFacts | None = None
    detail: str = ""
    reused: bool = False
    opened_at_s: float = 0.0


class Attempt(msgspec.Struct, frozen=True):
    """Describe a request to send; `deadline_s` is on the monotonic clock.

    `is_within_limit` returns whether the target's limit allows the request,
    as known when the connection is open. `on_send` is called before the first
    byte is sent. With `needs_proof`, a new connection shows first that the
    target is reached.
    """

    req: SteerRequest
    record: TargetRecord
    account: str | None
    body: bytes | AsyncIterator[bytes]
    deadline_s: float
    is_within_limit: Callable[[], bool] = lambda: True
    on_send: Callable[[], None] = lambda: None
    needs_proof: bool = False

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the request must not be sent any more."""
        return not (self.record.accepts_requests and self.is_within_limit())

    @property
    def left_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - time.monotonic()


class TargetConnections:
    """Send attempts over pooled connections, with time and size limits.

    `on_contact` is called with the id of a target that accepts a connection or
    responds, `on_failure` with that of one that does neither, and the reason.
    """

    def __init__(
        self,
        wire: TargetWire,
        on_contact: Callable[[str], None] = lambda _target_id: None,
        on_failure: Callable[[str, str], None] = lambda _target_id, _: None,
    ) -> None:
        self._wire = wire
        self._on_contact = on_contact
        self._on_failure = on_failure
        self._pool = ConnectionPool(UNACKED_TIMEOUT_S)

    def close(self) -> None:
        """Close every idle connection."""
        self._pool.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        self._pool.close_idle()

    def close_idle_to(self, address: str) -> None:
        """Close idle connections to an address that has changed targets."""
        if is_target_address(address):
            self._pool.close_idle_to(parse_address(address))

    async def accepts_connections(self, record: TargetRecord) -> bool:
        """Return whether a target accepts a connection, and keep that."""
        try:
            conn, _ = await self._acquire(
                record,
                new_connection=True,
                connect_timeout_s=PROBE_TIMEOUT_S,
            )
        except (ConnectFailed, ValueError):
            return False
        self._pool.release(conn)
        return True

    async def _acquire(
        self,
        record: TargetRecord,
        *,
        new_connection: bool = False,
        request_id: str | None = None,
        connect_timeout_s: float,
    ) -> tuple[ClientConnection, bool]:
        """Return a connection to a target and whether it was used before.

        Raise `ConnectFailed`, or `ValueError` for an impossible address.
        """
        address = parse_address(record.announced.address)
        try:
            conn, reused = await self._pool.acquire(
                address,
                new_connection=new_connection,
                request_id=request_id,
                connect_timeout_s=connect_timeout_s,
            )
        except ConnectFailed as exc:
            self._on_failure(record.target_id, str(exc))
            raise
        if not reused:
            self._on_contact(record.target_id)
        return conn, reused

    async def wait_for_end(
        self, record: TargetRecord, timeout_s: float
    ) -> bool:
        """Return whether a target ends a connection that carries nothing.

        A target that accepts none counts as having ended it.
        """
        try:
            conn, _ = await self._acquire(
                record, connect_timeout_s=PROBE_TIMEOUT_S
            )
        except (ConnectFailed, ValueError):
            return True
        try:
            return await conn.wait_for_end(timeout_s)
        finally:
            self._pool.release(conn)

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt.

        Raise `TimeoutError` if the time limit passes before the response.
        """
        connect_timeout_s = min(CONNECT_TIMEOUT_S, max(0.0, attempt.left_s))
        try:
            conn, reused = await self._acquire(
                attempt.record,
                new_connection=attempt.needs_proof,
                request_id=attempt.req.request_id,
                connect_timeout_s=connect_timeout_s,
            )
        except (ConnectFailed, ValueError) as exc:
            return AttemptResult(Outcome.NOT_SENT, detail=str(exc))
        if attempt.is_withdrawn:
            conn.close()
            return AttemptResult(
                Outcome.WITHDRAWN,
                detail="the target drains, was removed or states a limit",
            )
        if attempt.left_s <= 0:
            self._pool.release(conn)
            return AttemptResult(Outcome.WITHDRAWN, detail="no time is left")
        attempt.on_send()
        try:
            result = await self._exchange(attempt, conn, reused)
        except RequestInvalid as exc:
            conn.close()
            return AttemptResult(Outcome.WITHDRAWN, detail=str(exc))
        except ExchangeTimedOut as exc:
            conn.close()
            raise TimeoutError(str(exc)) from exc
        except ExchangeFailed as exc:
            conn.close()
            if _went_silent(exc):
                self._on_failure(attempt.record.target_id, str(exc))
            return AttemptResult(
                Outcome.BROKEN,
                detail=str(exc),
                reused=reused,
                opened_at_s=conn.opened_at_s,
            )
        except BaseException:
            conn.close()
            raise
        return result

    async def _exchange(
        self, attempt: Attempt, conn: ClientConnection, reused: bool
    ) -> AttemptResult:
        req = attempt.req
        head = self._wire.build_headers(
            req,
            attempt.record.target_id,
            attempt.account,
            max(0.001, attempt.left_s),
        )

        response = await conn.exchange(
            req.method,
            req.target,
            head,
            attempt.body,
            lambda headers: self._wire.find_owner(req, headers),
            req.request_id,
            _loop_time_s() + attempt.left_s + RESPONSE_GRACE_S,
        )
        self._on_contact(attempt.record.target_id)
        facts = self._wire.parse_facts(response)
        if facts.run is not TargetRunState.RAN:
            await self._drain_rejection(conn, response)
            is_wrong_target = facts.run is TargetRunState.WRONG_TARGET
            outcome = (
                Outcome.WRONG_TARGET if is_wrong_target else Outcome.NOT_RUN
            )
            return AttemptResult(outcome, None, facts, f"{response.status}")
        if not facts.is_complete:
            conn.close()
            detail = f"status {response.status} without required headers"
            return AttemptResult(
                Outcome.BROKEN, None, facts, detail, reused, conn.opened_at_s
            )
        stream_until_s = (
            _loop_time_s() + max(0.0, attempt.left_s) + BODY_GRACE_S
        )
        received = await self._read_response(conn, response, stream_until_s)
        return AttemptResult(Outcome.ANSWERED, received, facts, reused=reused)

    async def _drain_rejection(
        self, conn: ClientConnection, response: Response
    ) -> None:
        """Read a rejection's body, so that its connection can be reused.

        If the body is large or slow, the connection is closed instead.
        """
        until_s = _loop_time_s() + REJECTION_BODY_TIMEOUT_S
        conn.limit_reads(until_s)
        try:
            received = await self._read_response(conn, response, until_s)
        except ExchangeFailed:
            conn.close()
            return
        if not isinstance(received.body, bytes):
            conn.close()

    async def _read_response(
        self, conn: ClientConnection, response: Response, stream_until_s: float
    ) -> Response:
        """Return a response with its body, as bytes if it is small enough."""
        body = response.body
        assert not isinstance(body, bytes), "connections return streams"
        chunks: list[bytes] = []
        size = 0
        async for chunk in body:
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_RESPONSE_BYTES:
                conn.limit_reads(stream_until_s)
                stream = self._stream_response(conn, chunks, body)
                return Response(response.status, response.headers, stream)
        self._pool.release(conn)
        return Response(response.status, response.headers, b"".join(chunks))

    async def _stream_response(
        self,
        conn: ClientConnection,
        buffered: list[bytes],
        body: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield a large body; raise `ResponseBroken` if it breaks off."""
        is_complete = False
        try:
            for buffered_chunk in buffered:
                yield buffered_chunk
            async for chunk in body:
                yield chunk
            is_complete = True
        except ExchangeFailed as exc:
            raise ResponseBroken(str(exc)) from exc
        finally:
            if is_complete:
                self._pool.release(conn)
            else:
                conn.close()


def _went_silent(exc: ExchangeFailed) -> bool:
    """Return whether the other side acknowledged nothing any more."""
    cause = exc.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()
