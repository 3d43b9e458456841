"""Claims by which a non-idempotent request runs at most once."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
import hashlib
import time
from typing import Final, Protocol
import uuid

from wigeonford.errors import (
    Code,
    PeerError,
    RequestRejected,
    RunState,
    WigeonfordError,
)
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    CODE_HEADER,
    Response,
    result_headers,
    RUN_STATE_HEADER,
)
from wigeonford.messages.object import (
    ClaimClose,
    ClaimOpen,
    ClaimReply,
    Outcome,
)
from wigeonford.peer import PeerClient

CLAIM_TIMEOUT_S: Final = 2.5
CLOSE_ATTEMPTS: Final = 8
CLOSE_RETRY_S: Final = 0.25
STOP_TIMEOUT_S: Final = 10.0
MAX_STORED_BODY_BYTES: Final = 16384
"""Longest response body that is stored for retries of a request."""

RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Describe a request that must run at most once."""

    account: str
    idempotency_key: str
    fingerprint: bytes


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """Hold a claim: the request message and its reply."""

    message: ClaimOpen
    reply: ClaimReply


class Claims(Protocol):
    """Decide which request may run for an idempotency key."""

    async def open(self, request: ClaimRequest) -> ClaimTicket:
        """Return the claim; raise `PeerError` if no replica decides."""

    def close(
        self, ticket: ClaimTicket, *, ran: bool, outcome: Outcome | None
    ) -> None:
        """Complete a claim if `ran`, else release it, in the background."""


class ControlClaims:
    """Open claims at the control replicas, the nearest one first."""

    def __init__(
        self, replicas: tuple[PeerClient, ...], log: EventLog
    ) -> None:
        self._replicas = replicas
        self._log = log
        self._closing: set[asyncio.Task[None]] = set()

    async def open(self, request: ClaimRequest) -> ClaimTicket:
        """Return the decision of the first replica that makes one.

        Each attempt uses a new claimant id. An attempt that got no reply
        may have won the claim, so it is released and its claimant never
        runs the request.
        """
        failure = PeerError(Code.PEER_UNREACHABLE, "no control replica")
        for replica in self._replicas:
            message = ClaimOpen(
                request.account,
                request.idempotency_key,
                request.fingerprint,
                uuid.uuid4().hex,
            )
            try:
                answer = await replica.request(message, CLAIM_TIMEOUT_S)
            except PeerError as exc:
                failure = exc
                if exc.code is Code.PEER_TIMEOUT:
                    no_reply = ClaimReply(exc.code.number, None, time.time())
                    self.close(
                        ClaimTicket(message, no_reply), ran=False, outcome=None
                    )
                continue
            assert isinstance(answer, ClaimReply), (
                "a ClaimOpen gets a ClaimReply"
            )
            if answer.code != Code.CLAIM_UNAVAILABLE.number:
                return ClaimTicket(message, answer)
            failure = PeerError(Code.CLAIM_UNAVAILABLE, "no quorum")
        raise failure

    def close(
        self, ticket: ClaimTicket, *, ran: bool, outcome: Outcome | None
    ) -> None:
        """Complete a claim if `ran`, else release it, in the background."""
        message = ClaimClose(
            ticket.message.account,
            ticket.message.idempotency_key,
            ticket.message.claimant,
            ticket.message.fingerprint,
            ticket.reply.opened_at_s,
            ticket.reply.code == Code.OK.number,
            ticket.reply.direct,
            ran,
            outcome,
        )
        task = asyncio.create_task(self._close(message))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def stop(self) -> None:
        """Wait until all claims are closed, for at most `STOP_TIMEOUT_S`."""
        if self._closing:
            await asyncio.wait(self._closing, timeout=STOP_TIMEOUT_S)

    async def _close(self, message: ClaimClose) -> None:
        for attempt in range(CLOSE_ATTEMPTS):
            replica = self._replicas[attempt % len(self._replicas)]
            try:
                await replica.request(message, CLAIM_TIMEOUT_S)
                return
            except PeerError:
                await asyncio.sleep(CLOSE_RETRY_S * (attempt + 1))
        self._log.emit(Event.CLAIM_NOT_CLOSED)


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a digest of a request's method, target and body."""
    digest = hashlib.blake2b(digest_size=16)
    for chunk in (method.encode(), target.encode(), body):
        digest.update(len(chunk).to_bytes(8))
        digest.update(chunk)
    return digest.digest()


async def run_under_claim(
    claims: Claims,
    request: ClaimRequest,
    run: Callable[[], Awaitable[Response]],
) -> Response:
    """Run a request at most once; return the stored response to retries."""
    try:
        ticket = await claims.open(request)
    except PeerError as exc:
        raise RequestRejected(
            Code.CLAIM_UNAVAILABLE, exc.detail, retry_after_s=RETRY_AFTER_S
        ) from exc
    if ticket.reply.code == Code.REPLAYED.number:
        return _build_replay(ticket.reply.outcome)
    if ticket.reply.code != Code.OK.number:
        raise _claim_rejection(ticket.reply.code)
    try:
        response = await run()
    except WigeonfordError as exc:
        ran = exc.run_state is not RunState.NOT_RUN
        claims.close(ticket, ran=ran, outcome=None)
        raise
    except BaseException:
        claims.close(ticket, ran=True, outcome=None)
        raise
    claims.close(ticket, ran=True, outcome=build_outcome(response))
    return response


def build_outcome(response: Response) -> Outcome:
    """Return the outcome to store, without a body that is too large."""
    body = response.body
    is_stored = isinstance(body, bytes) and len(body) <= MAX_STORED_BODY_BYTES
    headers = tuple(
        (name, value)
        for name, value in response.headers
        if name not in (CODE_HEADER, RUN_STATE_HEADER)
    )
    content = body if is_stored and isinstance(body, bytes) else None
    return Outcome(response.status, headers, content)


def _build_replay(outcome: Outcome | None) -> Response:
    if outcome is None or outcome.body is None:
        raise RequestRejected(Code.OUTCOME_NOT_KEPT)
    headers = (
        *outcome.headers,
        *result_headers(Code.REPLAYED, RunState.RAN),
    )
    return Response(outcome.status, headers, outcome.body)


def _claim_rejection(number: int) -> RequestRejected:
    code = next(code for code in Code if code.number == number)
    is_temporary = code in (Code.CLAIM_IN_PROGRESS, Code.CLAIM_UNAVAILABLE)
    return RequestRejected(
        code, retry_after_s=RETRY_AFTER_S if is_temporary else None
    )
