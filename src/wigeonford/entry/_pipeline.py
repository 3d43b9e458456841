"""Stages of a caller's request: admission, limit, claim, dispatch."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
import time
from typing import Final

from msgspec.structs import replace

from wigeonford.entry._admission import Admission, admit, recheck_key
from wigeonford.entry._claims import (
    ClaimRequest,
    Claims,
    fingerprint,
    run_under_claim,
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
from wigeonford.errors import Code, RequestRejected
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

MAX_BUFFERED_BODY_BYTES: Final = 65536
IDEMPOTENCY_HEADER: Final = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARS: Final = 200
_NO_ACCOUNT: Final = "-"


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Hold an admitted request with its body, deadline and token."""

    request: Request
    admission: Admission
    body: bytes | AsyncIterator[bytes]
    deadline_s: float
    token: SpentToken | None


class Pipeline:
    """Process callers' requests from admission to the response."""

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
        """Return the response to a caller's request, also if rejected."""
        started_s = time.monotonic()
        account = _NO_ACCOUNT
        request_class = "none"
        try:
            admission = await self._admit(request)
            account = admission.account or _NO_ACCOUNT
            request_class = admission.service.request_class.value
            response = await self._run(request, admission, started_s)
        except RequestRejected as exc:
            response = error_response(exc)
        number = response.header(CODE_HEADER)
        self._metrics.count_result(account, int(number or 0))
        latency_s = time.monotonic() - started_s
        self._metrics.observe_request(account, request_class, latency_s)
        return response

    async def _admit(self, request: Request) -> Admission:
        return admit(
            self._config.current,
            request,
            self._hash_secret,
            is_fresh=await self._config.is_fresh_by_now(),
        )

    async def _run(
        self, request: Request, admission: Admission, started_s: float
    ) -> Response:
        refuse_unstrippable_key(request)
        deadline_s = started_s + _time_limit_s(request, admission)
        body = await _read_body(request)
        token = None
        if admission.account is not None:
            token = await self._limiter.spend(admission.account, deadline_s)
        admitted = AdmittedRequest(request, admission, body, deadline_s, token)
        if admission.route.idempotent:
            return await self._dispatch(admitted)
        return await self._run_once(admitted)

    async def _run_once(self, admitted: AdmittedRequest) -> Response:
        """Run a non-idempotent request under a claim if it can have one.

        A claim needs a client account and an idempotency key.
        """
        key = admitted.request.header(IDEMPOTENCY_HEADER)
        account = admitted.admission.account
        if key is None or account is None:
            return await self._dispatch(admitted)
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
            raise RequestRejected(Code.BAD_ARGUMENT, "idempotency-key")
        body = admitted.body if isinstance(admitted.body, bytes) else b""
        claim = ClaimRequest(
            account=account,
            idempotency_key=key,
            fingerprint=fingerprint(
                admitted.request.method, _clean_target(admitted.request), body
            ),
        )
        return await run_under_claim(
            self._claims, claim, lambda: self._dispatch(admitted)
        )

    async def _dispatch(self, admitted: AdmittedRequest) -> Response:
        """Forward once a slot is granted; hold it until the body ends."""
        slot = await self._acquire_slot(admitted)
        try:
            response = await self._forward(admitted)
        except BaseException:
            slot.release()
            raise
        if isinstance(response.body, bytes):
            slot.release()
            return response
        return replace(response, body=_SlotHoldingBody(response.body, slot))

    async def _acquire_slot(self, admitted: AdmittedRequest) -> Slot:
        service = admitted.admission.service
        account = admitted.admission.account or _NO_ACCOUNT
        accounts = self._config.current.objects.client_accounts
        weight = accounts[account].weight if account in accounts else 1.0
        return await self._gate.acquire(
            service.name,
            account,
            service.request_class,
            weight,
            admitted.deadline_s,
        )

    async def _forward(self, admitted: AdmittedRequest) -> Response:
        if admitted.token is not None:
            await self._limiter.renew(admitted.token, admitted.deadline_s)
        recheck_key(
            self._config.current,
            admitted.admission,
            is_fresh=await self._config.is_fresh_by_now(),
        )
        outbound = self._build_outbound(admitted)
        self._check_no_key_sent(outbound)
        self._check_account_header(admitted, outbound)
        return await self._dispatcher.forward(outbound)

    def _build_outbound(self, admitted: AdmittedRequest) -> Outbound:
        admission = admitted.admission
        remaining_ms = int((admitted.deadline_s - time.monotonic()) * 1000)
        if remaining_ms <= 0:
            raise RequestRejected(Code.DEADLINE_EXCEEDED)
        shares = self._config.current.objects.shares.values()
        share = next(
            (s for s in shares if s.service == admission.service.name), None
        )
        headers = clean_request_headers(
            admitted.request.headers, admission.account, remaining_ms
        )
        headers = _with_framing(headers, admitted.body)
        return Outbound(
            service=admission.service,
            share=share,
            method=admitted.request.method,
            target=_clean_target(admitted.request),
            headers=headers,
            body=admitted.body,
            idempotent=admission.route.idempotent,
            deadline_s=admitted.deadline_s,
        )

    def _check_account_header(
        self, admitted: AdmittedRequest, outbound: Outbound
    ) -> None:
        """Check that the account header names exactly the key's account."""
        key = admitted.admission.key
        expected = [] if key is None else [key.account.encode()]
        named = [v for name, v in outbound.headers if name == ACCOUNT_HEADER]
        self._checks.require(
            named == expected,
            Invariant.KEY_MATCHES_ACCOUNT,
            admitted.admission.route.name,
        )

    def _check_no_key_sent(self, outbound: Outbound) -> None:
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


class _SlotHoldingBody:
    """Yield a body; release its slot at the end or on deletion.

    This is not a generator, because a generator that was never started
    runs no `finally` block.
    """

    def __init__(self, body: AsyncIterator[bytes], slot: Slot) -> None:
        self._body = body
        self._slot = slot

    def __aiter__(self) -> "_SlotHoldingBody":
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._body)
        except BaseException:
            self._slot.release()
            raise

    def __del__(self) -> None:
        self._slot.release()


def _clean_target(request: Request) -> str:
    query = clean_query(request.query)
    return f"{request.path}?{query}" if query else request.path


def _time_limit_s(request: Request, admission: Admission) -> float:
    """Return how long the request may take."""
    max_duration_s = admission.service.timeout_s
    value = request.header(DEADLINE_HEADER)
    if value is None:
        return max_duration_s
    try:
        requested_s = int(value) / 1000
    except ValueError:
        raise RequestRejected(
            Code.BAD_ARGUMENT, DEADLINE_HEADER.decode()
        ) from None
    return min(requested_s, max_duration_s)


def _with_framing(
    headers: Headers, body: bytes | AsyncIterator[bytes]
) -> Headers:
    """Return the headers with the one that gives the body's framing."""
    if isinstance(body, bytes):
        kept = tuple(h for h in headers if h[0] != b"content-length")
        return (*kept, (b"content-length", str(len(body)).encode()))
    if find_header(headers, b"content-length") is not None:
        return headers
    return (*headers, (b"transfer-encoding", b"chunked"))


async def _read_body(request: Request) -> bytes | AsyncIterator[bytes]:
    """Return a small body as bytes, or a stream of a larger one.

    Raise `RequestRejected` if the body contains a key.
    """
    if not request.has_body:
        return b""
    scan = BodyScan(request.header(b"content-type"))
    first_chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in request.body:
        scan.feed(chunk)
        first_chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > MAX_BUFFERED_BODY_BYTES:
            return _stream_body(first_chunks, request.body, scan)
    return b"".join(first_chunks)


async def _stream_body(
    first_chunks: list[bytes], remaining: AsyncIterator[bytes], scan: BodyScan
) -> AsyncIterator[bytes]:
    for first_chunk in first_chunks:
        yield first_chunk
    async for chunk in remaining:
        scan.feed(chunk)
        yield chunk
