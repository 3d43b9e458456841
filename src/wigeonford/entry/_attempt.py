"""One attempt at a target: send, read the head, verify the answer."""

import asyncio
from collections.abc import AsyncIterator, Callable
import time
from typing import Final

from wigeonford.entry._answer_body import AnswerBody
from wigeonford.entry._hygiene import answer_headers
from wigeonford.entry._outbound import (
    AttemptFailure,
    AttemptState,
    Outbound,
)
from wigeonford.errors import Code, RequestRefused, RunState
from wigeonford.http import (
    ClientConnection,
    coded_headers,
    ConnectFailed,
    ConnectionPool,
    ExchangeFailed,
    find_header,
    Headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.invariants import Checks, Invariant
from wigeonford.policy import LatencyWindow
from wigeonford.settings import parse_address

PREFETCH_BYTES: Final = 65536
UNKNOWN_FIRST_BYTE_PART: Final = 0.5
_ABANDONED: Final = frozenset({Code.CONNECTION_SILENT, Code.ANSWER_TIMEOUT})
_NO_BODY_STATUSES: Final = frozenset({204, 304})


class Attempts:
    """Make attempts over pooled connections."""

    def __init__(self, checks: Checks) -> None:
        self._checks = checks
        self._pool = ConnectionPool()
        self._latency: dict[str, LatencyWindow] = {}

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def latency(self, service: str) -> LatencyWindow:
        """Return what was seen of a service's targets."""
        return self._latency.setdefault(service, LatencyWindow())

    async def run(
        self,
        outbound: Outbound,
        target_id: str,
        release: Callable[[], None],
        *,
        fresh: bool,
    ) -> Response:
        """Return the answer; raise `AttemptFailure`.

        `release` is called once, when the target is done with the request.
        """
        try:
            response, conn = await self._exchange(outbound, target_id, fresh)
            started, rest = await self._prefetch(outbound, response)
        except AttemptFailure as exc:
            if exc.code in _ABANDONED:
                self._release_later(outbound, release)
            else:
                release()
            raise
        except asyncio.CancelledError:
            self._release_later(outbound, release)
            raise
        except BaseException:
            release()
            raise
        headers = (
            *answer_headers(response.headers),
            *coded_headers(Code.FORWARDED, RunState.RAN),
        )
        if rest is None:
            self._pool.release(conn)
            release()
            body = b"".join(started)
            self._require_whole(outbound, response, len(body))
            return Response(response.status, headers, body)

        def done(whole: bool) -> None:
            release()
            if whole:
                self._pool.release(conn)

        return Response(
            response.status, headers, AnswerBody(started, rest, conn, done)
        )

    def _release_later(
        self, outbound: Outbound, release: Callable[[], None]
    ) -> None:
        """Keep the slot of work that a target may still be busy with.

        It learns from the closed connection that nobody waits, but what it
        runs ends only some time later.
        """
        busy_s = min(self._silent_s(outbound), outbound.service.timeout_s)
        asyncio.get_running_loop().call_later(busy_s, release)

    async def _connect(
        self, outbound: Outbound, target_id: str, fresh: bool
    ) -> tuple[ClientConnection, bool]:
        # Work that must not run twice never risks a connection that may
        # have gone silent.
        fresh = fresh or not outbound.repeatable
        try:
            return await self._pool.acquire(
                parse_address(target_id), fresh=fresh
            )
        except ConnectFailed as exc:
            raise AttemptFailure(
                AttemptState.NOT_SENT, Code.CONNECT_FAILED, str(exc)
            ) from exc

    async def _exchange(
        self, outbound: Outbound, target_id: str, fresh: bool
    ) -> tuple[Response, ClientConnection]:
        conn, pooled = await self._connect(outbound, target_id, fresh)
        longest_s = min(outbound.left_s, outbound.service.timeout_s)
        silent_s = self._silent_s(outbound) if pooled else longest_s
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(min(longest_s, silent_s)):
                response = await conn.exchange(
                    outbound.method,
                    outbound.target,
                    outbound.headers_for(target_id),
                    outbound.body,
                )
        except RequestRefused as exc:
            raise RequestRefused(
                exc.code, exc.detail, run_state=RunState.UNKNOWN
            ) from exc
        except TimeoutError as exc:
            if silent_s < longest_s:
                # The connection is in doubt before the target is.
                self._pool.discard(conn.address)
                code = Code.CONNECTION_SILENT
            else:
                code = Code.ANSWER_TIMEOUT
            raise AttemptFailure(AttemptState.SENT, code, target_id) from exc
        except ExchangeFailed as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_BROKEN, str(exc)
            ) from exc
        latency = self.latency(outbound.service.name)
        latency.add(time.monotonic() - started_s)
        _check_head(outbound, response, conn)
        return response, conn

    def _silent_s(self, outbound: Outbound) -> float:
        seen_s = self.latency(outbound.service.name).first_byte_s()
        if seen_s is not None:
            return seen_s
        return outbound.service.timeout_s * UNKNOWN_FIRST_BYTE_PART

    async def _prefetch(
        self, outbound: Outbound, response: Response
    ) -> tuple[list[bytes], AsyncIterator[bytes] | None]:
        """Return the chunks of a small answer, or the start and the rest."""
        assert not isinstance(response.body, bytes), "clients stream"
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(outbound.left_s):
                async for chunk in response.body:
                    parts.append(chunk)
                    size += len(chunk)
                    if size >= PREFETCH_BYTES:
                        return parts, response.body
        except TimeoutError as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_TIMEOUT, "amid the answer"
            ) from exc
        except ExchangeFailed as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_BROKEN, str(exc)
            ) from exc
        return parts, None

    def _require_whole(
        self, outbound: Outbound, response: Response, size: int
    ) -> None:
        length = find_header(response.headers, b"content-length")
        bodiless = _is_bodiless(outbound, response)
        self._checks.require(
            length is None or bodiless or int(length) == size,
            Invariant.WHOLE_ANSWER,
            f"{size} bytes of {length}",
        )


def _is_bodiless(outbound: Outbound, response: Response) -> bool:
    return outbound.method == "HEAD" or response.status in _NO_BODY_STATUSES


def _check_head(
    outbound: Outbound, response: Response, conn: ClientConnection
) -> None:
    """Refuse a shed request, and an answer of unknown length."""
    state = find_header(response.headers, RUN_STATE_HEADER)
    if response.status == 503 and state == RunState.NOT_RUN.value:
        conn.close()
        raise AttemptFailure(
            AttemptState.REFUSED, Code.TARGET_SHED, str(conn.address)
        )
    if _is_bodiless(outbound, response) or _is_framed(response.headers):
        return
    conn.close()
    raise AttemptFailure(
        AttemptState.SENT,
        Code.ANSWER_BROKEN,
        "the answer's length can't be verified",
    )


def _is_framed(headers: Headers) -> bool:
    length = find_header(headers, b"content-length")
    coding = find_header(headers, b"transfer-encoding")
    return length is not None or coding is not None
