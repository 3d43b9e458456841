"""One attempt at a target: send, read the head, verify the response."""

import asyncio
from collections.abc import AsyncIterator, Callable
import time
from typing import Final

from wigeonford.entry._hygiene import clean_response_headers
from wigeonford.entry._outbound import (
    AttemptFailure,
    AttemptState,
    Outbound,
)
from wigeonford.entry._streamed_body import StreamedBody
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    ExchangeFailed,
    ExchangeTimedOut,
    find_header,
    Headers,
    Response,
    result_headers,
    RUN_STATE_HEADER,
)
from wigeonford.invariants import Checks, Invariant
from wigeonford.policy import LatencyWindow
from wigeonford.settings import parse_address

PREFETCH_BYTES: Final = 65536
DEFAULT_FIRST_BYTE_FRACTION: Final = 0.5
"""First-byte timeout as a fraction of the service's timeout, used until
there are enough latency samples."""

_STILL_RUNNING_CODES: Final = frozenset(
    {Code.CONNECTION_SILENT, Code.ANSWER_TIMEOUT}
)
"""Failures after which the target may still be running the request."""

_NO_BODY_STATUSES: Final = frozenset({204, 304})


class AttemptRunner:
    """Send requests to targets over pooled connections."""

    def __init__(self, checks: Checks) -> None:
        self._checks = checks
        self._pool = ConnectionPool()
        self._latency: dict[str, LatencyWindow] = {}

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def latency(self, service: str) -> LatencyWindow:
        """Return the recent latencies of a service's targets."""
        return self._latency.setdefault(service, LatencyWindow())

    async def run(
        self,
        outbound: Outbound,
        target_id: str,
        release: Callable[[], None],
        *,
        fresh: bool,
    ) -> Response:
        """Return the response; raise `AttemptFailure`.

        `release` is called once, when the target has finished the request
        or is assumed to have. `fresh` requires a new connection.
        """
        try:
            response, conn = await self._exchange(outbound, target_id, fresh)
            first_chunks, remaining = await self._prefetch(
                outbound, response, conn
            )
        except AttemptFailure as exc:
            if exc.code in _STILL_RUNNING_CODES:
                self._release_after_delay(outbound, release)
            else:
                release()
            raise
        except asyncio.CancelledError:
            self._release_after_delay(outbound, release)
            raise
        except BaseException:
            release()
            raise
        headers = (
            *clean_response_headers(response.headers),
            *result_headers(Code.FORWARDED, RunState.RAN),
        )
        if remaining is None:
            self._pool.release(conn)
            release()
            body = b"".join(first_chunks)
            self._require_complete_body(outbound, response, len(body))
            return Response(response.status, headers, body)

        def on_done(is_complete: bool) -> None:
            release()
            if is_complete:
                self._pool.release(conn)

        return Response(
            response.status,
            headers,
            StreamedBody(first_chunks, remaining, conn, on_done),
        )

    def _release_after_delay(
        self, outbound: Outbound, release: Callable[[], None]
    ) -> None:
        """Release the slot of an abandoned request after a delay.

        The target sees that the connection was closed, but may need some
        time to stop running the request.
        """
        delay_s = min(
            self._first_byte_timeout_s(outbound), outbound.service.timeout_s
        )
        asyncio.get_running_loop().call_later(delay_s, release)

    async def _connect(
        self, outbound: Outbound, target_id: str, fresh: bool
    ) -> tuple[ClientConnection, bool]:
        # A request that can't be retried always gets a new connection: a
        # pooled one may have been dropped without notice.
        fresh = fresh or not outbound.is_retryable
        try:
            return await self._pool.acquire(
                parse_address(target_id), new_connection=fresh
            )
        except ConnectFailed as exc:
            raise AttemptFailure(
                AttemptState.NOT_SENT, Code.CONNECT_FAILED, str(exc)
            ) from exc

    async def _exchange(
        self, outbound: Outbound, target_id: str, fresh: bool
    ) -> tuple[Response, ClientConnection]:
        conn, is_pooled = await self._connect(outbound, target_id, fresh)
        max_wait_s = min(outbound.remaining_s, outbound.service.timeout_s)
        first_byte_timeout_s = (
            self._first_byte_timeout_s(outbound) if is_pooled else max_wait_s
        )
        started_s = time.monotonic()
        try:
            response = await conn.exchange(
                outbound.method,
                outbound.target,
                outbound.headers_for(target_id),
                outbound.body,
                until_s=_loop_time_s() + min(max_wait_s, first_byte_timeout_s),
            )
        except RequestRejected as exc:
            raise RequestRejected(
                exc.code, exc.detail, run_state=RunState.UNKNOWN
            ) from exc
        except ExchangeTimedOut as exc:
            if first_byte_timeout_s < max_wait_s:
                # Assume first that the pooled connection is dead, not the
                # target.
                self._pool.close_idle_to(conn.address)
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
        _check_head(outbound, response, conn, is_pooled=is_pooled)
        return response, conn

    def _first_byte_timeout_s(self, outbound: Outbound) -> float:
        measured_s = self.latency(outbound.service.name).first_byte_s()
        if measured_s is not None:
            return measured_s
        return outbound.service.timeout_s * DEFAULT_FIRST_BYTE_FRACTION

    async def _prefetch(
        self, outbound: Outbound, response: Response, conn: ClientConnection
    ) -> tuple[list[bytes], AsyncIterator[bytes] | None]:
        """Return the first chunks, and the iterator of the remaining body.

        The iterator is None if the whole body was read.
        """
        assert not isinstance(response.body, bytes), (
            "ClientConnection streams each body"
        )
        chunks: list[bytes] = []
        size_bytes = 0
        conn.limit_reads(_loop_time_s() + outbound.remaining_s)
        try:
            async for chunk in response.body:
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes >= PREFETCH_BYTES:
                    conn.limit_reads(None)
                    return chunks, response.body
        except ExchangeTimedOut as exc:
            raise AttemptFailure(
                AttemptState.SENT,
                Code.ANSWER_TIMEOUT,
                "deadline passed during the response body",
            ) from exc
        except ExchangeFailed as exc:
            raise AttemptFailure(
                AttemptState.SENT, Code.ANSWER_BROKEN, str(exc)
            ) from exc
        return chunks, None

    def _require_complete_body(
        self, outbound: Outbound, response: Response, size_bytes: int
    ) -> None:
        length = find_header(response.headers, b"content-length")
        bodiless = _is_bodiless(outbound, response)
        self._checks.require(
            length is None or bodiless or int(length) == size_bytes,
            Invariant.WHOLE_ANSWER,
            f"received {size_bytes} of {length} bytes",
        )


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()


def _is_bodiless(outbound: Outbound, response: Response) -> bool:
    return outbound.method == "HEAD" or response.status in _NO_BODY_STATUSES


def _check_head(
    outbound: Outbound,
    response: Response,
    conn: ClientConnection,
    *,
    is_pooled: bool,
) -> None:
    """Raise `AttemptFailure` for a response that can't be passed on.

    This is a 503 by which the target says that it did not run the request,
    or a response whose length can't be verified. On a pooled connection, the
    503 may be that of an earlier request, and the target may have run this
    one.
    """
    state = find_header(response.headers, RUN_STATE_HEADER)
    if response.status == 503 and state == RunState.NOT_RUN.value:
        conn.close()
        attempt_state = (
            AttemptState.SENT if is_pooled else AttemptState.REFUSED
        )
        raise AttemptFailure(
            attempt_state, Code.TARGET_SHED, str(conn.address)
        )
    if _is_bodiless(outbound, response) or _is_framed(response.headers):
        return
    conn.close()
    raise AttemptFailure(
        AttemptState.SENT,
        Code.ANSWER_BROKEN,
        "response has neither content-length nor transfer-encoding",
    )


def _is_framed(headers: Headers) -> bool:
    length = find_header(headers, b"content-length")
    coding = find_header(headers, b"transfer-encoding")
    return length is not None or coding is not None
