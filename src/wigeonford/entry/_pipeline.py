"""The way of a caller's request: admission, limits, claim, dispatch."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
import time
from typing import Final

from wigeonford.entry._admission import admit, Admitted, recheck
from wigeonford.entry._claims import (
    ClaimRequest,
    Claims,
    fingerprint,
    run_claimed,
)
from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._dispatch import Dispatcher
from wigeonford.entry._hygiene import (
    clean_headers,
    clean_query,
    holds_key,
)
from wigeonford.entry._limiter import Limiter
from wigeonford.entry._outbound import Outbound
from wigeonford.errors import Code, RequestRefused
from wigeonford.http import (
    CODE_HEADER,
    DEADLINE_HEADER,
    error_response,
    find_header,
    Headers,
    Request,
    Response,
)
from wigeonford.invariants import Checks, Invariant
from wigeonford.metrics import Metrics
from wigeonford.model import KEY_START, KEY_START_BYTES

BUFFERED_BODY_BYTES: Final = 65536
IDEMPOTENCY_HEADER: Final = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARS: Final = 200
_OPEN_ACCOUNT: Final = "-"


@dataclass(frozen=True, slots=True)
class Work:
    """Hold an admitted request with its body and its deadline."""

    request: Request
    admitted: Admitted
    body: bytes | AsyncIterator[bytes]
    deadline_s: float


class Pipeline:
    """Carry callers' requests from admission to their answers."""

    def __init__(
        self,
        config: ConfigFollower,
        limiter: Limiter,
        claims: Claims,
        dispatcher: Dispatcher,
        checks: Checks,
        metrics: Metrics,
        hash_secret: str,
    ) -> None:
        self._config = config
        self._limiter = limiter
        self._claims = claims
        self._dispatcher = dispatcher
        self._checks = checks
        self._metrics = metrics
        self._hash_secret = hash_secret

    async def handle(self, request: Request) -> Response:
        """Return the answer to a caller's request."""
        started_s = time.monotonic()
        account = _OPEN_ACCOUNT
        request_class = "none"
        try:
            admitted = self._admit(request)
            account = admitted.account or _OPEN_ACCOUNT
            request_class = admitted.service.request_class.value
            response = await self._run(request, admitted, started_s)
        except RequestRefused as exc:
            response = error_response(exc)
        number = response.header(CODE_HEADER)
        self._metrics.count_result(account, int(number or 0))
        latency_s = time.monotonic() - started_s
        self._metrics.observe_request(account, request_class, latency_s)
        return response

    def _admit(self, request: Request) -> Admitted:
        return admit(
            self._config.current,
            request,
            self._hash_secret,
            is_fresh=self._config.is_fresh(time.monotonic()),
        )

    async def _run(
        self, request: Request, admitted: Admitted, started_s: float
    ) -> Response:
        work = Work(
            request,
            admitted,
            await _read_body(request),
            started_s + _deadline_s(request, admitted),
        )
        if admitted.account is not None:
            await self._limiter.spend(admitted.account)
        if admitted.route.idempotent:
            return await self._dispatch(work)
        return await self._run_once(work)

    async def _run_once(self, work: Work) -> Response:
        """Run a non-idempotent request, claimed where the caller can."""
        key = work.request.header(IDEMPOTENCY_HEADER)
        account = work.admitted.account
        if key is None or account is None:
            return await self._dispatch(work)
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
            raise RequestRefused(Code.BAD_ARGUMENT, "idempotency-key")
        body = work.body if isinstance(work.body, bytes) else b""
        claim = ClaimRequest(
            account=account,
            idempotency_key=key,
            fingerprint=fingerprint(
                work.request.method, _target(work.request), body
            ),
        )
        return await run_claimed(
            self._claims, claim, lambda: self._dispatch(work)
        )

    async def _dispatch(self, work: Work) -> Response:
        recheck(
            self._config.current,
            work.admitted,
            is_fresh=self._config.is_fresh(time.monotonic()),
        )
        outbound = self._outbound(work)
        self._check_no_key(outbound)
        return await self._dispatcher.forward(outbound)

    def _outbound(self, work: Work) -> Outbound:
        admitted = work.admitted
        left_ms = int((work.deadline_s - time.monotonic()) * 1000)
        if left_ms <= 0:
            raise RequestRefused(Code.DEADLINE_EXCEEDED)
        shares = self._config.current.objects.shares.values()
        share = next(
            (s for s in shares if s.service == admitted.service.name), None
        )
        headers = clean_headers(
            work.request.headers, admitted.account, left_ms
        )
        headers = _with_framing(headers, work.body)
        return Outbound(
            service=admitted.service,
            share=share,
            method=work.request.method,
            target=_target(work.request),
            headers=headers,
            body=work.body,
            idempotent=admitted.route.idempotent,
            deadline_s=work.deadline_s,
        )

    def _check_no_key(self, outbound: Outbound) -> None:
        texts = [outbound.target]
        texts.extend(value.decode("latin-1") for _, value in outbound.headers)
        self._checks.require(
            not any(holds_key(text) for text in texts),
            Invariant.NO_KEY_TO_TARGET,
            outbound.service.name,
        )


def _target(request: Request) -> str:
    query = clean_query(request.query)
    return f"{request.path}?{query}" if query else request.path


def _deadline_s(request: Request, admitted: Admitted) -> float:
    """Return how long the request may take, in seconds."""
    longest_s = admitted.service.timeout_s
    value = request.header(DEADLINE_HEADER)
    if value is None:
        return longest_s
    try:
        asked_s = int(value) / 1000
    except ValueError:
        raise RequestRefused(
            Code.BAD_ARGUMENT, DEADLINE_HEADER.decode()
        ) from None
    return min(asked_s, longest_s)


def _with_framing(
    headers: Headers, body: bytes | AsyncIterator[bytes]
) -> Headers:
    """Return the headers with the one that frames the body."""
    if isinstance(body, bytes):
        kept = tuple(h for h in headers if h[0] != b"content-length")
        return (*kept, (b"content-length", str(len(body)).encode()))
    if find_header(headers, b"content-length") is not None:
        return headers
    return (*headers, (b"transfer-encoding", b"chunked"))


async def _read_body(request: Request) -> bytes | AsyncIterator[bytes]:
    """Return a small body whole, or a stream that begins with its start."""
    if not request.has_body:
        return b""
    parts: list[bytes] = []
    size = 0
    async for chunk in request.body:
        parts.append(chunk)
        size += len(chunk)
        if size > BUFFERED_BODY_BYTES:
            return _stream(parts, request.body)
    body = b"".join(parts)
    if KEY_START.search(body):
        raise RequestRefused(Code.BAD_ARGUMENT, "the body holds a key")
    return body


async def _stream(
    parts: list[bytes], rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    tail = b""
    for part in parts:
        tail = _refuse_key(tail, part)
        yield part
    async for chunk in rest:
        tail = _refuse_key(tail, chunk)
        yield chunk


def _refuse_key(tail: bytes, chunk: bytes) -> bytes:
    """Refuse a chunk that completes a key; return the end to keep."""
    joined = tail + chunk
    if KEY_START.search(joined):
        raise RequestRefused(Code.BAD_ARGUMENT, "the body holds a key")
    return joined[1 - KEY_START_BYTES :]
