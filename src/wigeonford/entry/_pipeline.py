"""The way of a caller's request: admission, limits, claim, dispatch."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
import time
from typing import Final

from msgspec.structs import replace

from wigeonford.entry._admission import admit, Admitted, recheck
from wigeonford.entry._claims import (
    ClaimRequest,
    Claims,
    fingerprint,
    run_claimed,
)
from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._fair_queue import DispatchGate, Slot
from wigeonford.entry._hygiene import (
    BodyScan,
    clean_query,
    clean_request_headers,
    holds_key,
    refuse_unstrippable_key,
)
from wigeonford.entry._limiter import Limiter, SpentToken
from wigeonford.entry._outbound import Outbound
from wigeonford.entry._remote import Forwarder
from wigeonford.errors import Code, RequestRefused
from wigeonford.http import (
    ACCOUNT_HEADER,
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
    token: SpentToken | None


class Pipeline:
    """Carry callers' requests from admission to their answers."""

    def __init__(
        self,
        config: ConfigFollower,
        limiter: Limiter,
        claims: Claims,
        gate: DispatchGate,
        dispatcher: Forwarder,
        checks: Checks,
        metrics: Metrics,
        hash_secret: str,
    ) -> None:
        self._config = config
        self._limiter = limiter
        self._claims = claims
        self._gate = gate
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
        refuse_unstrippable_key(request)
        deadline_s = started_s + _deadline_s(request, admitted)
        body = await _read_body(request)
        token = None
        if admitted.account is not None:
            token = await self._limiter.spend(admitted.account, deadline_s)
        work = Work(request, admitted, body, deadline_s, token)
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
        """Forward in this request's turn; hold its slot to the end."""
        slot = await self._acquire_slot(work)
        try:
            response = await self._forward(work)
        except BaseException:
            slot.release()
            raise
        if isinstance(response.body, bytes):
            slot.release()
            return response
        return replace(response, body=_HoldingBody(response.body, slot))

    async def _acquire_slot(self, work: Work) -> Slot:
        service = work.admitted.service
        account = work.admitted.account or _OPEN_ACCOUNT
        accounts = self._config.current.objects.client_accounts
        weight = accounts[account].weight if account in accounts else 1.0
        return await self._gate.acquire(
            service.name,
            account,
            service.request_class,
            weight,
            work.deadline_s,
        )

    async def _forward(self, work: Work) -> Response:
        if work.token is not None:
            await self._limiter.renew(work.token, work.deadline_s)
        recheck(
            self._config.current,
            work.admitted,
            is_fresh=self._config.is_fresh(time.monotonic()),
        )
        outbound = self._outbound(work)
        self._check_no_key(outbound)
        self._check_account(work, outbound)
        return await self._dispatcher.forward(outbound)

    def _outbound(self, work: Work) -> Outbound:
        admitted = work.admitted
        remaining_ms = int((work.deadline_s - time.monotonic()) * 1000)
        if remaining_ms <= 0:
            raise RequestRefused(Code.DEADLINE_EXCEEDED)
        shares = self._config.current.objects.shares.values()
        share = next(
            (s for s in shares if s.service == admitted.service.name), None
        )
        headers = clean_request_headers(
            work.request.headers, admitted.account, remaining_ms
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

    def _check_account(self, work: Work, outbound: Outbound) -> None:
        """Check that a target is told of the key's own account only."""
        key = work.admitted.key
        expected = [] if key is None else [key.account.encode()]
        named = [v for name, v in outbound.headers if name == ACCOUNT_HEADER]
        self._checks.require(
            named == expected,
            Invariant.KEY_MATCHES_ACCOUNT,
            work.admitted.route.name,
        )

    def _check_no_key(self, outbound: Outbound) -> None:
        texts = [outbound.target]
        texts.extend(
            text.decode("latin-1")
            for header in outbound.headers
            for text in header
        )
        self._checks.require(
            not any(holds_key(text) for text in texts),
            Invariant.NO_KEY_TO_TARGET,
            outbound.service.name,
        )


class _HoldingBody:
    """Yield a body; release its slot at the end, or unread with it.

    A generator would not do: one that is never started runs no `finally`.
    """

    def __init__(self, body: AsyncIterator[bytes], slot: Slot) -> None:
        self._body = body
        self._slot = slot

    def __aiter__(self) -> "_HoldingBody":
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._body)
        except BaseException:
            self._slot.release()
            raise

    def __del__(self) -> None:
        self._slot.release()


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
    scan = BodyScan(request.header(b"content-type"))
    parts: list[bytes] = []
    size = 0
    async for chunk in request.body:
        scan.feed(chunk)
        parts.append(chunk)
        size += len(chunk)
        if size > BUFFERED_BODY_BYTES:
            return _stream(parts, request.body, scan)
    return b"".join(parts)


async def _stream(
    parts: list[bytes], rest: AsyncIterator[bytes], scan: BodyScan
) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
    async for chunk in rest:
        scan.feed(chunk)
        yield chunk
